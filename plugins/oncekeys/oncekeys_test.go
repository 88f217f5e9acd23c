package oncekeys

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"teaselring/decision/once"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

func TestOnceKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once.keys")
}

// fakeTable is an in-memory table whose next commits can fail before or after they
// take effect.
type fakeTable struct {
	mu           sync.Mutex
	rows         map[string]port.Row
	revision     uint64
	loseResponse atomic.Int32 // commits that take effect and return PlatformUnknown
	loseWrite    atomic.Int32 // commits that have no effect and return PlatformUnknown
	down         atomic.Bool
}

func (f *fakeTable) Get(_ context.Context, _, key string) (port.Row, error) {
	if f.down.Load() {
		return port.Row{}, result.PlatformDown.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key], nil
}

func (f *fakeTable) Scan(context.Context, string, string, string, int) ([]port.Row, error) {
	return nil, nil
}

func (f *fakeTable) Commit(_ context.Context, txn port.Txn) error {
	if f.down.Load() {
		return result.PlatformDown.Err()
	}
	if f.loseWrite.Add(-1) >= 0 {
		return result.PlatformUnknown.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range txn.Checks {
		if f.rows[c.Key].Revision != c.Revision {
			return result.RowConflict.Err()
		}
	}
	for _, p := range txn.Puts {
		f.revision++
		f.rows[p.Key] = port.Row{Key: p.Key, Value: p.Value, Revision: f.revision}
	}
	for _, d := range txn.Deletes {
		delete(f.rows, d.Key)
	}
	if f.loseResponse.Add(-1) >= 0 {
		return result.PlatformUnknown.Err()
	}
	return nil
}

// node holds the rings of a node's two duties, which run over a table.
type node struct {
	claims      *port.ClaimRing
	settlements *port.SettlementRing
}

func newNode(table port.Table) *node {
	s := &Settings{BatchSize: 8, BatchWindow: kernel.Span(time.Millisecond), Patience: kernel.Span(time.Second)}
	n := &node{
		claims:      kernel.NewRing[claimRequest]("once.claims", 64, kernel.Refuse),
		settlements: kernel.NewRing[settlementRequest]("once.settlements", 64, kernel.Refuse),
	}
	batches := kernel.NewRing[pendingBatch]("once.batches", 2, kernel.Refuse)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for _, duty := range []kernel.Duty{
		newCollector(s)(n.claims, n.settlements, batches),
		newWriter(s)(mesh.Identity{Node: "n"}, table, metrics.NewRegistry(), batches),
	} {
		go func() { _ = duty.Run(ctx) }()
	}
	return n
}

func (n *node) claim(key string, attempt mesh.AttemptID) *result.Code {
	_, err := kernel.Do(context.Background(), n.claims, claimOf(key, attempt))
	return result.Of(err)
}

func (n *node) settle(s port.Settlement) {
	_, err := kernel.Do(context.Background(), n.settlements, s)
	Expect(err).NotTo(HaveOccurred())
}

func claimOf(key string, attempt mesh.AttemptID) port.Claim {
	return port.Claim{Service: "billing", Caller: "shop", Key: key, Attempt: attempt}
}

var _ = Describe("claims", func() {
	var table *fakeTable
	BeforeEach(func() { table = &fakeTable{rows: map[string]port.Row{}} })

	It("are granted to exactly one of many nodes that claim the same key concurrently", func() {
		var granted atomic.Int32
		var claiming sync.WaitGroup
		for i := range 10 {
			n := newNode(table)
			claiming.Go(func() {
				if n.claim("k", mesh.AttemptID(rune('a'+i))) == result.OK {
					granted.Add(1)
				}
			})
		}
		claiming.Wait()
		Expect(granted.Load()).To(BeEquivalentTo(1))
	})

	It("are granted when the answer was lost after the write took effect", func() {
		table.loseResponse.Store(1)
		Expect(newNode(table).claim("k", "a")).To(Equal(result.OK))
	})

	// A lost response grants nothing: the write may have failed because another call
	// has the key.
	It("are refused when the answer was lost and another attempt has the key", func() {
		Expect(newNode(table).claim("k", "a")).To(Equal(result.OK))
		table.loseWrite.Store(1)
		Expect(newNode(table).claim("k", "b")).To(Equal(result.KeyMayHaveRun))
	})

	It("are refused as not run while the platform is down", func() {
		table.down.Store(true)
		Expect(newNode(table).claim("k", "a")).To(Equal(result.KeyStoreDown))
	})

	It("refuse a repeated call with the outcome of the first", func() {
		n := newNode(table)
		Expect(n.claim("k", "a")).To(Equal(result.OK))
		Expect(n.claim("k", "b")).To(Equal(result.KeyMayHaveRun))
		n.settle(port.Settlement{Claim: claimOf("k", "a"), Status: 201})
		Expect(newNode(table).claim("k", "c")).To(Equal(result.AlreadyRan))
	})

	It("are freed when the call is proven not to have run", func() {
		n := newNode(table)
		Expect(n.claim("k", "a")).To(Equal(result.OK))
		n.settle(port.Settlement{Claim: claimOf("k", "a"), NotRun: true})
		Expect(n.claim("k", "b")).To(Equal(result.OK))
	})

	It("of another attempt are not removed by a late settlement", func() {
		n := newNode(table)
		Expect(n.claim("k", "b")).To(Equal(result.OK))
		n.settle(port.Settlement{Claim: claimOf("k", "a"), NotRun: true})
		Expect(n.claim("k", "c")).To(Equal(result.KeyMayHaveRun))
	})

	It("are freed later when they were refused although their rows were written", func() {
		row := once.Row{Attempt: "a", State: once.Claimed}
		value, _ := json.Marshal(row)
		table.rows[rowKey(claimOf("k", "a"))] = port.Row{Value: value, Revision: 1}
		w := &writer{platform: table, refused: metrics.NewCounter()}
		w.claimsToFree = []port.Claim{claimOf("k", "a")}
		w.freeClaims(context.Background())
		Expect(newNode(table).claim("k", "b")).To(Equal(result.OK))
	})

	// The call is refused as not run, so a retry with the key must run.
	It("are freed later when they were written after their call was cancelled", func() {
		w := &writer{platform: table, refused: metrics.NewCounter()}
		ring := kernel.NewRing[claimRequest]("once.claims", 1, kernel.Refuse)
		ctx, cancel := context.WithCancel(context.Background())
		cancelled := make(chan error)
		go func() {
			_, err := kernel.Do(ctx, ring, claimOf("k", "a"))
			cancelled <- err
		}()
		request := <-ring.C()
		Expect(table.Commit(ctx, w.claimTxn([]claimRequest{request}))).To(Succeed())
		cancel()
		Expect(<-cancelled).To(HaveOccurred())
		w.grant([]claimRequest{request})
		w.freeClaims(context.Background())
		Expect(newNode(table).claim("k", "b")).To(Equal(result.OK))
	})
})
