package callrelay

import (
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// A node that handles its stop signal late took calls later than the platform excuses, and
// cut those that were in progress at the end of its grace.
var _ = Describe("a stopping node", func() {
	It("takes calls of its machine for a little less than 3 s, and then refuses them as not run", func() {
		address, _ := server(okResponse("1", "abc"), okResponse("1", "abc"))
		n := newNode(address, address)
		n.entry.Grace = kernel.NewGrace()
		n.entry.Grace.Begin()
		Expect(n.call("POST", "/once/x", "b").Status).To(Equal(200))
		time.Sleep(2850 * time.Millisecond)
		Expect(n.call("POST", "/once/x", "b").Status).To(Equal(503))
		Expect(n.servers).To(HaveLen(1))
	})

	// A call that may wait for 3.6 s was accepted 2.4 s after the stop signal, was still queued
	// when the process ended after 5.1 s, and got no response.
	It("starts no call so late that only the end of the process would end it", func() {
		n := newNode()
		startIn := func(target time.Duration) time.Duration {
			snapshot := *n.entry.Snapshot.Load()
			routes := []mesh.Route{{ID: "r", Host: "h", PathPrefix: "/read/", Service: "s", Class: mesh.ClassRead, Timeout: 20 * time.Second, Target: target}}
			snapshot.Routes = routes
			Expect(snapshot.IndexByHost()).To(Succeed())
			n.entry.Snapshot.Store(&snapshot)
			r := httptest.NewRequest("GET", "/read/x", nil)
			r.Host = "h"
			r.Header.Set("Id", "1")
			c, err := n.entry.newCall(&port.Request{Request: r, Arrived: time.Now()})
			Expect(err).NotTo(HaveOccurred())
			return time.Until(c.call.StartBy)
		}
		n.entry.PlatformSettings = &port.PlatformSettings{Service: "caller", Grace: 4 * time.Second}
		Expect(startIn(6*time.Second)).To(BeNumerically(">", 3*time.Second), "before the stop")
		n.entry.Grace = kernel.NewGrace()
		n.entry.Grace.Begin()
		Expect(startIn(6 * time.Second)).To(BeNumerically("<=", 2800*time.Millisecond))
		Expect(startIn(time.Second)).To(BeNumerically("<=", 600*time.Millisecond))
	})
})
