package clients

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"teaselring/mesh"
	"teaselring/test/sidecar"
	"teaselring/wire"
)

// door is a place where clients reach a node.
type door struct {
	name    string
	address func(*sidecar.Machine) string
	method  string
	path    string
	// headers returns the lines that the door's requests need; nil: none.
	headers func(connection, request int) string
}

func outbound(name, method, path string) door {
	return door{
		name: name, method: method, path: path,
		address: func(m *sidecar.Machine) string { return m.Address.Outbound },
		headers: func(connection, request int) string {
			return fmt.Sprintf("Attempt-Id: crowd-%d-%d\r\nDeadline-Milliseconds: 60000\r\n", connection, request)
		},
	}
}

func ready(name, path string) door {
	return door{name: name, method: http.MethodGet, path: path, address: func(m *sidecar.Machine) string { return m.Address.Ready }}
}

var (
	idempotentRoute  = outbound("an idempotent route", http.MethodPost, "/read/x")
	onceRoute        = outbound("a route that runs once", http.MethodPost, "/once/x")
	uploadRoute      = outbound("a route for uploads", http.MethodPost, "/upload/x")
	largeRoute       = outbound("a route with large responses", http.MethodGet, largePath)
	noRoute          = outbound("a path without a route", http.MethodPost, "/none/x")
	outboundReady    = outbound("the readiness path of the outbound listener", http.MethodGet, "/readiness")
	readyListener    = ready("the ready listener", "/readiness")
	readyNoRoute     = ready("an unknown path of the ready listener", "/none/x")
	inboundCall      = door{name: "the inbound listener, as calls", method: http.MethodPost, path: "/read/x", address: inboundAddress, headers: attemptHeaders}
	inboundNoRoute   = door{name: "an unknown path of the inbound listener", method: http.MethodPost, path: "/none/x", address: inboundAddress}
	controlHeartbeat = door{name: "the heartbeats of the control listener", method: http.MethodPost, path: "/instances/i-m0/heartbeat", address: controlAddress}
	controlNoRoute   = door{name: "an unknown path of the control listener", method: http.MethodPost, path: "/none/x", address: controlAddress}
)

func inboundAddress(m *sidecar.Machine) string { return m.Address.Inbound }
func controlAddress(m *sidecar.Machine) string { return m.Address.Control }

// attemptHeaders returns the headers of an attempt that may wait long for a slot.
func attemptHeaders(connection, request int) string {
	now := time.Now()
	a := wire.Attempt{
		ID: mesh.AttemptID(fmt.Sprintf("crowd-%d-%d/1", connection, request)),
		Call: mesh.Call{
			Service: sidecar.Service, Route: "read-0", Class: mesh.ClassRead, Deadline: now.Add(time.Minute),
			StartBy: now.Add(time.Minute), SoftDeadline: now.Add(time.Minute),
		},
		Target: mesh.Target{Version: "v1"},
	}
	h := http.Header{"Attempt-Id": {string(a.ID)}}
	a.Write(h, now)
	var lines strings.Builder
	_ = h.Write(&lines) // a strings.Builder does not fail
	return lines.String()
}

