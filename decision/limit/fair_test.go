package limit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

// load is what one account sends to one upstream.
type load struct {
	account  mesh.AccountName
	rate     float64 // calls per second
	hold     time.Duration
	priority int
	until    time.Duration // zero: to the end
	class    mesh.Class    // empty: read
	target   time.Duration // zero: none
}

// served is what an account got.
type served struct{ offered, started int }

func (s served) share() float64 { return float64(s.started) / float64(max(s.offered, 1)) }

// replay offers loads to Slots for some time, in steps of 1 ms, and returns what each account
// got from a time on. A call must start within 300 ms.
func replay(o *owner, from, to time.Duration, loads ...load) map[mesh.AccountName]*served {
	rnd := rand.New(rand.NewPCG(5, 5))
	got, calls, ends := map[mesh.AccountName]*served{}, map[mesh.AttemptID]*load{}, map[mesh.AttemptID]time.Time{}
	for i := range loads {
		got[loads[i].account] = &served{}
	}
	for t := time.Duration(0); t < to; t += time.Millisecond {
		now := at(t)
		for id, end := range ends {
			if !end.After(now) {
				delete(ends, id)
				o.Release(id, false, nil, now)
			}
		}
		for i := range loads {
			l := &loads[i]
			if (l.until > 0 && t >= l.until) || rnd.Float64() >= l.rate/1000 {
				continue
			}
			o.ids++
			id := mesh.AttemptID(fmt.Sprint(o.ids))
			calls[id] = l
			if t >= from {
				got[l.account].offered++
			}
			q := Request{
				Attempt: id, Class: cmp.Or(l.class, mesh.ClassRead), Deadline: now.Add(time.Second), StartBy: now.Add(300 * time.Millisecond),
				Account: l.account, Priority: l.priority, HasPriority: true,
			}
			if l.target > 0 {
				q.SoftDeadline, q.StartBy = now.Add(l.target), now.Add(max(l.target*6/10, 250*time.Millisecond))
			}
			_, _ = o.Enqueue(q, now)
		}
		for _, id := range o.dispatch(now) {
			ends[id] = now.Add(calls[id].hold)
			if t >= from {
				got[calls[id].account].started++
			}
		}
	}
	return got
}

// small returns the loads of a number of accounts that send equally much.
func small(n int, rate float64) (loads []load) {
	for i := range n {
		loads = append(loads, load{account: mesh.AccountName(fmt.Sprint("small", i)), rate: rate, hold: 100 * time.Millisecond})
	}
	return loads
}

