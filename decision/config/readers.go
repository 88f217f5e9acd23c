package config

import (
	"hash/fnv"
	"slices"
	"time"

	"teaselring/mesh"
)

// ReadersPerZone is the number of nodes of each zone that read the head, so
// that the loss of one does not delay the zone.
const ReadersPerZone = 2

// Readers returns the nodes of a zone that read the head from the platform: the
// live ones with the highest rendezvous weights. The selection changes only
// when one of them leaves or a node with a higher weight joins.
func Readers(view *mesh.View, zone mesh.Zone) []mesh.NodeID {
	var nodes []mesh.NodeID
	if view != nil {
		for i := range view.Members {
			if m := &view.Members[i]; m.Zone == zone && m.State == mesh.NodeAlive {
				nodes = append(nodes, m.Node)
			}
		}
	}
	return highestWeights(nodes, zone)
}

// IsReader reports whether the node itself reads the head. A node that is not in
// the view, such as one that has just started, counts as alive.
func IsReader(view *mesh.View, self mesh.Identity) bool {
	nodes := Readers(view, self.Zone)
	if !slices.Contains(nodes, self.Node) {
		nodes = highestWeights(append(nodes, self.Node), self.Zone)
	}
	return slices.Contains(nodes, self.Node)
}

func highestWeights(nodes []mesh.NodeID, zone mesh.Zone) []mesh.NodeID {
	slices.SortFunc(nodes, func(a, b mesh.NodeID) int {
		wa, wb := weight(a, zone), weight(b, zone)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return nodes[:min(len(nodes), ReadersPerZone)]
}

// weight is the rendezvous weight of a node. It mixes the bits of the FNV hash,
// since FNV alone gives ids that differ in their last characters similar values.
func weight(node mesh.NodeID, zone mesh.Zone) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(zone))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(node))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Backoff spreads the head reads of nodes that are not readers.
type Backoff struct {
	Unconfirmed time.Duration // time without a confirmation after which a node reads the head itself
	Window      time.Duration // the first read is at a uniformly random time in this window
	MaxWindow   time.Duration // bound of the window, which doubles with each failed read
}

// DefaultBackoff has the values of the design page: when 1,200 nodes lose their
// readers at once, they send at most 120 reads per second.
var DefaultBackoff = Backoff{Unconfirmed: 5 * time.Second, Window: 10 * time.Second, MaxWindow: time.Minute}

// Delay returns the delay before a read after the given number of failures.
// Random is uniform in [0, 1).
func (b Backoff) Delay(failures int, random float64) time.Duration {
	window := b.Window
	for range min(failures, 32) {
		if window >= b.MaxWindow/2 {
			window = b.MaxWindow
			break
		}
		window *= 2
	}
	return time.Duration(random * float64(window))
}

// ReadPlan schedules the head reads of a node.
type ReadPlan struct {
	backoff   Backoff
	firstDone bool      // the first read has finished
	confirmed time.Time // last confirmation of the head, by an own read or a peer
	next      time.Time // next read of a node that is not a reader; zero: not scheduled
	failures  int       // consecutive failed reads
}

// NewReadPlan schedules the first read at the given time, also on nodes that are
// not readers: a restarted node serves nothing before it.
func NewReadPlan(b Backoff, first time.Time) *ReadPlan { return &ReadPlan{backoff: b, next: first} }

// Due reports whether to read now. Readers read at each call; other nodes only
// when the head has not been confirmed for too long. Random is uniform in
// [0, 1).
func (p *ReadPlan) Due(now time.Time, reader bool, random float64) bool {
	switch {
	case !p.firstDone:
		return !now.Before(p.next)
	case reader:
		return true
	case !p.confirmed.IsZero() && now.Sub(p.confirmed) < p.backoff.Unconfirmed:
		p.next, p.failures = time.Time{}, 0
		return false
	case p.next.IsZero():
		p.next = now.Add(p.backoff.Delay(p.failures, random))
	}
	return !now.Before(p.next)
}

// RecordConfirmation records that the head was current at the given time.
func (p *ReadPlan) RecordConfirmation(at time.Time) {
	if at.After(p.confirmed) {
		p.confirmed = at
	}
}

// RecordRead records the result of a read that Due allowed.
func (p *ReadPlan) RecordRead(now time.Time, err error, random float64) {
	p.firstDone = true
	if err == nil {
		p.failures, p.next = 0, time.Time{}
		p.RecordConfirmation(now)
		return
	}
	p.next = now.Add(p.backoff.Delay(p.failures, random))
	p.failures++
}
