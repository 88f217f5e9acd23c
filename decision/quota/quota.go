// Package quota decides which requests of client accounts may run within limits that
// hold over all nodes. It handles a step in one account's load to several times its
// limit, bursts of many accounts, the simultaneous start of all nodes, and the loss or
// isolation of nodes that grant credit.
//
// Each node owns an equal share of each account's rate and burst and delegates it, for a
// term, to one granting node. A granting node fills a token bucket for each account by
// the shares that are delegated to it, and grants credit from it. So the sum over all
// granting nodes stays within the limit without any agreement among them.
package quota

import (
	"hash/fnv"
	"math"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Settings is the platform's tolerance for limits over all nodes.
type Settings struct {
	// In any Window an account may exceed its limit by the share Overage and Slack
	// requests.
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limit is the limit of one account.
type Limit struct {
	Rate  float64 // requests per second over all nodes
	Burst float64 // requests that may exceed Rate at once
}

// Parts of the allowance. The rest, 0.15 and for long-lasting delegations 0.3, is for
// requests that wait at a server after they were charged and so move into another window.
const (
	// lineShare is for requests that nodes admit before credit is granted for them.
	lineShare = 0.5
	// extraBurstShare enlarges the bucket.
	extraBurstShare = 0.2
	// startShare is the bucket's size for shares that were delegated for less than a term.
	// At the first start of the whole system, when nothing was charged yet, a bucket holds
	// this and the extra burst.
	startShare = 0.15
)

// allowance is the number of requests that an account may exceed its limit by in a window.
func (s Settings) allowance(l Limit) float64 {
	return max(0, s.Overage)*(l.Rate*s.Window.Seconds()+l.Burst) + max(0, s.Slack)
}

// Bound is the number of requests of an account that may run in any window.
func (s Settings) Bound(l Limit) float64 {
	return l.Rate*s.Window.Seconds() + l.Burst + s.allowance(l)
}

// lines returns how many requests the node of the given rank, among all nodes, may have
// admitted without credit at any moment.
func (s Settings) lines(l Limit, rank, nodes int) int {
	total := int(lineShare * s.allowance(l))
	if nodes < 1 {
		return 0
	}
	lines := total / nodes
	if rank < total%nodes {
		lines++
	}
	return min(lines, maxLines)
}

// maxLines bounds the state of an account on one node.
const maxLines = 64

// Shards is the number of groups of accounts. Each has its own granting node, so that a
// node sends at most this many renewals in an interval.
const Shards = 16

const (
	// renewalsPerSecond is the number of renewals that one granting node gets in a second.
	// It sets the interval, within the bounds below.
	renewalsPerSecond = 40
	minRenewal        = time.Second
	maxRenewal        = 4 * time.Second
	// renewalsPerTerm allows one renewal to be lost, as each carries the time of the
	// answer to the previous one.
	renewalsPerTerm = 3
	// clockTolerance covers the difference in speed of two nodes' clocks.
	clockTolerance = 1.05
)

// renewal returns the interval in which a node renews its delegations.
func renewal(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*time.Second/renewalsPerSecond, minRenewal), maxRenewal)
}

// tolerant returns a duration that is not shorter than d on another node's clock.
func tolerant(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * clockTolerance))
}

// shardOf returns the shard of an account.
func shardOf(name mesh.AccountName) int { return int(weight("shard", string(name)) % Shards) }

// weight is a hash for rendezvous ordering. FNV alone mixes the last bytes, which differ
// between nodes, only into low bits.
func weight(salt, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(salt))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Stamp is a moment of a granting node's clock. A renewal returns the newest one, which
// proves when it was sent at the earliest, however late it arrives.
type Stamp struct {
	Boot uint64        `cbor:"1,keyasint"` // distinguishes the starts of the granting node
	At   time.Duration `cbor:"2,keyasint"` // since that start
}

