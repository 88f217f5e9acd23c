package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// step handles one request of a script.
type step = http.HandlerFunc

func respondJSON(status int, body string) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func refuse(code *result.Code) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		body, status := ErrorOf(code.Err())
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"code":` + strconv.Itoa(body.Code) + `,"name":"` + body.Name + `","message":"m"}`))
	}
}

func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// newScriptedClient returns a client of a server that handles each request with the
// next step, and all later ones with the last. The function returns the requested URIs.
func newScriptedClient(steps ...step) (*Client, func() []string) {
	var count atomic.Int64
	uris := make(chan string, 64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		uris <- r.Method + " " + r.RequestURI
		steps[min(int(count.Add(1)), len(steps))-1](w, r)
	}))
	DeferCleanup(server.Close)
	client := New(netip.MustParseAddrPort(server.Listener.Addr().String()), "t")
	return client, func() (all []string) {
		for len(uris) > 0 {
			all = append(all, <-uris)
		}
		return all
	}
}

// If a change is applied twice, or reported as not written although an earlier attempt
// wrote it, an operator publishes it again over a newer one.
var _ = DescribeTable("apply when answers are lost",
	func(steps []step, code *result.Code, version, attempts int) {
		client, requested := newScriptedClient(steps...)
		applied, err := client.Apply(context.Background(), ApplyRequest{Publication: "p 1", Base: 4})
		Expect(result.Of(err)).To(Equal(code))
		Expect(applied.Version).To(Equal(mesh.Version(version)))
		uris := requested()
		Expect(uris).To(HaveLen(attempts))
		Expect(uris).To(HaveEach("POST /v1/apply?base=4&publication=p+1"))
	},
	Entry("response at once", []step{respondJSON(200, `{"version":5}`)}, result.OK, 5, 1),
	Entry("refused at once", []step{refuse(result.Conflict)}, result.Conflict, 0, 1),
	Entry("platform down at once", []step{refuse(result.PlatformDown)}, result.PlatformDown, 0, 1),
	Entry("connection lost", []step{dropConnection, respondJSON(200, `{"version":5}`)}, result.OK, 5, 2),
	Entry("platform's response lost", []step{refuse(result.PlatformUnknown), respondJSON(200, `{"version":5}`)}, result.OK, 5, 2),
	Entry("lost, then platform down", []step{dropConnection, refuse(result.PlatformDown), respondJSON(200, `{"version":5}`)}, result.OK, 5, 3),
	Entry("lost, then refused", []step{dropConnection, refuse(result.Conflict)}, result.Conflict, 0, 2),
)

// A move declared by an attempt whose response was lost must not be reported as
// refused, nor another operator's move as this one.
var _ = DescribeTable("starting a move when the answer is lost",
	func(lookup step, code *result.Code) {
		client, requested := newScriptedClient(dropConnection, refuse(result.MoveInProgress), lookup)
		_, err := client.StartMove(context.Background(), StartMoveRequest{ID: "m1"})
		Expect(result.Of(err)).To(Equal(code))
		Expect(requested()).To(Equal([]string{"POST /v1/moves", "POST /v1/moves", "GET /v1/moves/m1"}))
	},
	Entry("own move", respondJSON(200, `{"id":"m1"}`), result.OK),
	Entry("another move", refuse(result.MoveNotFound), result.MoveInProgress),
)

var _ = Describe("the client", func() {
	It("stops waiting when its context ends and reports the outcome as unknown", func() {
		client, _ := newScriptedClient(dropConnection)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := client.Apply(ctx, ApplyRequest{})
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(err).To(BeAssignableToTypeOf(&TransportError{}))
		Expect(err.(*TransportError).Sent).To(BeTrue())
	})

	// Result codes of a newer node must reach the operator unchanged.
	It("keeps the number of an unknown code", func() {
		client, _ := newScriptedClient(respondJSON(418, `{"code":2999,"name":"newer","message":"m"}`))
		_, err := client.Status(context.Background())
		Expect(err).To(MatchError(ContainSubstring("newer (2999): m")))
	})
})

// A wait that ends before all nodes have applied the version, or that includes dead
// nodes, reports a wrong convergence.
var _ = DescribeTable("convergence", func(nodes []NodeStatus, want Convergence, complete bool) {
	got := ConvergenceOf(StatusResponse{Nodes: nodes}, 5)
	Expect(got).To(Equal(want))
	Expect(got.Complete()).To(Equal(complete))
},
	Entry("no node", nil, Convergence{}, false),
	Entry("newer version", []NodeStatus{{State: "alive", InForce: 6}}, Convergence{1, 1, 0}, true),
	Entry("one missing", []NodeStatus{{State: "alive", InForce: 5}, {State: "alive", InForce: 4}}, Convergence{2, 1, 0}, false),
	Entry("one refused", []NodeStatus{{State: "alive", InForce: 5}, {State: "alive", InForce: 4, Refused: 5}}, Convergence{2, 1, 1}, true),
	Entry("refused an older one", []NodeStatus{{State: "alive", InForce: 3, Refused: 4}}, Convergence{1, 0, 0}, false),
	Entry("dead node", []NodeStatus{{State: "alive", InForce: 5}, {State: "dead", InForce: 4}}, Convergence{1, 1, 0}, true),
)
