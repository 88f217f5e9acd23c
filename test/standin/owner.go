package standin

import (
	"context"

	"teaselring/kernel"
)

// Owner is a duty that owns a state of type S. Other goroutines access the state with
// Query, through a ring.
type Owner[S any] struct {
	name  string
	ring  *kernel.Ring[kernel.Request[func(*S) any, any]]
	state *S
}

// NewOwner returns an owner of state, whose duty is Duty.
func NewOwner[S any](name string, state *S) *Owner[S] {
	ring := kernel.NewRing[kernel.Request[func(*S) any, any]](name+".queries", 256, kernel.WaitUntilDeadline)
	return &Owner[S]{name: name, ring: ring, state: state}
}

// Duty returns the duty that serves queries.
func (o *Owner[S]) Duty() kernel.Duty {
	return kernel.Duty{Name: o.name, Owns: "the state of " + o.name, In: []string{o.ring.Info().Name}, Run: o.Run}
}

// Run serves queries until the context ends.
func (o *Owner[S]) Run(ctx context.Context) error {
	for {
		select {
		case request := <-o.ring.C():
			request.Respond(request.Payload(o.state))
		case <-ctx.Done():
			return nil
		}
	}
}

// Query runs f in the owner's duty. It ignores the cancellation of ctx, so
// that counts stay correct when a caller disconnects.
func Query[S, R any](ctx context.Context, o *Owner[S], f func(*S) R) R {
	response, _ := kernel.Do(context.WithoutCancel(ctx), o.ring, func(s *S) any { return f(s) })
	r, _ := response.(R)
	return r
}
