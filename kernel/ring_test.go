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

	It("refuses with a result code when full, so that no sender blocks", func() {
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

	It("stops waiting at the sender's deadline", func() {
		r := NewRing[int]("r", 1, WaitUntilDeadline)
		Expect(r.Send(ctx, 1)).To(Succeed())
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		Expect(result.Of(r.Send(short, 2))).To(Equal(result.RingFull))
	})
})

var _ = Describe("Request", func() {
	It("does not block the receiver when the requester has stopped waiting", func() {
		ring := NewRing[Request[int, int]]("requests", 1, Refuse)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := Do(ctx, ring, 1)
		Expect(err).To(HaveOccurred())
		request := <-ring.C()
		request.Respond(1)
		request.Respond(2)
	})

	It("is closed when the requester stops waiting, so that the receiver frees what it reserved", func() {
		ring := NewRing[Request[int, int]]("requests", 1, Refuse)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := Do(ctx, ring, 1)
		Expect(err).To(HaveOccurred())
		request := <-ring.C()
		Expect(request.Closed()).To(BeTrue())
		Expect(request.Respond(1)).To(BeFalse())
	})

	It("reports a response as taken exactly when the requester receives it", func() {
		ring := NewRing[Request[int, int]]("requests", 1, Refuse)
		for range 2000 {
			ctx, cancel := context.WithCancel(context.Background())
			taken := make(chan bool, 1)
			go func() { taken <- (<-ring.C()).Respond(7) }()
			go cancel()
			response, err := Do(ctx, ring, 1)
			Expect(err == nil && response == 7).To(Equal(<-taken))
		}
	})

	It("returns the receiver's error to the requester", func() {
		ring := NewRing[Request[int, int]]("requests", 1, Refuse)
		go func() { (<-ring.C()).Fail(result.NoEndpoint.Err()) }()
		_, err := Do(context.Background(), ring, 1)
		Expect(errors.Is(err, result.NoEndpoint.Err())).To(BeTrue())
	})
})
