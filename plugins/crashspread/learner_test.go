package crashspread

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"teaselring/decision/quarantine"
	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/test/rings"
)

func TestCrashSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "crash.spread")
}

var _ = Describe("a starting node", func() {
	known := []mesh.Crash{
		{Service: "stock", Node: "a", Process: "p", Fingerprints: []uint64{1}, Age: 2},
		{Service: "stock", Node: "b", Process: "q", Fingerprints: []uint64{1}, Age: 1},
	}
	var (
		in    learnerIn
		asked atomic.Int64
	)
	BeforeEach(func() {
		asked.Store(0)
		in = learnerIn{
			Identity: mesh.Identity{Node: "self", Zone: "z"}, PlatformSettings: &port.PlatformSettings{Service: "stock"},
			View: new(port.ViewCell), Rows: new(port.RowsCell), Learned: new(port.LearnedCrashesCell),
			Metrics: metrics.NewRegistry(), Logger: kernel.NewLogger(GinkgoWriter),
		}
		in.Rows.Store(replica.New().ApplyListing(port.NodeTable, nil, 1))
	})
	// neighbours sets the view to a node for each handler.
	neighbours := func(handlers ...http.HandlerFunc) {
		view := &mesh.View{Self: "self", Revision: 1}
		for i, handler := range handlers {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked.Add(1)
				body, _ := io.ReadAll(r.Body) // net/http notices that the client is gone only after the body
				r.Body = io.NopCloser(bytes.NewReader(body))
				handler(w, r)
			}))
			DeferCleanup(server.Close)
			view.Members = append(view.Members, mesh.Member{
				Node: mesh.NodeID(rune('a' + i)), Zone: "z", PeerAddress: server.Listener.Addr().String(), State: mesh.NodeAlive,
				Endpoint: mesh.Endpoint{Service: "stock", State: mesh.EndpointReady},
			})
		}
		in.View.Store(view)
	}
	learn := func() *port.LearnedCrashes {
		Expect(newLearner(in).Run(context.Background())).To(Succeed())
		return in.Learned.Load()
	}
	// knowing returns the inbound route of a node that has learned and knows reports.
	knowing := func(learned *port.LearnedCrashes, reports []mesh.Crash) http.HandlerFunc {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		route := recentRouteIn{PlatformSettings: in.PlatformSettings, Learned: new(port.LearnedCrashesCell), Recent: rings.Responder(ctx, "recent",
			func(port.RecentCrashes) ([]mesh.Crash, error) { return reports, nil })}
		if learned != nil {
			route.Learned.Store(learned)
		}
		return newRecentRoute(route).Handler.ServeHTTP
	}
	whole, partial := &port.LearnedCrashes{}, &port.LearnedCrashes{CompleteAt: time.Now().Add(time.Hour)}
	encoded := func(reports []mesh.Crash) http.HandlerFunc {
		body, err := cbor.Marshal(quarantine.Answer{Reports: reports})
		Expect(err).NotTo(HaveOccurred())
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }
	}
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

	It("takes what its neighbours know, whatever one of them does", func() {
		odd := []mesh.Crash{known[0], known[1]}
		odd[0].Fingerprints, odd[1].Fingerprints = []uint64{1, 7}, []uint64{1, 7}
		neighbours(knowing(whole, known), knowing(whole, known), encoded(odd), silent)
		Expect(learn()).To(Equal(&port.LearnedCrashes{Reports: known}))
	})

	// A neighbour that starts itself knows nothing; its answer must not contradict others.
	It("does not count nodes that know as little as it does", func() {
		neighbours(knowing(nil, nil), knowing(partial, nil), knowing(whole, known))
		Expect(learn().Reports).To(Equal(known))
		neighbours(knowing(nil, nil), knowing(partial, known))
		Expect(learn().Reports).To(Equal(known))
		Expect(in.Learned.Load().CompleteAt).NotTo(BeZero())
	})

	DescribeTable("refuses an odd answer as a whole", func(handler func() http.HandlerFunc) {
		neighbours(handler())
		Expect(learn().Reports).To(BeEmpty())
	},
		Entry("of absurdly many reports", func() http.HandlerFunc { return encoded(make([]mesh.Crash, 5000)) }),
		Entry("of absurdly many requests", func() http.HandlerFunc {
			c := known[0]
			c.Fingerprints = make([]uint64, 5000)
			return encoded([]mesh.Crash{c, known[1]})
		}),
		Entry("of another service", func() http.HandlerFunc { c := known[0]; c.Service = "billing"; return encoded([]mesh.Crash{c}) }),
		Entry("that does not end", func() http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				for r.Context().Err() == nil {
					_, _ = w.Write(bytes.Repeat([]byte{0x9f}, 1<<16))
				}
			}
		}),
		Entry("with an error", func() http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) { port.Refuse(w, result.BadMessage.Err()) }
		}),
	)

	It("asks nobody in the first start of the system", func() {
		in.PlatformSettings.FirstStart = true
		neighbours(knowing(whole, known))
		Expect(learn()).To(Equal(&port.LearnedCrashes{}))
		Expect(asked.Load()).To(BeZero())
	})

	It("starts attempts without an answer while the nodes are not known, and asks later", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		duty := newLearner(in)
		go func() { _ = duty.Run(ctx) }()
		Eventually(in.Learned.Load).Should(HaveValue(HaveField("Reports", BeEmpty())))
		neighbours(knowing(whole, known))
		Eventually(func() []mesh.Crash { return in.Learned.Load().Reports }).Should(Equal(known))
	})
})

// Guards against a report that fills the quarantine of all nodes.
var _ = It("a broadcast report must be plausible", func() {
	inbox := kernel.NewRing[mesh.Crash]("inbox", 4, kernel.Refuse)
	for _, c := range []mesh.Crash{
		{Service: "stock", Node: "a", Fingerprints: []uint64{1}},
		{Service: "stock", Node: "a", Process: "p", Fingerprints: make([]uint64, 5000)},
		{Service: "stock", Node: "a", Process: "p", Fingerprints: []uint64{1}},
	} {
		body, err := cbor.Marshal(c)
		Expect(err).NotTo(HaveOccurred())
		newCrashRoute(inbox).Handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", crashPath, bytes.NewReader(body)))
	}
	Expect(inbox.Len()).To(Equal(1))
})
