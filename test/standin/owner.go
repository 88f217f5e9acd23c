package standin

import (
	"context"

	"teaselring/kernel"
)

// Owner is a duty that owns a state of type S. Others query it through a ring.
type Owner[S any] struct {
	name string
	ring *kernel.Ring[kernel.Request[func(*S) any, any]]
	s    *S
}

// NewOwner returns the owner of s. Its duty is Duty.
func NewOwner[S any](name string, s *S) *Owner[S] {
	ring := kernel.NewRing[kernel.Request[func(*S) any, any]](name+".queries", 256, kernel.WaitUntilDeadline)
	return &Owner[S]{name: name, ring: ring, s: s}
}

// Duty serves queries until its context ends.
func (o *Owner[S]) Duty() kernel.Duty {
	return kernel.Duty{Name: o.name, Owns: "the state of " + o.name, In: []string{o.ring.Info().Name}, Run: o.Run}
}

// Run is the duty's function.
func (o *Owner[S]) Run(ctx context.Context) error {
	for {
		select {
		case ask := <-o.ring.C():
			ask.Respond(ask.Payload(o.s))
		case <-ctx.Done():
			return nil
		}
	}
}

// Query runs f in the owner's duty. A query is not given up when the request
// that needs it is cancelled, so that counts stay right.
func Query[S, A any](ctx context.Context, o *Owner[S], f func(*S) A) A {
	answer, _ := kernel.Do(context.WithoutCancel(ctx), o.ring, func(s *S) any { return f(s) })
	a, _ := answer.(A)
	return a
}
