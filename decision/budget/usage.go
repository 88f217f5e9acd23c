package budget

import "time"

const (
	// MinRate is the rate in bytes per second below which a body or a response makes no
	// progress. The slowest upload that callers rely on sends a few KB per second.
	MinRate = 256
	// RateWindow is the time waited for the peer over which MinRate must hold.
	RateWindow = 10 * time.Second
	// slowRate is the rate in bytes per second below which a connection may be closed in
	// favour of others when a share is used up.
	slowRate = 64 << 10
	// minWait is the shortest wait for a peer after which its connection may be closed in
	// favour of others.
	minWait = 250 * time.Millisecond
)

// Progress is the transfer in one direction since a window began.
type Progress struct {
	Moved  int64         // bytes
	Waited time.Duration // for the peer
}

// TooSlow reports whether the transfer has been below MinRate for a whole window.
func (p Progress) TooSlow() bool { return p.Complete() && p.rate() < MinRate }

// Complete reports whether the window has ended.
func (p Progress) Complete() bool { return p.Waited >= RateWindow }

func (p Progress) slow() bool { return p.Waited >= minWait && p.rate() < slowRate }

func (p Progress) rate() float64 { return float64(p.Moved) / max(p.Waited.Seconds(), 1e-3) }

// Usage is the state of one connection.
type Usage struct {
	Held    int64 // bytes
	Calls   int   // requests in progress
	InBody  bool  // a body is being received
	Proven  bool  // a request was answered
	Receive Progress
	Send    Progress
	Quiet   time.Duration // since the last request began or ended
}

// Ranks of connections, in the order in which they are closed.
const (
	rankSilent = iota // has sent no complete request yet
	rankSlow          // sends a body or reads a response slowly
	rankIdle          // waits for the next request
	rankKept          // must not be closed
)

func (u *Usage) rank() int {
	switch {
	case u.Send.slow(), u.InBody && u.Receive.slow():
		return rankSlow
	case u.Calls > 0 || u.InBody || u.Quiet < minWait:
		return rankKept
	case u.Proven:
		return rankIdle
	}
	return rankSilent
}

// Victim returns the index of the connection to close in favour of another one, -1 for
// none. Within a rank, the one that holds most is chosen, then the one that is quiet for
// longest. With bytes set, connections that hold nothing are passed over.
func Victim(all []Usage, bytes bool) int {
	best, bestRank := -1, rankKept
	for i := range all {
		u := &all[i]
		rank := u.rank()
		if rank == rankKept || (bytes && u.Held == 0) {
			continue
		}
		if best < 0 || rank < bestRank || (rank == bestRank && u.before(&all[best])) {
			best, bestRank = i, rank
		}
	}
	return best
}

func (u *Usage) before(other *Usage) bool {
	if u.Held != other.Held {
		return u.Held > other.Held
	}
	return u.Quiet > other.Quiet
}
