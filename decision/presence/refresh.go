package presence

import (
	"time"

	"teaselring/mesh"
)

// refreshShare is the share of the platform's write rate that nodes use together when
// they all refresh their rows. The rest is for rows that tell something new.
const refreshShare = 0.5

// SameUse reports whether a row and a node's state differ at most in the starts of the
// node and of its server, or in the server's id. Other nodes use the node in the same way,
// whichever of the two they know: it sends calls to the server that it knows itself.
func SameUse(stored, current *mesh.Member) bool {
	a, b := &stored.Endpoint, &current.Endpoint
	return stored.Node == current.Node && stored.Zone == current.Zone && stored.Region == current.Region &&
		stored.PeerAddress == current.PeerAddress && stored.State == current.State &&
		a.Service == b.Service && a.Version == b.Version && a.Slots == b.Slots && a.State == b.State
}

// RefreshDelay returns how long a node waits before it writes a row that tells others no
// more than a restart. rate is the platform's limit in writes per second, draw a
// uniform random number in [0, 1).
//
// Load pattern: all nodes start at once. Without the delay 295 rows took 1,957 writes,
// since the store's queue was longer than the nodes' timeout.
func RefreshDelay(nodes int, rate, draw float64) time.Duration {
	span := float64(nodes) / (refreshShare * rate)
	return time.Duration(draw * span * float64(time.Second))
}

// rewriteShare is the share of the platform's write rate that nodes use together when they
// write again what the store has lost. Others must know it within two seconds.
const rewriteShare = 0.8

// RewriteDelay returns how long a node waits before it writes its row again after the
// store has lost it. rate is the platform's limit in writes per second, draw a uniform
// random number in [0, 1).
//
// Load pattern: the store comes back from a copy without the rows of all nodes, which
// learn of it in the same moment. 295 nodes write within 1.5 s at 250 writes per second.
func RewriteDelay(nodes int, rate, draw float64) time.Duration {
	return time.Duration(draw * float64(nodes) / (rewriteShare * rate) * float64(time.Second))
}

// firstSpread is the part of a heartbeat over which nodes spread their first rows at the
// first start of the whole system. The rows are there before nodes list them.
const firstSpread = 0.5

// FirstDelay returns how long a node waits before it writes its row at the first start of
// the whole system, when it can't know how many others do. draw is a uniform random
// number in [0, 1).
func FirstDelay(heartbeat time.Duration, draw float64) time.Duration {
	return time.Duration(draw * firstSpread * float64(heartbeat))
}
