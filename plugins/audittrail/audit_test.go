package audittrail

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// table is an in-memory table with faults.
type table struct {
	mu        sync.Mutex
	rows      map[string]port.Row
	commits   int
	fail      *result.Code // code of failing commits; nil: none fail
	applied   bool         // failing commits take effect nevertheless
	remaining int          // commits that will fail; negative: all
}

func (t *table) injectFaults(fail *result.Code, applied bool, remaining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail, t.applied, t.remaining = fail, applied, remaining
}

func (t *table) Get(_ context.Context, _, key string) (port.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key], nil
}

func (t *table) Scan(_ context.Context, _, prefix, after string, limit int) ([]port.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []port.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b port.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *table) Commit(_ context.Context, txn port.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	failing := t.fail != nil && t.remaining != 0
	if failing && !t.applied {
		t.remaining--
		return t.fail.Err()
	}
	for _, c := range txn.Checks {
		if t.rows[c.Key].Revision != c.Revision {
			return result.RowConflict.Err()
		}
	}
	t.commits++
	for _, put := range txn.Puts {
		t.rows[put.Key] = port.Row{Key: put.Key, Value: put.Value, Revision: uint64(t.commits)}
	}
	if failing {
		t.remaining--
		return t.fail.Err()
	}
	return nil
}

// keys returns the keys of all rows in order.
func (t *table) keys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := []string{}
	for key := range t.rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

const incarnation = 77

// startNode starts a node in incarnation 77. It returns the node's ring and a
// function that stops the node.
func startNode(t *table) (*port.AuditRing, func()) {
	GinkgoHelper()
	settings := kernel.Defaults()
	settings.ForPlugin("audit.trail").(*Settings).Linger = kernel.Span(0)
	var ring *port.AuditRing
	app := fx.New(
		kernel.Options(settings, kernel.NewLogger(io.Discard)),
		fx.Supply(mesh.Identity{Node: "n1", Zone: "a"}),
		fx.Supply(fx.Annotate(t, fx.As(new(port.Table)))),
		fx.Provide(func() *port.ViewCell {
			cell := &port.ViewCell{}
			cell.Store(&mesh.View{Members: []mesh.Member{{Node: "n0"}, {Node: "n1", Incarnation: incarnation}}})
			return cell
		}),
		fx.Populate(&ring),
	)
	Expect(app.Start(context.Background())).To(Succeed())
	stop := sync.OnceFunc(func() { Expect(app.Stop(context.Background())).To(Succeed()) })
	DeferCleanup(stop)
	return ring, stop
}

func keysOf(incarnation, count int) []string {
	keys := []string{}
	for i := 1; i <= count; i++ {
		keys = append(keys, fmt.Sprintf("node/n1/%d/%020d", incarnation, i))
	}
	return keys
}

func send(ring *port.AuditRing, count int) {
	GinkgoHelper()
	for i := range count {
		Expect(ring.Send(context.Background(), port.AuditEntry{Action: "refuse", Subject: fmt.Sprint(i)})).To(Succeed())
	}
}

