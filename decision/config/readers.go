package config

import (
	"hash/fnv"
	"slices"
	"time"

	"teaselring/mesh"
)

// ReadersPerZone is how many nodes of each zone read the head, so that the
// loss of one does not delay a zone.
const ReadersPerZone = 2

// Readers returns the nodes of a zone that read the head: those alive with the
// highest rendezvous weights. The choice changes only when one of them leaves
// or a node with a higher weight joins.
func Readers(view *mesh.View, zone mesh.Zone) []mesh.NodeID {
	var nodes []mesh.NodeID
	if view != nil {
		for i := range view.Members {
			if m := &view.Members[i]; m.Zone == zone && m.State == mesh.NodeAlive {
				nodes = append(nodes, m.Node)
			}
		}
	}
	return highest(nodes, zone)
}

// IsReader reports whether the node itself reads the head. A node that the
// view does not show, such as one that has just started, counts as alive.
func IsReader(view *mesh.View, self mesh.Identity) bool {
	nodes := Readers(view, self.Zone)
	if !slices.Contains(nodes, self.Node) {
		nodes = highest(append(nodes, self.Node), self.Zone)
	}
	return slices.Contains(nodes, self.Node)
}

func highest(nodes []mesh.NodeID, zone mesh.Zone) []mesh.NodeID {
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

// weight mixes the hash once more, because FNV alone leaves ids that differ in
// their last characters close together.
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

// Backoff spreads the reads of nodes that are not readers.
type Backoff struct {
	Unconfirmed time.Duration // a node reads the head itself after this long without a confirmation
	Window      time.Duration // the first read falls at random within this window
	MaxWindow   time.Duration // the window doubles with each failed read up to this
}

// DefaultBackoff has the values of the design page: 1,200 nodes that lose
// their readers at once cause at most 120 reads per second.
var DefaultBackoff = Backoff{Unconfirmed: 5 * time.Second, Window: 10 * time.Second, MaxWindow: time.Minute}

// Delay returns how long to wait before a read after the given number of
// failed ones. Random is uniform in [0, 1).
func (b Backoff) Delay(failed int, random float64) time.Duration {
	window := b.Window
	for range min(failed, 32) {
		if window >= b.MaxWindow/2 {
			window = b.MaxWindow
			break
		}
		window *= 2
	}
	return time.Duration(random * float64(window))
}

// ReadPlan decides when a node reads the head.
type ReadPlan struct {
	backoff   Backoff
	begun     bool      // the first read has ended
	confirmed time.Time // last confirmation of the head, by own read or a peer
	next      time.Time // next read by fallback; zero when none is planned
	failed    int       // reads in a row
}

// NewReadPlan starts with a read at the given time, whoever the readers are: a
// restarted node serves nothing before.
func NewReadPlan(b Backoff, first time.Time) *ReadPlan { return &ReadPlan{backoff: b, next: first} }

// Due reports whether to read now. Readers read whenever they are asked; the
// others when the head has not been confirmed for too long. Random is uniform
// in [0, 1).
func (p *ReadPlan) Due(now time.Time, reader bool, random float64) bool {
	switch {
	case !p.begun:
		return !now.Before(p.next)
	case reader:
		return true
	case !p.confirmed.IsZero() && now.Sub(p.confirmed) < p.backoff.Unconfirmed:
		p.next, p.failed = time.Time{}, 0
		return false
	case p.next.IsZero():
		p.next = now.Add(p.backoff.Delay(p.failed, random))
	}
	return !now.Before(p.next)
}

// Confirmed notes that the head was known to be current at the given time.
func (p *ReadPlan) Confirmed(at time.Time) {
	if at.After(p.confirmed) {
		p.confirmed = at
	}
}

// Done notes the end of a read that Due allowed.
func (p *ReadPlan) Done(now time.Time, err error, random float64) {
	p.begun = true
	if err == nil {
		p.failed, p.next = 0, time.Time{}
		p.Confirmed(now)
		return
	}
	p.next = now.Add(p.backoff.Delay(p.failed, random))
	p.failed++
}
