package limit

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// steps lets one call start every 100 ms and two calls run at once.
type steps struct{ started int }

func (b *steps) StartTime(n int, now time.Time) time.Time {
	if start := at(time.Duration(b.started+n-1) * 100 * time.Millisecond); start.After(now) {
		return start
	}
	return now
}
func (b *steps) Started(time.Time)                        { b.started++ }
func (b *steps) Withdrawn()                               { b.started-- }
func (b *steps) Concurrency(time.Duration, time.Time) int { return 2 }

var _ = Describe("Slots with a bound of the starts", func() {
	var o *owner
	BeforeEach(func() {
		o = newOwner(8, 100)
		o.SetStartBound(new(steps))
	})
	enqueue := func(id string, class mesh.Class, within time.Duration, now time.Time) error {
		_, err := o.Enqueue(Request{Attempt: mesh.AttemptID(id), Class: class, Deadline: now.Add(within), StartBy: now.Add(within)}, now)
		return err
	}

	It("starts queued calls when the bound allows, and refuses the rest at once", func() {
		Expect(enqueue("1", mesh.ClassRead, 250*time.Millisecond, start)).To(Succeed())
		Expect(o.dispatch(start)).To(ConsistOf(mesh.AttemptID("1")))
		Expect(enqueue("2", mesh.ClassRead, 250*time.Millisecond, start)).To(Succeed())
		Expect(enqueue("3", mesh.ClassRead, 250*time.Millisecond, start)).To(Succeed())
		err := enqueue("4", mesh.ClassRead, 250*time.Millisecond, start)
		Expect(result.Of(err)).To(Equal(result.QueueFull))
		Expect(result.AsError(err).Details).To(HaveKeyWithValue(RetryDetail, "51"))
		Expect(o.RefusedCold()).To(BeEquivalentTo(1))
		Expect(o.dispatch(at(99 * time.Millisecond))).To(BeEmpty())
		next, waiting := o.NextStart(start)
		Expect(waiting).To(BeTrue())
		Expect(next).To(Equal(at(100 * time.Millisecond)))
		Expect(o.dispatch(next)).To(ConsistOf(mesh.AttemptID("2")))
		Expect(o.Load().Limit).To(Equal(2), "of 8")
	})

	It("starts the most important calls, and refuses those that they displace", func() {
		Expect(enqueue("1", mesh.ClassRead, 150*time.Millisecond, start)).To(Succeed())
		o.dispatch(start)
		Expect(enqueue("2", mesh.ClassRead, 150*time.Millisecond, start)).To(Succeed())
		Expect(enqueue("3", mesh.ClassOnce, 150*time.Millisecond, start)).To(Succeed())
		started, refused := o.Dispatch(start)
		Expect(started).To(BeEmpty())
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Attempt).To(BeEquivalentTo("2"))
		Expect(result.Of(refused[0].Err)).To(Equal(result.QueueFull))
		Expect(o.dispatch(at(100 * time.Millisecond))).To(ConsistOf(mesh.AttemptID("3")))
	})

	It("gives back the start of a call that never reached the upstream", func() {
		Expect(enqueue("1", mesh.ClassRead, time.Second, start)).To(Succeed())
		o.dispatch(start)
		o.Withdraw("1")
		Expect(enqueue("2", mesh.ClassRead, time.Second, start)).To(Succeed())
		Expect(o.dispatch(start)).To(ConsistOf(mesh.AttemptID("2")))
	})
})