var _ = Describe("audit duty", func() {
	var t *table
	BeforeEach(func() { t = &table{rows: map[string]port.Row{}} })

	It("writes entries in order, under the incarnation that peers see", func() {
		ring, _ := startNode(t)
		send(ring, 200)
		Eventually(t.keys, "10s").Should(Equal(keysOf(incarnation, 200)))
		page, err := reader{table: t}.Read(context.Background(), "node/n1/77", 0, 300)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Entries).To(HaveLen(200))
		Expect(page.Entries[7]).To(And(HaveField("Subject", "7"), HaveField("Who", "n1"), HaveField("Time", Not(BeZero()))))
		Expect(page.Gaps).To(BeEmpty())
	})

	// Guards against entries that are lost or written twice when the platform fails.
	// The node stops at once, so that the shutdown must write the last entries.
	DescribeTable("writes each entry once", func(fail *result.Code, applied bool) {
		t.injectFaults(fail, applied, 1)
		ring, stop := startNode(t)
		send(ring, 5)
		Eventually(func() int { t.mu.Lock(); defer t.mu.Unlock(); return t.remaining }, "10s").Should(BeZero())
		send(ring, 3)
		stop()
		Expect(t.keys()).To(Equal(keysOf(incarnation, 8)))
	},
		Entry("after a lost response", result.PlatformUnknown, true),
		Entry("after a lost request", result.PlatformUnknown, false),
		Entry("after an outage", result.PlatformDown, false),
		Entry("after a rate limit", result.PlatformLimit, false),
	)

	It("keeps entries during an outage and counts those it has no place for", func() {
		t.injectFaults(result.PlatformDown, false, -1)
		ring, _ := startNode(t)
		send(ring, 1)
		Eventually(ring.Len, "10s").Should(BeZero())
		cancelledCtx, cancel := context.WithCancel(context.Background())
		cancel()
		refused := 0
		for range ringCapacity + maxBatch + 10 {
			if ring.Send(cancelledCtx, port.AuditEntry{Action: "refuse"}) != nil {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">=", 10))
		t.injectFaults(nil, false, 0)
		written := 1 + ringCapacity + maxBatch + 10 - refused
		Eventually(t.keys, "20s").Should(Equal(keysOf(incarnation, written)))
		page, err := reader{table: t}.Read(context.Background(), "node/n1/77", 0, 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Lost).To(BeEquivalentTo(refused))
	})

	It("does not write to the stream of another incarnation of the node", func() {
		foreign := port.Row{Key: keysOf(incarnation, 1)[0], Value: []byte("{}"), Revision: 1}
		t.rows[foreign.Key] = foreign
		ring, _ := startNode(t)
		send(ring, 1)
		Eventually(t.keys, "10s").Should(Equal(append(keysOf(incarnation, 1), keysOf(incarnation+1, 1)...)))
		Expect(t.rows[foreign.Key]).To(Equal(foreign))
	})

	It("discards entries that the platform will never accept and counts them in the next one", func() {
		t.injectFaults(result.BadRequest, false, 1)
		ring, _ := startNode(t)
		send(ring, 1)
		Eventually(func() int { t.mu.Lock(); defer t.mu.Unlock(); return t.remaining }, "10s").Should(BeZero())
		send(ring, 1)
		Eventually(t.keys, "10s").Should(Equal(keysOf(incarnation, 2)[1:]))
		page, err := reader{table: t}.Read(context.Background(), "node/n1/77", 0, 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Gaps).To(Equal([]port.AuditGap{{From: 1, To: 1}}))
		Expect(page.Lost).To(BeEquivalentTo(1))
	})
})

var _ = Describe("reader", func() {
	var t *table
	put := func(stream string, sequences ...uint64) {
		for _, sequence := range sequences {
			value, err := json.Marshal(port.AuditEntry{Stream: stream, Sequence: sequence, Time: time.Unix(0, 0).UTC()})
			Expect(err).NotTo(HaveOccurred())
			key := port.AuditKey(stream, sequence)
			t.rows[key] = port.Row{Key: key, Value: value, Revision: 1}
		}
	}
	BeforeEach(func() {
		t = &table{rows: map[string]port.Row{}}
		put("config", 1, 2, 5, 6, 9)
		put("config/x", 1)
	})

	// Guards against the undetected loss of a row.
	DescribeTable("shows gaps page by page", func(after uint64, limit int, sequences []uint64, missing []port.AuditGap, more bool) {
		page, err := reader{table: t}.Read(context.Background(), "config", after, limit)
		Expect(err).NotTo(HaveOccurred())
		var got []uint64
		for _, entry := range page.Entries {
			got = append(got, entry.Sequence)
		}
		Expect(got).To(Equal(sequences))
		Expect(page.Gaps).To(Equal(missing))
		Expect(page.More).To(Equal(more))
	},
		Entry("first page", uint64(0), 2, []uint64{1, 2}, []port.AuditGap(nil), true),
		Entry("page that begins with a gap", uint64(2), 2, []uint64{5, 6}, []port.AuditGap{{From: 3, To: 4}}, true),
		Entry("all, without a stream whose name has the same prefix", uint64(0), 100, []uint64{1, 2, 5, 6, 9}, []port.AuditGap{{From: 3, To: 4}, {From: 7, To: 8}}, false),
		Entry("end", uint64(9), 100, []uint64(nil), []port.AuditGap(nil), false),
	)

	It("refuses a stream without a name", func() {
		_, err := reader{table: t}.Read(context.Background(), "", 0, 1)
		Expect(result.Of(err)).To(BeIdenticalTo(result.BadRequest))
	})
})
