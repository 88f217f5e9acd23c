// Package rings scripts the duties behind rings in tests.
package rings

import (
	"context"

	"teaselring/kernel"
)

// Answering returns a ring whose queries are answered by a function until the
// context ends.
func Answering[Q, A any](ctx context.Context, name string, answer func(Q) (A, error)) *kernel.Ring[kernel.Request[Q, A]] {
	ring := kernel.NewRing[kernel.Request[Q, A]](name, 64, kernel.WaitUntilDeadline)
	go func() {
		for {
			select {
			case ask := <-ring.C():
				if a, err := answer(ask.Payload); err != nil {
					ask.Fail(err)
				} else {
					ask.Respond(a)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return ring
}
