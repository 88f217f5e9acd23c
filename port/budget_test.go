package port

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"teaselring/decision/budget"
)

// newDoor returns a door whose share is used up by a few connections.
func newDoor(connections int, bytes int64) *BudgetDoor {
	door := NewBudget(budget.NewPlan(budget.Limits{})).Door(budget.Inbound)
	door.Share = budget.Share{Connections: connections, Bytes: bytes}
	return door
}

func TestBudgetDoor(t *testing.T) {
	g := NewWithT(t)
	door := newDoor(1, 100)
	first, peer := net.Pipe()
	r, ok := door.Connect(first)
	g.Expect(ok).To(BeTrue())
	g.Expect(r.Reserve(60)).To(BeTrue())
	g.Expect(r.Reserve(60)).To(BeFalse())

	// A connection that has just been opened is not closed for another one.
	second, _ := net.Pipe()
	_, ok = door.Connect(second)
	g.Expect(ok).To(BeFalse())

	r.quietSince, door.nextSearch = time.Now().Add(-time.Second), time.Time{}
	_, ok = door.Connect(second)
	g.Expect(ok).To(BeTrue())
	_, err := peer.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF), "the silent connection is closed")
	connections, held := door.Usage()
	g.Expect(connections).To(Equal(1))
	g.Expect(held).To(BeZero())
	g.Expect(r.Reserve(1)).To(BeFalse(), "the connection was closed")
}

// Guards against listeners without a budget that stop working, such as in tests of plug-ins.
func TestNilBudget(t *testing.T) {
	g := NewWithT(t)
	var b *Budget
	r, ok := b.Door(budget.Outbound).Connect(nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(r.Reserve(1 << 40)).To(BeTrue())
	r.Release(1)
	r.BeginCall()
	r.EndCall()
	r.Disconnect()
}

// Guards against a head that takes more memory than its listener may hold, and against
// bytes that stay reserved after their request.
func TestBudgetServer(t *testing.T) {
	g := NewWithT(t)
	door := newDoor(4, 20_000)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})}
	door.Bind(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = door.Serve(server, listener) }()
	defer func() { _ = server.Close() }()

	url := "http://" + listener.Addr().String()
	for range 20 { // on one connection
		response, err := http.Post(url, "text/plain", bytes.NewReader(make([]byte, 100_000)))
		g.Expect(err).NotTo(HaveOccurred())
		content, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(content).To(HaveLen(100_000))
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(append([]byte("GET / HTTP/1.1\r\nHost: h\r\n"), bytes.Repeat([]byte("a:\r\n"), 500)...))
	g.Expect(err).NotTo(HaveOccurred())
	content, err := io.ReadAll(conn)
	g.Expect(err).To(Or(BeNil(), MatchError(ContainSubstring("reset"))))
	g.Expect(content).To(BeEmpty(), "a refusal without a status guarantees nothing")
}
