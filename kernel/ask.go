package kernel

import (
	"context"
	"sync/atomic"

	"teaselring/result"
)

// Ask is a query sent through a ring whose receiver answers exactly once.
type Ask[Q, A any] struct {
	Query    Q
	exchange *exchange[A]
}

// exchange is closed exactly once: by the answer, or by the asker who leaves.
type exchange[A any] struct {
	closed atomic.Bool
	reply  chan reply[A]
}

type reply[A any] struct {
	answer A
	err    error
}

// Answer delivers the answer and reports whether the asker gets it. It never
// blocks. It returns false when the asker has left, so that a receiver can
// take back what it reserved for the asker.
func (a Ask[Q, A]) Answer(answer A) bool { return a.deliver(reply[A]{answer: answer}) }

// Fail delivers an error in place of an answer, as Answer does.
func (a Ask[Q, A]) Fail(err error) bool { return a.deliver(reply[A]{err: err}) }

// Closed reports whether the asker has left or an answer was delivered.
func (a Ask[Q, A]) Closed() bool { return a.exchange == nil || a.exchange.closed.Load() }

func (a Ask[Q, A]) deliver(r reply[A]) bool {
	if a.exchange == nil || !a.exchange.closed.CompareAndSwap(false, true) {
		return false
	}
	a.exchange.reply <- r // has one place, and only one reply gets here
	return true
}

// Do sends a query through a ring and waits for its answer or the end of ctx.
// When ctx ends first the query may still be handled, but its receiver learns
// that the answer was not taken. An answer delivered before that is returned.
func Do[Q, A any](ctx context.Context, ring *Ring[Ask[Q, A]], query Q) (A, error) {
	ask := Ask[Q, A]{Query: query, exchange: &exchange[A]{reply: make(chan reply[A], 1)}}
	var none A
	if err := ring.Send(ctx, ask); err != nil {
		return none, err
	}
	select {
	case r := <-ask.exchange.reply:
		return r.answer, r.err
	case <-ctx.Done():
	}
	if ask.exchange.closed.CompareAndSwap(false, true) {
		return none, result.Stopped.Errorf("no answer from ring %q: %v", ring.info.Name, context.Cause(ctx))
	}
	r := <-ask.exchange.reply
	return r.answer, r.err
}
