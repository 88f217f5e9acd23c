package kernel

import (
	"math/rand/v2"
	"time"
)

// Backoff returns the wait after a number of failures in a row: from half of a
// span that doubles up to most, to all of it, so that processes that failed
// together do not return together.
func Backoff(failures int, least, most time.Duration) time.Duration {
	span := min(least<<min(failures, 16), most)
	return span/2 + rand.N(span/2)
}
