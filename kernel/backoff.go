package kernel

import (
	"math/rand/v2"
	"time"
)

// Backoff returns the wait after a number of consecutive failures. The span starts
// at minWait and doubles with each failure up to maxWait; random jitter picks a
// wait in its upper half, so that processes that failed together don't retry
// together.
func Backoff(failures int, minWait, maxWait time.Duration) time.Duration {
	span := min(minWait<<min(failures, 16), maxWait)
	return span/2 + rand.N(span/2)
}
