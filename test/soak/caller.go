package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"teaselring/port"
	"teaselring/test/sidecar"
)

const (
	// giveUpAfter is how long a caller waits after the deadline of its call. A response
	// later than responseSlack is a violation.
	giveUpAfter = time.Second
	// disconnectShare is the share of calls whose caller disconnects before a response.
	disconnectShare = 0.05
	// onceShare is the share of calls that must run at most once.
	onceShare    = 0.35
	maxThinkTime = 30 * time.Millisecond
	maxBodyBytes = 60_000 // about the platform's mean upload
)

// onceMethods are the methods of calls that must run at most once. The class of the route
// decides that, whatever the method.
var onceMethods = []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch}

// caller sends one request after another on a connection that it keeps until the
// node closes it. It does not use net/http's client, which retries requests itself.
type caller struct {
	fleet        *fleet
	machine      *sidecar.Machine
	name         string
	rnd          *rand.Rand
	keys         *rand.Rand
	requestCount int
	conn         net.Conn
	reader       *bufio.Reader
	versions     seenVersions
}

// run sends requests until the context is cancelled.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendRequest()
		time.Sleep(time.Duration(c.rnd.Int64N(int64(maxThinkTime))))
	}
	c.closeConn()
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// sendRequest sends one request and records the outcome.
func (c *caller) sendRequest() {
	once := c.rnd.Float64() < onceShare
	method, body := http.MethodGet, []byte(nil)
	if once {
		method, body = onceMethods[c.rnd.IntN(len(onceMethods))], make([]byte, c.rnd.IntN(maxBodyBytes))
	}
	timeout := time.Duration(500+c.rnd.IntN(2500)) * time.Millisecond
	path, version := c.path(once)
	c.requestCount++
	id := fmt.Sprintf("%s-%d", c.name, c.requestCount)
	if !c.connect() {
		return
	}
	incarnation := c.fleet.incarnation(c.machine)
	k := &call{machine: c.machine.String(), once: once, path: path, credentials: c.fleet.drawCredentials(c.keys), began: time.Now(), timeout: timeout}
	c.fleet.ledger.recordCall(id, k)
	request := &http.Request{
		Method: method, URL: sidecar.Target(path), Host: sidecar.Host, Header: http.Header{
			"Attempt-Id": {id}, "Deadline-Milliseconds": {strconv.FormatInt(timeout.Milliseconds(), 10)}, "Caller-Service": {"forged"},
		}, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	maps.Copy(request.Header, k.header)
	_ = c.conn.SetDeadline(k.began.Add(timeout + giveUpAfter))
	if c.rnd.Float64() < disconnectShare {
		c.disconnectAfter(k, time.Duration(c.rnd.Int64N(int64(timeout))))
	}
	err := request.Write(c.conn)
	if err == nil {
		c.fleet.ledger.update(k, func(k *call) { k.sent = time.Now() })
		err = c.readResponse(id, k, request, len(body))
	}
	c.fleet.ledger.update(k, func(k *call) {
		k.ended = time.Now()
		var timeout net.Error
		k.connectionLost = err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
	})
	if err != nil {
		c.closeConn()
		return
	}
	if incarnation == c.fleet.incarnation(c.machine) {
		c.versions.check(c, k, incarnation, version)
	}
}

// disconnectAfter closes the connection while the call is in progress.
func (c *caller) disconnectAfter(k *call, wait time.Duration) {
	conn := c.conn
	time.AfterFunc(wait, func() {
		disconnected := false
		c.fleet.ledger.update(k, func(k *call) {
			if disconnected = k.ended.IsZero(); disconnected {
				k.disconnected = time.Now()
			}
		})
		if disconnected {
			_ = conn.Close()
		}
	})
}

func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.machine.Address.Outbound, time.Second)
	if err != nil {
		time.Sleep(maxThinkTime)
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// readResponse reads the response and checks that it is complete and belongs to the
// call.
func (c *caller) readResponse(id string, k *call, request *http.Request, bodySize int) error {
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return err
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	mismatch := ""
	malformed := port.CheckResponseHead(response)
	h := response.Header
	signed := h.Get("Response-Signature") != ""
	switch {
	case malformed != nil:
		mismatch = fmt.Sprintf("a malformed response: %v", malformed)
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		mismatch = "a response without a length, which may be a part"
	case response.StatusCode < 300 && (!signed || h.Get("Attempt-Id") != id || h.Get("X-Path") != k.path || len(content) != bodySize):
		mismatch = fmt.Sprintf("a success for request %q, path %q, %d bytes of %d", h.Get("Attempt-Id"), h.Get("X-Path"), len(content), bodySize)
	case h.Get("Attempt-Id") != "" && h.Get("Attempt-Id") != id:
		mismatch = fmt.Sprintf("a response with status %d to request %q", response.StatusCode, h.Get("Attempt-Id"))
	case impliesNotRun(response.StatusCode) && signed:
		mismatch = fmt.Sprintf("a signed response with status %d, which no server sent", response.StatusCode)
	}
	c.fleet.ledger.update(k, func(k *call) { k.status, k.mismatch = response.StatusCode, mismatch })
	if response.Close {
		c.closeConn()
	}
	return nil
}

// path selects the path of a call. Half of the idempotent calls show which
// configuration is in force: each version has its own route and those of the two
// versions before it.
func (c *caller) path(once bool) (path string, version int) {
	switch {
	case once && c.rnd.IntN(2) == 0:
		return uploadPrefix + c.name, 0
	case once, c.rnd.IntN(2) == 0:
		return stablePrefix(once) + c.name, 0
	}
	version = c.fleet.version() - c.rnd.IntN(2)
	return versionPrefix(version) + c.name, version
}

// seenVersions checks that a node does not return to an older configuration.
type seenVersions struct {
	incarnation int64
	highest     int // version whose route the node has served in this incarnation
	at          time.Time
}

func (s *seenVersions) check(c *caller, k *call, incarnation int64, version int) {
	if incarnation != s.incarnation {
		*s = seenVersions{incarnation: incarnation}
	}
	switch {
	case version == 0:
	case k.status == http.StatusOK && version > s.highest:
		s.highest, s.at = version, time.Now()
	// The two versions after version N still have its route.
	case k.status == http.StatusNotFound && version <= s.highest && version > c.fleet.version()-2 && k.began.Sub(s.at) > rollbackSlack:
		c.fleet.ledger.addViolation("CONFIG", "%s returned to an older version: version %d was in force, then the route of version %d was missing", c.machine.String(), s.highest, version)
	}
}
