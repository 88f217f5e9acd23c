package port

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"teaselring/decision/budget"
	"teaselring/result"
)

// ErrBudget is returned by reads that would exceed the budget of a listener.
const ErrBudget = errors.ConstError("the memory budget of the listener is used up")

// ErrOverloaded is the refusal of a request that exceeds the budget before it is run.
var ErrOverloaded = result.Overloaded.Err()

// Budget bounds what the connections of each listener hold. Connections reserve memory
// before they read; methods of a nil budget and of what it returns limit nothing.
type Budget struct {
	Doors [budget.Listeners]*BudgetDoor
}

// NewBudget returns the budget of a plan.
func NewBudget(plan budget.Plan) *Budget {
	b := &Budget{}
	for i := range b.Doors {
		b.Doors[i] = &BudgetDoor{Share: plan.Shares[i], connections: map[*Reservation]struct{}{}}
	}
	return b
}

// Door returns the part of a listener.
func (b *Budget) Door(l budget.Listener) *BudgetDoor {
	if b == nil {
		return nil
	}
	return b.Doors[l]
}

// BudgetDoor is the part of the budget of one listener.
type BudgetDoor struct {
	Share       budget.Share
	mu          sync.Mutex
	used        int64 // bytes
	connections map[*Reservation]struct{}
	// nextSearch is the earliest time of the next search for a connection to close.
	nextSearch time.Time

	// Refused counts connections and requests that did not fit, Closed the connections
	// closed in favour of others, Slow those closed for lack of progress.
	Refused, Closed, Slow atomic.Int64
}

// searchPause is the time without a search after one that found nothing. A search looks
// at all connections, which many refused clients could make cost more than calls.
const searchPause = 10 * time.Millisecond

// Usage returns the open connections and the bytes they hold.
func (d *BudgetDoor) Usage() (connections int, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.connections), d.used
}

// Connect adds a connection. When the listener has too many, the least useful one is
// closed in its favour. It reports false when there is none; the new one must be closed.
func (d *BudgetDoor) Connect(conn net.Conn) (*Reservation, bool) {
	if d == nil {
		return nil, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.connections) >= d.Share.Connections && !d.closeOne(nil, false) {
		d.Refused.Add(1)
		return nil, false
	}
	r := &Reservation{door: d, conn: conn, quietSince: time.Now()}
	d.connections[r] = struct{}{}
	return r, true
}

// closeOne closes the least useful connection except one, and returns what it held. The
// caller holds the lock.
func (d *BudgetDoor) closeOne(except *Reservation, bytes bool) bool {
	now := time.Now()
	if now.Before(d.nextSearch) {
		return false
	}
	var candidates []*Reservation
	var usages []budget.Usage
	for r := range d.connections {
		if r != except {
			candidates, usages = append(candidates, r), append(usages, r.usage(now))
		}
	}
	i := budget.Victim(usages, bytes)
	if i < 0 {
		d.nextSearch = now.Add(searchPause)
		return false
	}
	d.Closed.Add(1)
	candidates[i].end()
	return true
}

// CloseStalled closes the connections whose transfer is below the minimum rate.
func (d *BudgetDoor) CloseStalled(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for r := range d.connections {
		u := r.usage(now)
		if (u.InBody && u.Receive.TooSlow()) || u.Send.TooSlow() {
			d.Slow.Add(1)
			r.end()
			continue
		}
		if u.Receive.Complete() {
			r.receive.restart(now)
		}
		if u.Send.Complete() {
			r.send.restart(now)
		}
	}
}

// Reservation is what one connection holds of the budget.
type Reservation struct {
	door *BudgetDoor
	conn net.Conn

	// The following are guarded by the lock of the door.
	held          int64
	ended         bool
	calls         int
	inBody        bool
	proven        bool
	quietSince    time.Time
	receive, send transfer
}

// transfer measures one direction of a connection.
type transfer struct {
	budget.Progress
	waitingSince time.Time // zero: not waiting
}

func (t *transfer) at(now time.Time) budget.Progress {
	p := t.Progress
	if !t.waitingSince.IsZero() {
		p.Waited += now.Sub(t.waitingSince)
	}
	return p
}

func (t *transfer) restart(now time.Time) {
	t.Progress = budget.Progress{}
	if !t.waitingSince.IsZero() {
		t.waitingSince = now
	}
}

