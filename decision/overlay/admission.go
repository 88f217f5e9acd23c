package overlay

import (
	"time"

	"teaselring/result"
)

// Limits of accepted links, from the design page.
const (
	MaxAccepted     = 16 // concurrent links
	AcceptPerSecond = 20 // also the burst
)

// Admission limits the number and rate of accepted links.
type Admission struct {
	MaxLinks  int
	PerSecond float64 // rate and burst of the token bucket
	tokens    float64
	last      time.Time
}

// Admit takes a token for a new link, given the number of accepted ones. It
// returns result.TooManyLinks when the maximum is reached or no token is left.
func (a *Admission) Admit(now time.Time, accepted int) error {
	if accepted >= a.MaxLinks {
		return result.TooManyLinks.Errorf("%d links are accepted; allowed are %d", accepted, a.MaxLinks)
	}
	if a.last.IsZero() {
		a.tokens = a.PerSecond
	} else if elapsed := now.Sub(a.last); elapsed > 0 {
		a.tokens = min(a.PerSecond, a.tokens+elapsed.Seconds()*a.PerSecond)
	}
	a.last = now
	if a.tokens < 1 {
		return result.TooManyLinks.Errorf("more than %v new links in a second", a.PerSecond)
	}
	a.tokens--
	return nil
}

// Backoff delays the attempts to dial one peer.
type Backoff struct {
	First time.Duration // upper bound of the first delay
	Max   time.Duration // upper bound of any delay
}

// Delay returns the delay before the next attempt after a number of failures. It
// uses full jitter, uniform from 0 to the bound, so that nodes which failed
// together don't retry together. Random is uniform in [0, 1).
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

// RejoinAddress picks the address of a seed or dead member that is not a live
// member, or "" when there is none. Without it the two sides of a partition, which
// consider each other dead, would never reconnect. Random is uniform in [0, 1).
func RejoinAddress(seeds, dead []string, live map[string]bool, random float64) string {
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
