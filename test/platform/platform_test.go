package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/plugins/platformhttp"
	"teaselring/plugins/platformmemory"
	"teaselring/port"
	"teaselring/result"
	"teaselring/test/standin"
)

// Every integration test relies on these faults. If a response were lost before the
// write took effect, tests of lost responses would prove nothing.
var _ = Describe("the stand-in for the platform", func() {
	ctx := context.Background()
	var client *platformhttp.Client
	var control func(body string)

	BeforeEach(func() {
		running, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		store, g := platformmemory.New(), newGate()
		go func() { _ = store.Run(running) }()
		go func() { _ = g.Run(running) }()
		server := httptest.NewServer(newHandler(store, g, standin.NewJournal("")))
		DeferCleanup(server.Close)
		client = platformhttp.New(platformhttp.Settings{
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
			Timeout: kernel.Span(300 * time.Millisecond),
		})
		control = func(body string) {
			response, err := http.Post(server.URL+"/control", "application/json", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	})

	put := func(key string, revision uint64) error {
		return client.Commit(ctx, port.Txn{
			Checks: []port.Check{{Table: "t", Key: key, Revision: revision}},
			Puts:   []port.Put{{Table: "t", Key: key, Value: []byte("v")}},
		})
	}
	revision := func(key string) uint64 {
		row, err := client.Get(ctx, "t", key)
		Expect(err).NotTo(HaveOccurred())
		return row.Revision
	}

	It("stores rows and objects and refuses failed checks", func() {
		Expect(put("a/b", 0)).To(Succeed())
		Expect(result.Of(put("a/b", 0))).To(Equal(result.RowConflict))
		Expect(put("a/c", 0)).To(Succeed())
		rows, err := client.Scan(ctx, "t", "a/", "a/b", 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(Equal([]port.Row{{Key: "a/c", Value: []byte("v"), Revision: 2}}))
		_, err = client.GetObject(ctx, "o")
		Expect(result.Of(err)).To(Equal(result.ObjectMissing))
		Expect(client.PutObject(ctx, "o", []byte{0, 255})).To(Succeed())
		Expect(client.GetObject(ctx, "o")).To(Equal([]byte{0, 255}))
	})

	It("loses responses after the write", func() {
		control(`{"lose_answers":1}`)
		Expect(result.Of(put("a", 0))).To(Equal(result.PlatformUnknown))
		Expect(revision("a")).To(Equal(uint64(1)))
		Expect(put("b", 0)).To(Succeed())
	})

	DescribeTable("refuses without writing", func(on, off string, code *result.Code) {
		control(on)
		Expect(result.Of(put("a", 0))).To(Equal(code))
		control(off)
		Expect(revision("a")).To(BeZero())
	},
		Entry("in an outage", `{"outage":true}`, `{"outage":false}`, result.PlatformDown),
		Entry("when stalled", `{"stall":true}`, `{"stall":false}`, result.PlatformUnknown),
		Entry("slower than the timeout", `{"latency_ms":60000}`, `{"latency_ms":0}`, result.PlatformUnknown),
	)

	It("limits the rates of reads and writes separately", func() {
		s := &state{faults: faults{WritesPerSecond: 2}}
		status := func(write bool, ms int64) int { return s.admit(write, time.UnixMilli(ms)).status }
		Expect([]int{status(true, 5000), status(true, 5000), status(true, 5000)}).To(Equal([]int{0, 0, 429}))
		Expect(status(false, 5000)).To(BeZero())
		Expect([]int{status(true, 5499), status(true, 5500), status(true, 5501)}).To(Equal([]int{429, 0, 429}))
	})

	It("returns an older object while objects are stale", func() {
		Expect(client.PutObject(ctx, "old", []byte("old"))).To(Succeed())
		control(`{"stale_objects":true}`)
		Expect(client.PutObject(ctx, "new", []byte("new"))).To(Succeed())
		Expect(client.GetObject(ctx, "new")).To(Equal([]byte("old")))
		control(`{"stale_objects":false}`)
		Expect(client.GetObject(ctx, "new")).To(Equal([]byte("new")))
	})
})
