package kernel

import (
	"context"
	"sync/atomic"

	"teaselring/result"
)

// Request is an item of a ring whose receiver responds exactly once.
type Request[Q, R any] struct {
	Payload      Q
	responseSlot *responseSlot[R]
}

// responseSlot is closed exactly once: by the response or by a requester that
// stops waiting.
type responseSlot[R any] struct {
	closed atomic.Bool
	reply  chan reply[R]
}

type reply[R any] struct {
	response R
	err      error
}

// Respond delivers the response and reports whether the requester receives it.
// It never blocks. It returns false when the requester has stopped waiting, so
// that the receiver can free what it reserved for it.
func (r Request[Q, R]) Respond(response R) bool { return r.deliver(reply[R]{response: response}) }

// Fail delivers an error in place of a response, as Respond does.
func (r Request[Q, R]) Fail(err error) bool { return r.deliver(reply[R]{err: err}) }

// Closed reports whether a response was delivered or the requester has stopped
// waiting.
func (r Request[Q, R]) Closed() bool { return r.responseSlot == nil || r.responseSlot.closed.Load() }

func (r Request[Q, R]) deliver(outcome reply[R]) bool {
	if r.responseSlot == nil || !r.responseSlot.closed.CompareAndSwap(false, true) {
		return false
	}
	r.responseSlot.reply <- outcome // never blocks: the capacity is 1 and closed admits one reply
	return true
}

// Do sends a request through a ring and waits for its response or the end of ctx.
// When ctx ends first, the request may still be handled, but Respond then returns
// false. A response delivered before that is returned.
func Do[Q, R any](ctx context.Context, ring *Ring[Request[Q, R]], payload Q) (R, error) {
	request := Request[Q, R]{Payload: payload, responseSlot: &responseSlot[R]{reply: make(chan reply[R], 1)}}
	var zero R
	if err := ring.Send(ctx, request); err != nil {
		return zero, err
	}
	select {
	case r := <-request.responseSlot.reply:
		return r.response, r.err
	case <-ctx.Done():
	}
	if request.responseSlot.closed.CompareAndSwap(false, true) {
		return zero, result.Stopped.Errorf("no response from ring %q: %v", ring.info.Name, context.Cause(ctx))
	}
	r := <-request.responseSlot.reply
	return r.response, r.err
}