func (r *Reservation) usage(now time.Time) budget.Usage {
	return budget.Usage{
		Held: r.held, Calls: r.calls, InBody: r.inBody, Proven: r.proven,
		Receive: r.receive.at(now), Send: r.send.at(now), Quiet: now.Sub(r.quietSince),
	}
}

// end removes the connection and closes it. The caller holds the lock.
func (r *Reservation) end() {
	if r.ended {
		return
	}
	r.ended = true
	r.door.used -= r.held
	r.held = 0
	delete(r.door.connections, r)
	_ = r.conn.Close()
}

// Disconnect closes the connection and releases everything it holds.
func (r *Reservation) Disconnect() { r.update(func() { r.end() }) }

func (r *Reservation) update(f func()) {
	if r == nil {
		return
	}
	r.door.mu.Lock()
	defer r.door.mu.Unlock()
	f()
}

// Reserve takes bytes, for which less useful connections may be closed. It reports false
// when the bytes do not fit or when the connection was closed.
func (r *Reservation) Reserve(bytes int64) bool { return r.reserve(bytes, true) }

// TryReserve is Reserve without closing other connections.
func (r *Reservation) TryReserve(bytes int64) bool { return r.reserve(bytes, false) }

func (r *Reservation) reserve(bytes int64, mayClose bool) (ok bool) {
	if r == nil {
		return true
	}
	r.update(func() {
		d := r.door
		for !r.ended && !d.Share.Fits(d.used, r.held, bytes) {
			if !mayClose || !d.closeOne(r, true) {
				if mayClose {
					d.Refused.Add(1)
				}
				return
			}
		}
		if ok = !r.ended; ok {
			r.held, d.used = r.held+bytes, d.used+bytes
		}
	})
	return ok
}

// Release returns bytes.
func (r *Reservation) Release(bytes int64) {
	r.update(func() {
		bytes = min(bytes, r.held) // 0 after the connection was closed
		r.held, r.door.used = r.held-bytes, r.door.used-bytes
	})
}

// ReleaseAll returns all bytes.
func (r *Reservation) ReleaseAll() { r.update(func() { r.door.used, r.held = r.door.used-r.held, 0 }) }

// BeginCall records that a request is in progress.
func (r *Reservation) BeginCall() { r.update(func() { r.calls++; r.quietSince = time.Now() }) }

// EndCall records that a request was answered.
func (r *Reservation) EndCall() {
	r.update(func() { r.calls--; r.proven, r.quietSince = true, time.Now() })
}

// SetInBody records whether a body is being received.
func (r *Reservation) SetInBody(inBody bool) {
	r.update(func() {
		if r.inBody != inBody {
			r.inBody = inBody
			r.receive.restart(time.Now())
		}
	})
}

// wait records the start of a transfer, moved its end.
func (r *Reservation) wait(t *transfer) { r.update(func() { t.waitingSince = time.Now() }) }

func (r *Reservation) moved(t *transfer, bytes int) {
	r.update(func() {
		now := time.Now()
		t.Progress = t.at(now)
		t.Moved += int64(bytes)
		t.waitingSince = time.Time{}
	})
}

// BudgetConn measures the progress of a connection.
type BudgetConn struct {
	net.Conn
	Reservation *Reservation
}

// Read implements io.Reader.
func (c *BudgetConn) Read(p []byte) (int, error) {
	r := c.Reservation
	if r == nil {
		return c.Conn.Read(p)
	}
	r.wait(&r.receive)
	n, err := c.Conn.Read(p)
	r.moved(&r.receive, n)
	return n, err
}

// Write implements io.Writer. The progress of each write is measured, since a peer that
// does not read blocks it.
func (c *BudgetConn) Write(p []byte) (sent int, err error) {
	r := c.Reservation
	if r == nil {
		return c.Conn.Write(p)
	}
	for len(p) > 0 && err == nil {
		var n int
		r.wait(&r.send)
		n, err = c.Conn.Write(p[:min(len(p), writeBytes)])
		r.moved(&r.send, n)
		p, sent = p[n:], sent+n
	}
	return sent, err
}

// writeBytes is the part of a write whose progress is measured.
const writeBytes = 16 << 10

// CloseWrite half-closes the connection.
func (c *BudgetConn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it holds.
func (c *BudgetConn) Close() error {
	err := c.Conn.Close()
	c.Reservation.Disconnect()
	return err
}
