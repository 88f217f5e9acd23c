package port

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"teaselring/decision/budget"
)

// Serve runs a server of net/http within the budget until the listener fails.
func (d *BudgetDoor) Serve(server *http.Server, listener net.Listener) error {
	if d == nil {
		return server.Serve(listener)
	}
	return server.Serve(&budgetListener{Listener: listener, door: d})
}

// Bind makes a server account for its requests. It is called before the first Serve.
func (d *BudgetDoor) Bind(server *http.Server) {
	if d == nil {
		return
	}
	next := server.Handler
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := r.Context().Value(connKey{}).(*serverConn)
		defer conn.beginRequest(r)()
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// ReservationOf returns the reservation of the connection of a request, nil for none.
func ReservationOf(ctx context.Context) *Reservation {
	if c, ok := ctx.Value(connKey{}).(*serverConn); ok {
		return c.Reservation
	}
	return nil
}

// budgetListener closes connections that do not fit.
type budgetListener struct {
	net.Listener
	door *BudgetDoor
}

// Accept implements net.Listener.
func (l *budgetListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if r, ok := l.door.Connect(conn); ok {
			return &serverConn{BudgetConn: BudgetConn{Conn: conn, Reservation: r}}, nil
		}
		_ = conn.Close()
	}
}

// serverConn is a connection of a server of net/http. Outside of a request, what it
// reads is a head.
type serverConn struct {
	BudgetConn
	inRequest atomic.Bool
	// unreadBody is set after a request whose body was not read. net/http discards the
	// rest of it.
	unreadBody atomic.Bool
}

// Read implements io.Reader.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.BudgetConn.Read(p)
	if n > 0 && !c.inRequest.Load() && !c.unreadBody.Load() && !c.Reservation.Reserve(budget.HeadCost(p[:n])) {
		// net/http closes the connection after such an error, without a response.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrBudget}
	}
	return n, err
}

// beginRequest records the start of a request and returns a function for its end.
func (c *serverConn) beginRequest(r *http.Request) (end func()) {
	c.inRequest.Store(true)
	c.unreadBody.Store(false)
	c.Reservation.BeginCall()
	body := &budgetBody{ReadCloser: r.Body, reservation: c.Reservation}
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = body
		c.unreadBody.Store(true)
	}
	c.Reservation.SetInBody(c.unreadBody.Load())
	return func() {
		c.Reservation.EndCall()
		c.unreadBody.Store(c.unreadBody.Load() && !body.ended.Load())
		c.Reservation.ReleaseAll()
		c.inRequest.Store(false)
	}
}

// budgetBody records the end of a body.
type budgetBody struct {
	io.ReadCloser
	reservation *Reservation
	ended       atomic.Bool
}

// Read implements io.Reader.
func (b *budgetBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
		b.reservation.SetInBody(false)
	}
	return n, err
}
