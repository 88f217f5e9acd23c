package limit

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// Calls were queued on an instance that had become slow until their responses were late, and
// reads were refused because uploads of the same priority took long.
var _ = DescribeTable("the expected wait of a call",
	func(measured mesh.Class, slowness int, want *result.Code) {
		o := newOwner(1, 100)
		enqueue := func(id string, class mesh.Class) error {
			_, err := o.Enqueue(Request{
				Attempt: mesh.AttemptID(id), Class: class, HasPriority: true, Deadline: at(time.Minute), StartBy: at(300 * time.Millisecond),
			}, at(100*time.Millisecond))
			return err
		}
		Expect(enqueue("1", measured)).To(Succeed())
		o.dispatch(start)
		o.Release("1", false, nil, at(100*time.Millisecond))
		o.SetSlowness(slowness)
		Expect(enqueue("2", measured)).To(Succeed())
		o.dispatch(at(100 * time.Millisecond))
		Expect(result.Of(enqueue("3", mesh.ClassRead))).To(Equal(want))
		Expect(result.Of(enqueue("4", mesh.ClassRead))).To(Equal(want), "with a call ahead")
	},
	Entry("is that of its class", mesh.ClassRead, 0, result.OK),
	Entry("grows with the slowness of the instance", mesh.ClassRead, 250, result.QueueFull),
	Entry("is not that of another class", mesh.ClassUpload, 250, result.OK),
)

var _ = Describe("the usual hold time", func() {
	// Without this, calls that ran while the instance was slow made it look slow afterwards.
	It("is measured free of the slowness of the instance", func() {
		h := new(holdTimes)
		h.slowness = 250
		h.add(rankRead, mesh.ClassRead, float64(250*time.Millisecond))
		h.slowness = 100
		Expect(time.Duration(h.expected(&Request{Class: mesh.ClassRead}))).To(Equal(100 * time.Millisecond))
		h.slowness = 1 << 40
		Expect(time.Duration(h.expected(&Request{Class: mesh.ClassRead}))).To(Equal(time.Second))
	})
})

var _ = Describe("an upstream that is offered more than it can run", func() {
	const hold = 150 * time.Millisecond
	var o *owner
	BeforeEach(func() { o = newOwner(6, 1024) }) // 40 calls a second

	It("serves urgent calls with short targets at least as often as less urgent ones that can wait", func() {
		got := replay(o, time.Second, 31*time.Second,
			load{account: "urgent", rate: 50, hold: hold, target: 400 * time.Millisecond},
			load{account: "patient", rate: 50, hold: hold, target: 4 * time.Second, priority: 1})
		Expect(got["urgent"].share()).To(BeNumerically(">=", got["patient"].share()))
		Expect(got["urgent"].started).To(BeNumerically(">", 30*40*9/10))
	})

	It("starves neither short calls nor uploads of the same priority", func() {
		got := replay(o, time.Second, 61*time.Second,
			load{account: "long", rate: 70, hold: hold, target: 2 * time.Second},
			load{account: "short", rate: 5, hold: hold, target: 150 * time.Millisecond},
			load{account: "upload", rate: 5, hold: 2 * hold, target: time.Second, class: mesh.ClassUpload})
		Expect(got["short"].share()).To(BeNumerically(">", 0.95))
		Expect(got["upload"].share()).To(BeNumerically(">", 0.95))
	})

	// The calls of servers had the share of one account among many: 3,248 requests of 61,481
	// failed at their servers on a day with 78 accounts, 1,897 of 66,154 before.
	It("serves the calls of servers before those of many accounts", func() {
		loads := []load{{rate: 16, hold: hold / 2, target: 250 * time.Millisecond}}
		for i := range 20 {
			loads = append(loads, load{account: mesh.AccountName(fmt.Sprint("a", i)), rate: 3, hold: hold, target: time.Second})
		}
		Expect(replay(o, time.Second, 61*time.Second, loads...)[""].share()).To(BeNumerically(">", 0.98))
	})

	// All calls without an account share one flow, except short ones.
	It("starves neither short calls nor uploads without an account", func() {
		got := replay(o, time.Second, 61*time.Second,
			load{rate: 70, hold: hold, target: 2 * time.Second},
			load{rate: 5, hold: hold, target: 150 * time.Millisecond},
			load{rate: 5, hold: 2 * hold, target: time.Second, class: mesh.ClassUpload})
		Expect(got[""].share()).To(BeNumerically(">", 0.45))
	})
})

// On the day with the highest load 10,395 of 38,503 arrivals at one service were refused by
// its servers, while all of them refused a share of their calls at any load.
var _ = Describe("the limit of an upstream that refuses calls", func() {
	// mean returns the average limit while an upstream with 6 slots is offered more than it can
	// run. It refuses a share of the calls, and those beyond a number of running ones.
	mean := func(share float64, real int) float64 {
		o, rnd, sum := newOwner(6, 1024), rand.New(rand.NewPCG(2, 2)), 0
		ends := map[mesh.AttemptID]time.Time{}
		const steps = 20_000
		for i := range steps {
			now := at(time.Duration(i) * time.Millisecond)
			for id, end := range ends {
				if !end.After(now) {
					delete(ends, id)
					o.Release(id, false, &mesh.Load{InFlight: len(ends), Limit: real}, now)
				}
			}
			if i%5 == 0 {
				id := mesh.AttemptID(fmt.Sprint(i))
				_, _ = o.Enqueue(Request{Attempt: id, Class: mesh.ClassRead, Deadline: now.Add(time.Second)}, now)
			}
			for _, id := range o.dispatch(now) {
				if len(ends) >= real || rnd.Float64() < share {
					o.Release(id, true, &mesh.Load{InFlight: len(ends) + 1, Limit: real}, now) // with the refused one
					continue
				}
				ends[id] = now.Add(100 * time.Millisecond)
			}
			sum += o.Limit()
		}
		return float64(sum) / steps
	}

	It("stays when it refuses a share at any load", func() {
		Expect(mean(0.5, 6)).To(BeNumerically(">", 5.7))
		Expect(mean(0.25, 6)).To(BeNumerically(">", 5.7))
	})

	It("falls to what it can run", func() {
		Expect(mean(0, 3)).To(BeNumerically("<", 4))
	})
})
