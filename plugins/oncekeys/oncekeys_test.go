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

// fakeTable is a table in memory whose next commits can fail before or after
// they take effect.
type fakeTable struct {
	mu         sync.Mutex
	rows       map[string]port.Row
	revision   uint64
	loseAnswer atomic.Int32 // commits that take effect and answer PlatformUnknown
	loseWrite  atomic.Int32 // commits that have no effect and answer PlatformUnknown
	down       atomic.Bool
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
	if f.loseAnswer.Add(-1) >= 0 {
		return result.PlatformUnknown.Err()
	}
	return nil
}

// node runs the two duties of one node over the table.
type node struct {
	claims      *port.ClaimRing
	settlements *port.SettlementRing
}

func newNode(table port.Table) *node {
	s := &Settings{BatchSize: 8, BatchWindow: kernel.Span(time.Millisecond), Patience: kernel.Span(time.Second)}
	n := &node{
		claims:      kernel.NewRing[claimAsk]("once.claims", 64, kernel.Refuse),
		settlements: kernel.NewRing[settlementAsk]("once.settlements", 64, kernel.Refuse),
	}
	batches := kernel.NewRing[work]("once.batches", 2, kernel.Refuse)
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

	It("go to exactly one of many nodes that ask for the same key at once", func() {
		var granted atomic.Int32
		var asking sync.WaitGroup
		for i := range 10 {
			n := newNode(table)
			asking.Go(func() {
				if n.claim("k", mesh.AttemptID(rune('a'+i))) == result.OK {
					granted.Add(1)
				}
			})
		}
		asking.Wait()
		Expect(granted.Load()).To(BeEquivalentTo(1))
	})

	It("are granted when the answer was lost after the write took effect", func() {
		table.loseAnswer.Store(1)
		Expect(newNode(table).claim("k", "a")).To(Equal(result.OK))
	})

	// A lost answer is no grant: the write may have met the claim of another call.
	It("are refused when the answer was lost and another attempt has the key", func() {
		Expect(newNode(table).claim("k", "a")).To(Equal(result.OK))
		table.loseWrite.Store(1)
		Expect(newNode(table).claim("k", "b")).To(Equal(result.KeyMayHaveRun))
	})

	It("are refused as not run while the platform is down", func() {
		table.down.Store(true)
		Expect(newNode(table).claim("k", "a")).To(Equal(result.KeyStoreDown))
	})

	It("answer a repeated call with what the first came to", func() {
		n := newNode(table)
		Expect(n.claim("k", "a")).To(Equal(result.OK))
		Expect(n.claim("k", "b")).To(Equal(result.KeyMayHaveRun))
		n.settle(port.Settlement{Claim: claimOf("k", "a"), Status: 201})
		Expect(newNode(table).claim("k", "c")).To(Equal(result.AlreadyRan))
	})

	It("are free again after the call proved not to have begun", func() {
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

	It("that were refused although their rows were written are freed later", func() {
		row := once.Row{Attempt: "a", State: once.Claimed}
		value, _ := json.Marshal(row)
		table.rows[rowKey(claimOf("k", "a"))] = port.Row{Value: value, Revision: 1}
		w := &writer{platform: table, refused: metrics.NewCounter()}
		w.refusedClaims = []port.Claim{claimOf("k", "a")}
		w.freeRefused(context.Background())
		Expect(newNode(table).claim("k", "b")).To(Equal(result.OK))
	})

	// The caller is told "not run", so its next try with the key must run.
	It("that were written after their call left are freed later", func() {
		w := &writer{platform: table, refused: metrics.NewCounter()}
		ring := kernel.NewRing[claimAsk]("once.claims", 1, kernel.Refuse)
		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan error)
		go func() {
			_, err := kernel.Do(ctx, ring, claimOf("k", "a"))
			left <- err
		}()
		ask := <-ring.C()
		Expect(table.Commit(ctx, w.claimTxn([]claimAsk{ask}))).To(Succeed())
		cancel()
		Expect(<-left).To(HaveOccurred())
		w.grant([]claimAsk{ask})
		w.freeRefused(context.Background())
		Expect(newNode(table).claim("k", "b")).To(Equal(result.OK))
	})
})
