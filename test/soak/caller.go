package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"teaselring/test/sidecar"
)

const (
	// patience is how long beyond its deadline a caller waits before it gives up;
	// an answer that comes later than answerSlack is a violation.
	patience = time.Second
	// leaveShare of the calls are left by their caller before they are answered.
	leaveShare = 0.05
	// onceShare of the calls must run once at most.
	onceShare = 0.35
	thinkMost = 30 * time.Millisecond
	bodyMost  = 60_000 // bytes, about the platform's mean upload
)

// caller sends one request after another on a connection that it keeps until the
// node ends it. net/http's client is not used: it sends requests again by itself.
type caller struct {
	fleet   *fleet
	machine *sidecar.Machine
	name    string
	rnd     *rand.Rand
	number  int
	conn    net.Conn
	reader  *bufio.Reader
	seen    seenVersions
}

// run calls until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.one()
		time.Sleep(time.Duration(c.rnd.Int64N(int64(thinkMost))))
	}
	c.drop()
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// one sends one request and notes what comes back.
func (c *caller) one() {
	once := c.rnd.Float64() < onceShare
	method, body := http.MethodGet, []byte(nil)
	if once {
		method, body = http.MethodPost, make([]byte, c.rnd.IntN(bodyMost))
	}
	timeout := time.Duration(500+c.rnd.IntN(2500)) * time.Millisecond
	path, version := c.path(once)
	c.number++
	id := fmt.Sprintf("%s-%d", c.name, c.number)
	if !c.connect() {
		return
	}
	life := c.fleet.life(c.machine)
	k := &call{machine: c.machine.String(), once: once, path: path, began: time.Now(), timeout: timeout}
	c.fleet.ledger.begin(id, k)
	request := &http.Request{
		Method: method, URL: sidecar.Target(path), Host: sidecar.Host, Header: http.Header{
			"Attempt-Id": {id}, "Deadline-Milliseconds": {strconv.FormatInt(timeout.Milliseconds(), 10)}, "Caller-Service": {"forged"},
		}, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	_ = c.conn.SetDeadline(k.began.Add(timeout + patience))
	if c.rnd.Float64() < leaveShare {
		c.leaveAfter(k, time.Duration(c.rnd.Int64N(int64(timeout))))
	}
	err := request.Write(c.conn)
	if err == nil {
		c.fleet.ledger.update(k, func(k *call) { k.sent = time.Now() })
		err = c.receive(id, k, request, len(body))
	}
	c.fleet.ledger.update(k, func(k *call) {
		k.ended = time.Now()
		var timeout net.Error
		k.cut = err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
	})
	if err != nil {
		c.drop()
		return
	}
	if life == c.fleet.life(c.machine) {
		c.seen.judge(c, k, life, version)
	}
}

// leaveAfter closes the connection while the call is in progress.
func (c *caller) leaveAfter(k *call, wait time.Duration) {
	conn := c.conn
	time.AfterFunc(wait, func() {
		left := false
		c.fleet.ledger.update(k, func(k *call) {
			if left = k.ended.IsZero(); left {
				k.left = time.Now()
			}
		})
		if left {
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
		time.Sleep(thinkMost)
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// receive reads the answer and checks that it is the whole answer to the call.
func (c *caller) receive(id string, k *call, request *http.Request, sent int) error {
	answer, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return err
	}
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	foreign := ""
	h := answer.Header
	signed := h.Get("Response-Signature") != ""
	switch {
	case answer.StatusCode < 300 && (!signed || h.Get("Attempt-Id") != id || h.Get("X-Path") != k.path || len(content) != sent):
		foreign = fmt.Sprintf("a success for request %q, path %q, %d bytes of %d", h.Get("Attempt-Id"), h.Get("X-Path"), len(content), sent)
	case h.Get("Attempt-Id") != "" && h.Get("Attempt-Id") != id:
		foreign = fmt.Sprintf("an answer %d to request %q", answer.StatusCode, h.Get("Attempt-Id"))
	case promise(answer.StatusCode) && signed:
		foreign = fmt.Sprintf("a signed answer %d that the server did not give", answer.StatusCode)
	}
	c.fleet.ledger.update(k, func(k *call) { k.status, k.foreign = answer.StatusCode, foreign })
	if answer.Close {
		c.drop()
	}
	return nil
}

// path draws the path of a call. A part of the calls shows which configuration
// is in force: each version has a route of its own and those of two before it.
func (c *caller) path(once bool) (path string, version int) {
	if once || c.rnd.IntN(2) == 0 {
		return stablePrefix(once) + c.name, 0
	}
	version = c.fleet.version() - c.rnd.IntN(2)
	return versionPrefix(version) + c.name, version
}

// seenVersions judges that a node does not go back to an older configuration.
type seenVersions struct {
	life    int64
	highest int // version whose route the node has served in that life
	at      time.Time
}

func (s *seenVersions) judge(c *caller, k *call, life int64, version int) {
	if life != s.life {
		*s = seenVersions{life: life}
	}
	switch {
	case version == 0:
	case k.status == http.StatusOK && version > s.highest:
		s.highest, s.at = version, time.Now()
	// A route of version N is still in the two versions after it.
	case k.status == http.StatusNotFound && version <= s.highest && version > c.fleet.version()-2 && k.began.Sub(s.at) > rollbackSlack:
		c.fleet.ledger.violation("CONFIG", "%s went back: version %d was in force, and then no route for version %d", c.machine.String(), s.highest, version)
	}
}