// head returns the head of a request. Framing is one or more complete header lines.
func (d *door) head(connection, request int, framing string) string {
	headers := ""
	if d.headers != nil {
		headers = d.headers(connection, request)
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n", d.method, d.path, sidecar.Host, headers, framing)
}

const (
	// sendTime bounds the time in which a crowd sends, since a node may stop reading.
	sendTime = 3 * time.Second
	// dripInterval is the time between two bytes of a slow client.
	dripInterval = 200 * time.Millisecond
)

// filler is the content of all bodies; the connections of a crowd share it.
var filler = []byte(strings.Repeat("x", 64<<10))

// client is one connection of a crowd.
type client struct {
	net.Conn
	door  *door
	index int
	ctx   context.Context // ends with the spec
}

// shape is what each client of a crowd does after it has connected. It returns when it
// has sent everything, or when the node has closed the connection.
type shape struct {
	name        string
	connections int
	run         func(c *client) error
}

// connect connects a crowd and waits until it has sent what it sends. The connections stay
// open until the context ends.
func (s *shape) connect(ctx context.Context, n *node, d *door) {
	var sending sync.WaitGroup
	for i := range s.connections {
		sending.Add(1)
		go func() {
			defer sending.Done()
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", d.address(n.machine))
			if err != nil {
				return // refused
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			_ = s.run(&client{Conn: conn, door: d, index: i, ctx: ctx}) // the node may refuse or close
		}()
	}
	sending.Wait()
}

func (c *client) print(format string, args ...any) error {
	_, err := fmt.Fprintf(c, format, args...)
	return err
}

// sendFiller sends a part of a body in writes of a size.
func (c *client) sendFiller(length, piece int) error {
	for length > 0 {
		n, err := c.Write(filler[:min(length, piece, len(filler))])
		if err != nil {
			return err
		}
		length -= n
	}
	return nil
}

// drip sends a text slowly until the connection or the spec ends. It does not delay the
// other connections of the crowd.
func (c *client) drip(text string) {
	_ = c.SetWriteDeadline(time.Time{})
	go func() {
		ticker := time.NewTicker(dripInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
			case <-c.ctx.Done():
				return
			}
			if _, err := c.Write([]byte{text[i%len(text)]}); err != nil {
				return
			}
		}
	}()
}

// sip reads the response slowly until the connection or the spec ends.
func (c *client) sip() {
	go func() {
		ticker := time.NewTicker(dripInterval)
		defer ticker.Stop()
		for b := make([]byte, 1); ; {
			select {
			case <-ticker.C:
			case <-c.ctx.Done():
				return
			}
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}()
}

// Sizes of what the crowds send.
const (
	heldBodyBytes  = 1_000_000 // a node holds a body of this size completely
	longBodyBytes  = 8 << 20   // a node streams a body of this size
	sentOfLongBody = 3 << 20
	pieceBytes     = 1000
	overLimitBytes = bodyBytes + 4<<20
	pipelined      = 16

	headBytes = 16 << 10 // the limit in the configuration
	// hugeHeadBytes is below the limit of 1 MiB that net/http has by default.
	hugeHeadBytes = 900 << 10
)

// fields returns header lines of a total size with as many fields as possible.
func fields(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < size-8; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

var (
	bodiesInOnePiece = shape{"bodies in one piece that stop short of their end", 200, func(c *client) error {
		if err := c.print("%s", c.door.head(c.index, 0, fmt.Sprintf("Content-Length: %d\r\n", heldBodyBytes))); err != nil {
			return err
		}
		return c.sendFiller(heldBodyBytes-1, heldBodyBytes)
	}}
	bodiesInSmallPieces = shape{"bodies in small pieces that stop short of their end", 200, func(c *client) error {
		if err := c.print("%s", c.door.head(c.index, 0, fmt.Sprintf("Content-Length: %d\r\n", heldBodyBytes))); err != nil {
			return err
		}
		return c.sendFiller(heldBodyBytes-1, pieceBytes)
	}}
	bodiesInChunks = shape{"bodies in chunks that stop short of their end", 200, func(c *client) error {
		if err := c.print("%s", c.door.head(c.index, 0, "Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		for range heldBodyBytes / pieceBytes {
			if err := c.print("%x\r\n%s\r\n", pieceBytes, filler[:pieceBytes]); err != nil {
				return err
			}
		}
		return nil
	}}
	longBodies = shape{"long bodies that stop half-way", 80, func(c *client) error {
		if err := c.print("%s", c.door.head(c.index, 0, fmt.Sprintf("Content-Length: %d\r\n", longBodyBytes))); err != nil {
			return err
		}
		return c.sendFiller(sentOfLongBody, len(filler))
	}}
	bodiesOverTheLimit = shape{"bodies in chunks far over the limit", 8, func(c *client) error {
		if err := c.print("%s", c.door.head(c.index, 0, "Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		for range overLimitBytes / len(filler) {
			if err := c.print("%x\r\n%s\r\n", len(filler), filler); err != nil {
				return err
			}
		}
		return nil
	}}
	manyFields = shape{"heads with many short fields before a body that stops short", 200, func(c *client) error {
		rest := headBytes - len(c.door.head(c.index, 0, "Content-Length: 10\r\n"))
		return c.print("%s123456789", c.door.head(c.index, 0, "Content-Length: 10\r\n"+fields(rest)))
	}}
	manyFieldsPipelined = shape{"pipelined heads with many short fields", 20, func(c *client) error {
		for i := range pipelined {
			rest := headBytes - len(c.door.head(c.index, i, ""))
			if err := c.print("%s", c.door.head(c.index, i, fields(rest))); err != nil {
				return err
			}
		}
		return nil
	}}
	hugeHeads = shape{"heads far over the limit that stop half-way", 16, func(c *client) error {
		text := c.door.head(c.index, 0, fields(hugeHeadBytes))
		return c.print("%s", text[:len(text)-2])
	}}
	unreadResponses = shape{"pipelined requests whose large responses are not read", 20, func(c *client) error {
		for i := range pipelined {
			if err := c.print("%s", c.door.head(c.index, i, "")); err != nil {
				return err
			}
		}
		return nil
	}}
	slowReaders = shape{"clients that read large responses slowly", 200, func(c *client) error {
		err := c.print("%s", c.door.head(c.index, 0, ""))
		c.sip()
		return err
	}}
	stoppedHeads = shape{"heads that stop half-way", 400, func(c *client) error {
		head := c.door.head(c.index, 0, "")
		return c.print("%s", head[:len(head)/2])
	}}
	slowHeads = shape{"heads that are sent slowly", 400, func(c *client) error {
		err := c.print("%s %s HTTP/1.1\r\nHost: %s\r\nX: ", c.door.method, c.door.path, sidecar.Host)
		c.drip("x")
		return err
	}}
	stoppedBodies = shape{"short bodies that stop half-way", 400, func(c *client) error {
		return c.print("%sxxx", c.door.head(c.index, 0, "Content-Length: 1000\r\n"))
	}}
	slowBodies = shape{"short bodies that are sent slowly", 400, func(c *client) error {
		err := c.print("%s", c.door.head(c.index, 0, "Content-Length: 1000\r\n"))
		c.drip("x")
		return err
	}}
	silent = shape{"clients that send nothing", 400, func(*client) error { return nil }}
)

// endless is a body without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return copy(p, filler), nil }
