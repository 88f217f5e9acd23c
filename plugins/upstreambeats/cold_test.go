package upstreambeats

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/port"
)

// Guards against a cold server that gets the calls of a warm one.
var _ = Describe("the cold state of a server", func() {
	var (
		checks, coldMS atomic.Int64 // no header while coldMS is negative
		id             atomic.Value
		server         *httptest.Server
		n              *node
		service        mesh.Service
	)
	BeforeEach(func() {
		checks.Store(0)
		coldMS.Store(0)
		id.Store(instance)
		service = mesh.Service{HealthPath: "/health", ColdRate: 13, ColdDuration: time.Minute}
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			checks.Add(1)
			w.Header().Set("Instance", id.Load().(string))
			if ms := coldMS.Load(); ms >= 0 {
				w.Header().Set("Cold", strconv.FormatInt(ms, 10))
			}
		}))
		DeferCleanup(server.Close)
	})
	start := func(s *store) {
		n = startNode(s, server.Listener.Addr().String())
		n.snapshot.Store(&mesh.Snapshot{Services: map[mesh.ServiceID]mesh.Service{"s": service}})
		n.readRows()
	}
	announced := func() {
		start(new(store))
		Expect(n.announce(port.Announcement{Sequence: 1})).To(Succeed())
	}
	remaining := func() time.Duration { return time.Until(n.local.Load().ColdUntil) }
	heard := func() bool { return !n.local.Load().HeardAt.IsZero() }

	It("is that of the last heartbeat", func() {
		coldMS.Store(-1)
		announced()
		Expect(remaining()).To(BeNumerically("<=", 0))
		Expect(n.announce(port.Announcement{Sequence: 2, ColdRemaining: time.Hour})).To(Succeed())
		Expect(remaining()).To(BeNumerically(">", time.Minute))
		Expect(n.announce(port.Announcement{Sequence: 3})).To(Succeed())
		Expect(remaining()).To(BeNumerically("<=", 0))
	})

	It("is extended by a health check between two heartbeats, and not shortened", func() {
		announced()
		coldMS.Store(60_000)
		Eventually(remaining, "5s").Should(BeNumerically(">", time.Second))
		coldMS.Store(0)
		before := checks.Load()
		Eventually(checks.Load, "5s").Should(BeNumerically(">", before+2))
		Expect(remaining()).To(BeNumerically(">", time.Second))
	})

	It("is unknown while another server answers, and while connections are refused", func() {
		announced()
		id.Store("other")
		Eventually(heard, "5s").Should(BeFalse())
		id.Store(instance)
		Eventually(heard, "5s").Should(BeTrue())
		server.Close()
		Eventually(heard, "5s").Should(BeFalse())
	})

	DescribeTable("after a restart of the node is taken from the health check", func(ms int64, want time.Duration) {
		coldMS.Store(ms)
		service.ColdRate = 0 // no checks after the first
		start(&store{revision: 1, row: &mesh.Member{
			Node: "n", PeerAddress: "127.0.0.1:1", State: mesh.NodeAlive,
			Endpoint: mesh.Endpoint{Service: "s", Slots: 6, State: mesh.EndpointReady, Process: "i/100", Instance: instance, StartedAt: born},
		}})
		Eventually(n.state, "5s").Should(Equal(mesh.EndpointReady))
		Expect(remaining()).To(BeNumerically("~", want, 5*time.Second))
	},
		Entry("as the server says", int64(20_000), 20*time.Second),
		Entry("or is assumed", int64(-1), time.Minute),
	)

	It("is not asked for where the service has no cold rate", func() {
		service.ColdRate = 0
		announced()
		Consistently(checks.Load, "500ms").Should(BeZero())
	})
})

var _ = DescribeTable("the header with the cold time", func(value string, want time.Duration, told bool) {
	cold, ok := readCold(http.Header{"Cold": {value}}, "Cold")
	Expect(ok).To(Equal(told))
	Expect(cold).To(Equal(want))
},
	Entry("in ms", "250", 250*time.Millisecond, true),
	Entry("absurd", strconv.FormatFloat(math.MaxFloat64, 'g', -1, 64), maxCold, true),
	Entry("negative", "-1", time.Duration(0), false),
	Entry("not a number", "NaN", time.Duration(0), false),
	Entry("missing", "", time.Duration(0), false),
)
