package kernel

import (
	"context"

	"teaselring/result"
)

// Ask is a query sent through a ring whose receiver answers exactly once.
type Ask[Q, A any] struct {
	Query Q
	reply chan reply[A]
}

type reply[A any] struct {
	answer A
	err    error
}

// Answer delivers the answer. It never blocks: the asker may have left.
func (a Ask[Q, A]) Answer(answer A) { a.deliver(reply[A]{answer: answer}) }

// Fail delivers an error in place of an answer.
func (a Ask[Q, A]) Fail(err error) { a.deliver(reply[A]{err: err}) }

func (a Ask[Q, A]) deliver(r reply[A]) {
	select {
	case a.reply <- r:
	default: // a second answer is dropped
	}
}

// Do sends a query through a ring and waits for its answer or the end of ctx.
// When ctx ends first the query may still be handled; the answer is dropped.
func Do[Q, A any](ctx context.Context, ring *Ring[Ask[Q, A]], query Q) (A, error) {
	ask := Ask[Q, A]{Query: query, reply: make(chan reply[A], 1)}
	var none A
	if err := ring.Send(ctx, ask); err != nil {
		return none, err
	}
	select {
	case r := <-ask.reply:
		return r.answer, r.err
	case <-ctx.Done():
		return none, result.Stopped.Errorf("no answer from ring %q: %v", ring.info.Name, context.Cause(ctx))
	}
}