// Ask is a node's message to a granting node: its delegations and its demand.
type Ask struct {
	Node  mesh.NodeID `cbor:"1,keyasint"`
	Boot  uint64      `cbor:"2,keyasint"` // differs for each start of the node
	Seq   uint64      `cbor:"3,keyasint"` // increases within Boot
	Nodes int         `cbor:"4,keyasint"` // number of nodes that the sender knows
	Echo  Stamp       `cbor:"5,keyasint"`
	// Delegated holds a bit for each shard whose shares are delegated to the receiver. A
	// missing bit ends a delegation.
	Delegated uint32 `cbor:"6,keyasint"`
	// Fresh holds a bit for each of these shards whose shares were never delegated to
	// another start of a granting node, since the first start of the whole system.
	Fresh   uint32   `cbor:"7,keyasint,omitempty"`
	Demands []Demand `cbor:"8,keyasint,omitempty"`
}

// Demand is what a node reports and requests for one account.
type Demand struct {
	Account  mesh.AccountName `cbor:"1,keyasint"`
	Held     int              `cbor:"2,keyasint,omitempty"` // unused credits
	Waiting  int              `cbor:"3,keyasint,omitempty"` // requests that wait for credit
	Unpaid   int              `cbor:"4,keyasint,omitempty"` // requests admitted without credit
	Want     int              `cbor:"5,keyasint,omitempty"` // further credits to hold
	Returned int              `cbor:"6,keyasint,omitempty"` // credits of requests that did not run
	Refused  int              `cbor:"7,keyasint,omitempty"` // requests refused for the limit since the last ask
}

// Answer is the granting node's response to an Ask.
type Answer struct {
	Stamp Stamp `cbor:"1,keyasint"`
	// Term is how long after the echoed stamp a delegation lasts, and how long after the
	// ask was sent credits may be used.
	Term   time.Duration `cbor:"2,keyasint"`
	Grants []Grant       `cbor:"3,keyasint,omitempty"`
}

// Grant is the credit for one account.
type Grant struct {
	Account mesh.AccountName `cbor:"1,keyasint"`
	Granted int              `cbor:"2,keyasint,omitempty"` // to waiting requests
	Paid    int              `cbor:"3,keyasint,omitempty"` // for requests admitted without credit
	Extra   int              `cbor:"4,keyasint,omitempty"` // to hold
	// Wait is the time until the account has room again; 0: it has room. Spread is the
	// time in which it has room for those who were refused.
	Wait   time.Duration `cbor:"5,keyasint,omitempty"`
	Spread time.Duration `cbor:"6,keyasint,omitempty"`
	// Excess is the number of requests per second that all nodes refuse for the limit.
	Excess float64 `cbor:"7,keyasint,omitempty"`
}

// maxDemands bounds the accounts in one message, and maxCount the figures in it.
const (
	maxDemands = 4096
	maxCount   = 1 << 20
)

// maxTerm is far above the term of the largest mesh.
const maxTerm = time.Minute

// Check returns an error unless a node can have sent the ask.
func (a *Ask) Check() error {
	if a.Node == "" || a.Nodes < 1 || len(a.Demands) > maxDemands {
		return result.BadMessage.Errorf("an ask of node %.40q among %d nodes for %d accounts", a.Node, a.Nodes, len(a.Demands))
	}
	for i := range a.Demands {
		d := &a.Demands[i]
		if err := checkCounts(d.Held, d.Waiting, d.Unpaid, d.Want, d.Returned, d.Refused); err != nil {
			return err
		}
		if err := mesh.CheckNames(string(d.Account)); err != nil {
			return err
		}
	}
	return mesh.CheckNames(string(a.Node))
}

// Check returns an error unless a granting node can have sent the answer.
func (a *Answer) Check() error {
	if a.Term <= 0 || a.Term > maxTerm || len(a.Grants) > maxDemands {
		return result.BadMessage.Errorf("an answer with a term of %v for %d accounts", a.Term, len(a.Grants))
	}
	for i := range a.Grants {
		g := &a.Grants[i]
		if err := checkCounts(g.Granted, g.Paid, g.Extra); err != nil {
			return err
		}
		if g.Wait < 0 || g.Wait > maxRoomWait || g.Spread < 0 || g.Spread > maxRoomWait || !(g.Excess >= 0) {
			return result.BadMessage.Errorf("a grant with a wait of %v, a spread of %v and an excess of %v", g.Wait, g.Spread, g.Excess)
		}
	}
	return nil
}

func checkCounts(counts ...int) error {
	for _, n := range counts {
		if n < 0 || n > maxCount {
			return result.BadMessage.Errorf("a count of %d; allowed are 0 to %d", n, maxCount)
		}
	}
	return nil
}
