package overlay

import (
	"time"

	"teaselring/result"
)

// Limits of accepted links, from the design page.
const (
	MaxAccepted     = 16 // at the same time
	AcceptPerSecond = 20 // also the burst
)

// Admission limits the links that a node accepts.
type Admission struct {
	MaxLinks  int
	PerSecond float64 // rate and burst of the token bucket
	tokens    float64
	last      time.Time
}

// Admit takes a token for one more accepted link next to the given number.
// It returns result.TooManyLinks when there is no place or no token.
func (a *Admission) Admit(now time.Time, accepted int) error {
	if accepted >= a.MaxLinks {
		return result.TooManyLinks.Errorf("%d links are accepted; allowed are %d", accepted, a.MaxLinks)
	}
	if a.last.IsZero() {
		a.tokens = a.PerSecond
	} else if passed := now.Sub(a.last); passed > 0 {
		a.tokens = min(a.PerSecond, a.tokens+passed.Seconds()*a.PerSecond)
	}
	a.last = now
	if a.tokens < 1 {
		return result.TooManyLinks.Errorf("more than %v new links in a second", a.PerSecond)
	}
	a.tokens--
	return nil
}

// Backoff spaces the attempts to dial one peer.
type Backoff struct {
	First time.Duration // upper bound of the first delay
	Max   time.Duration // upper bound of any delay
}

// Delay returns the wait before the next attempt after a number of failures.
// It uses full jitter: any value up to the bound is equally likely, so that
// nodes which failed together don't return together. Random is in [0, 1).
func (b Backoff) Delay(failures int, random float64) time.Duration {
	bound := b.First
	for range failures {
		if bound >= b.Max/2 {
			bound = b.Max
			break
		}
		bound *= 2
	}
	return time.Duration(random * float64(bound))
}

// Rejoin chooses an address that leads to a part of the mesh out of touch: a
// seed or a dead member that is no live member. Without it the two sides of a
// partition, which hold each other for dead, would never link again. It
// returns "" when there is none. Random is in [0, 1).
func Rejoin(seeds, dead []string, live map[string]bool, random float64) string {
	var candidates []string
	for _, list := range [][]string{seeds, dead} {
		for _, address := range list {
			if address != "" && !live[address] {
				candidates = append(candidates, address)
			}
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[int(random*float64(len(candidates)))]
}
