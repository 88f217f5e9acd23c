package kernel

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/result"
)

var _ = Describe("Ring", func() {
	ctx := context.Background()

	It("refuses with a code when full, so that a sender is never blocked", func() {
		r := NewRing[int]("r", 1, Refuse)
		Expect(r.Send(ctx, 1)).To(Succeed())
		Expect(result.Of(r.Send(ctx, 2))).To(Equal(result.RingFull))
		Expect(r.refused.Count()).To(BeEquivalentTo(1))
	})

	It("keeps the newest items when the oldest may be replaced", func() {
		r := NewRing[int]("r", 2, ReplaceOldest)
		for i := range 5 {
			Expect(r.Send(ctx, i)).To(Succeed())
		}
		Expect(<-r.C()).To(Equal(3))
		Expect(<-r.C()).To(Equal(4))
	})

	It("stops waiting at the deadline of the sender", func() {
		r := NewRing[int]("r", 1, WaitUntilDeadline)
		Expect(r.Send(ctx, 1)).To(Succeed())
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		Expect(result.Of(r.Send(short, 2))).To(Equal(result.RingFull))
	})
})

var _ = Describe("Ask", func() {
	It("does not block the answering duty when the asker has left", func() {
		ring := NewRing[Ask[int, int]]("asks", 1, Refuse)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := Do(ctx, ring, 1)
		Expect(err).To(HaveOccurred())
		ask := <-ring.C()
		ask.Answer(1)
		ask.Answer(2)
	})

	It("tells the receiver that the asker has left, so that a reserved place is not lost", func() {
		ring := NewRing[Ask[int, int]]("asks", 1, Refuse)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := Do(ctx, ring, 1)
		Expect(err).To(HaveOccurred())
		ask := <-ring.C()
		Expect(ask.Closed()).To(BeTrue())
		Expect(ask.Answer(1)).To(BeFalse())
	})

	It("gives each answer either to the asker or back to the receiver", func() {
		ring := NewRing[Ask[int, int]]("asks", 1, Refuse)
		for range 2000 {
			ctx, cancel := context.WithCancel(context.Background())
			taken := make(chan bool, 1)
			go func() { taken <- (<-ring.C()).Answer(7) }()
			go cancel()
			answer, err := Do(ctx, ring, 1)
			Expect(err == nil && answer == 7).To(Equal(<-taken))
		}
	})

	It("carries the receiver's error to the asker", func() {
		ring := NewRing[Ask[int, int]]("asks", 1, Refuse)
		go func() { (<-ring.C()).Fail(result.NoEndpoint.Err()) }()
		_, err := Do(context.Background(), ring, 1)
		Expect(errors.Is(err, result.NoEndpoint.Err())).To(BeTrue())
	})
})
