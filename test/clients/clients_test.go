// Package clients checks that a node stays within the memory and the file descriptors
// of its settings, and serves ordinary requests, while a crowd of clients misbehaves.
// The specs check no times and no share of served requests, so that their result does
// not depend on the speed of the machine. They run apart from other tests.
package clients

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

func TestClients(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clients")
}

var _ = AfterSuite(harness.RemoveBinaries)

// crowds lists the doors at which each shape is tried. Doors are left out where the
// shape can't occur, such as large responses at a path without a route.
var crowds = []struct {
	shape *shape
	doors []*door
}{
	{&bodiesInOnePiece, []*door{&idempotentRoute, &onceRoute, &uploadRoute, &noRoute, &outboundReady, &readyListener, &inboundCall, &inboundNoRoute, &controlHeartbeat}},
	{&bodiesInSmallPieces, []*door{&idempotentRoute, &noRoute, &outboundReady, &inboundCall, &controlHeartbeat}},
	{&bodiesInChunks, []*door{&idempotentRoute, &noRoute, &outboundReady, &inboundCall, &controlHeartbeat}},
	{&longBodies, []*door{&idempotentRoute, &uploadRoute, &noRoute, &inboundCall}},
	{&bodiesOverTheLimit, []*door{&uploadRoute, &noRoute, &readyListener, &inboundCall, &controlHeartbeat}},
	{&manyFields, []*door{&idempotentRoute, &noRoute, &outboundReady, &readyListener, &inboundCall, &inboundNoRoute, &controlHeartbeat}},
	{&manyFieldsPipelined, []*door{&idempotentRoute, &noRoute}},
	{&hugeHeads, []*door{&idempotentRoute, &readyListener, &inboundNoRoute, &controlNoRoute}},
	{&unreadResponses, []*door{&largeRoute}},
	{&slowReaders, []*door{&largeRoute}},
	{&silent, []*door{&noRoute, &readyListener, &inboundNoRoute, &controlNoRoute}},
	{&stoppedHeads, []*door{&noRoute, &readyListener, &inboundNoRoute, &controlNoRoute}},
	{&slowHeads, []*door{&noRoute, &readyListener, &inboundNoRoute, &controlNoRoute}},
	{&stoppedBodies, []*door{&idempotentRoute, &noRoute, &readyNoRoute, &inboundCall, &controlHeartbeat}},
	{&slowBodies, []*door{&idempotentRoute, &noRoute, &readyNoRoute, &inboundCall, &controlHeartbeat}},
}

// entries returns one entry for each pair of shape and door.
func entries() []TableEntry {
	var all []TableEntry
	for _, c := range crowds {
		for _, d := range c.doors {
			all = append(all, Entry(c.shape.name+", at "+d.name, c.shape, d))
		}
	}
	return all
}

// Guards against a process that runs out of memory or descriptors, or that serves no one
// else, because of clients that nobody controls.
var _ = DescribeTable("a node withstands", func(s *shape, d *door) {
	n := startNode()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	s.connect(ctx, n, d)
	n.check()
}, entries())

var _ = Describe("a node without other load", func() {
	// Guards against limits that refuse a client within the limits.
	It("serves the longest legal body", func() {
		n := startNode()
		Expect(n.request(http.MethodPost, "/upload/x", io.LimitReader(endless{}, bodyBytes), bodyBytes)).To(Succeed())
		n.check()
	})

	It("serves a request with the largest legal head", func() {
		n := startNode()
		conn, err := net.Dial("tcp", n.machine.Address.Outbound)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		rest := headBytes - len(largeRoute.head(0, 0, ""))
		_, err = io.WriteString(conn, largeRoute.head(0, 0, fields(rest)))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		n.check()
	})
})