// The calls of an account that sent 4 to 7.5 times its usual load filled the queues of all
// servers, so that most of the other accounts' calls were refused.
var _ = Describe("accounts that share an upstream", func() {
	const (
		slots    = 4
		capacity = 40.0 // calls of 100 ms per second
	)
	var o *owner
	BeforeEach(func() { o = newOwner(slots, 1024) })
	total := func(got map[mesh.AccountName]*served) (n float64) {
		for _, s := range got {
			n += float64(s.started)
		}
		return n
	}

	It("lose nothing to a heavy one, which gets what they leave", func() {
		heavy := load{account: "heavy", rate: 7 * capacity, hold: 100 * time.Millisecond}
		got := replay(o, time.Second, 61*time.Second, append(small(5, 4), heavy)...)
		for name, s := range got {
			if name != "heavy" {
				Expect(s.share()).To(BeNumerically(">", 0.98), string(name))
			}
		}
		Expect(total(got)).To(BeNumerically(">", 60*capacity*0.97), "slots are left idle")
	})

	// A slot is free each 125 ms, so that three calls at once can't all start in time.
	It("lose little to one whose calls take longer", func() {
		heavy := load{account: "heavy", rate: capacity, hold: 500 * time.Millisecond}
		got := replay(o, time.Second, 61*time.Second, append(small(2, 5), heavy)...)
		Expect(got["small0"].share()).To(BeNumerically(">", 0.7))
		Expect(got["small1"].share()).To(BeNumerically(">", 0.7))
		Expect(got["heavy"].share()).To(BeNumerically("<", 0.2))
	})

	It("are all served when many small ones ask for twice what there is", func() {
		got := replay(o, time.Second, 41*time.Second, small(40, 2)...)
		mean := total(got) / 40
		for name, s := range got {
			Expect(float64(s.started)).To(BeNumerically(">", mean/2), string(name))
		}
	})

	It("get its share when a heavy one leaves, and no account keeps an entry", func() {
		heavy := load{account: "heavy", rate: 7 * capacity, hold: 100 * time.Millisecond, until: 2 * time.Second}
		got := replay(o, 2300*time.Millisecond, 12*time.Second, append(small(5, 5), heavy)...)
		Expect(got["small0"].share()).To(BeNumerically(">", 0.97))
		o.Prune(func(mesh.AttemptID) bool { return true })
		for r := range o.queue {
			Expect(o.queue[r].flows).To(BeEmpty())
		}
	})

	It("come after a heavy one that is more urgent, and share what it leaves", func() {
		loads := append(small(6, 20), load{account: "urgent", rate: capacity / 2, hold: 100 * time.Millisecond})
		for i := range loads[:6] {
			loads[i].priority = 1
		}
		got := replay(o, time.Second, 21*time.Second, loads...)
		Expect(got["urgent"].share()).To(BeNumerically(">", 0.97))
		mean := (total(got) - float64(got["urgent"].started)) / 6
		for name, s := range got {
			if name != "urgent" {
				Expect(float64(s.started)).To(BeNumerically("~", mean, mean/2), string(name))
			}
		}
	})

	It("find room in a queue that a heavy one has filled", func() {
		o.Resize(1, 4)
		request := func(id string, account mesh.AccountName) (*Refusal, error) {
			return o.Enqueue(Request{Attempt: mesh.AttemptID(id), Class: mesh.ClassRead, Deadline: at(time.Minute), Account: account}, start)
		}
		for i := range 5 {
			_, err := request(fmt.Sprint("h", i), "heavy")
			Expect(err).NotTo(HaveOccurred())
			o.dispatch(start)
		}
		_, err := request("h5", "heavy")
		Expect(err).To(HaveOccurred())
		evicted, err := request("s", "small")
		Expect(err).NotTo(HaveOccurred())
		Expect(evicted.Attempt).To(BeEquivalentTo("h4"))
		o.Release("h0", false, nil, at(time.Millisecond))
		Expect(o.dispatch(at(time.Millisecond))).To(ConsistOf(mesh.AttemptID("h1")), "it came first, neither has used more")
		o.Release("h1", false, nil, at(2*time.Millisecond))
		Expect(o.dispatch(at(2 * time.Millisecond))).To(ConsistOf(mesh.AttemptID("s")))
	})

	It("keep a bounded number of entries while calls wait", func() {
		o.Resize(1, 1024)
		for i := range 5000 {
			now := at(time.Duration(i) * time.Millisecond)
			for j := range 2 {
				_, _ = o.Enqueue(Request{
					Attempt: mesh.AttemptID(fmt.Sprint(i, "/", j)), Class: mesh.ClassRead, Deadline: now.Add(5 * time.Millisecond),
					Account: mesh.AccountName(fmt.Sprint(i, "/", j)),
				}, now)
			}
			for _, id := range o.dispatch(now) {
				o.Release(id, false, nil, now.Add(time.Millisecond))
			}
		}
		Expect(len(o.queue[rankRead].flows)).To(BeNumerically("<=", 4*minSweep))
	})
})

// Servers' own calls have short targets. Behind clients' calls that could wait longer they
// were refused, and the clients' requests that had caused them failed.
var _ = Describe("calls with a short target", func() {
	It("don't wait behind the calls of the same rank that can wait", func() {
		o := newOwner(1, 100)
		o.fill(mesh.ClassRead, 1)
		o.Release("1", false, nil, at(50*time.Millisecond))
		o.fill(mesh.ClassRead, 10)
		_, err := o.Enqueue(Request{
			Attempt: "short", Class: mesh.ClassRead, Deadline: at(2 * time.Second),
			StartBy: at(250 * time.Millisecond), SoftDeadline: at(150 * time.Millisecond),
		}, start)
		Expect(err).NotTo(HaveOccurred())
		o.Release("2", false, nil, at(50*time.Millisecond))
		first := o.dispatch(at(50 * time.Millisecond))
		o.Release(first[0], false, nil, at(100*time.Millisecond))
		Expect(append(first, o.dispatch(at(100*time.Millisecond))...)).To(ContainElement(mesh.AttemptID("short")))
	})
})
