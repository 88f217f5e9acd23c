// Package rings provides fake duties that serve rings in tests.
package rings

import (
	"context"

	"teaselring/kernel"
)

// Responder returns a ring whose requests a goroutine serves with respond until the
// context ends.
func Responder[Q, R any](ctx context.Context, name string, respond func(Q) (R, error)) *kernel.Ring[kernel.Request[Q, R]] {
	ring := kernel.NewRing[kernel.Request[Q, R]](name, 64, kernel.WaitUntilDeadline)
	go func() {
		for {
			select {
			case request := <-ring.C():
				if response, err := respond(request.Payload); err != nil {
					request.Fail(err)
				} else {
					request.Respond(response)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return ring
}
