package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"teaselring/mesh"
	"teaselring/result"
)

const (
	// MaxAsked bounds the nodes that a starting node asks, maxAskedInZone those of its
	// own zone. Another zone may know of crashes while the own one is cut off.
	MaxAsked       = 4
	maxAskedInZone = 3
)

// Neighbours returns the nodes that a starting node asks for the crashes of its service:
// nodes that serve it too, since only they know which of its requests are harmless.
// Nodes with a ready upstream come first, in random order.
func Neighbours(view *mesh.View, self mesh.Identity, service mesh.ServiceID, rnd *rand.Rand) []*mesh.Member {
	var candidates []*mesh.Member
	for i := range view.Members {
		m := &view.Members[i]
		if m.Node != self.Node && m.State == mesh.NodeAlive && m.Endpoint.Service == service && m.PeerAddress != "" {
			candidates = append(candidates, m)
		}
	}
	rnd.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *mesh.Member) int { return rank(a) - rank(b) })
	var asked, rest []*mesh.Member
	inZone, outside := 0, 0
	for _, m := range candidates {
		switch {
		case m.Zone == self.Zone && inZone < maxAskedInZone:
			inZone++
			asked = append(asked, m)
		case m.Zone != self.Zone && outside < MaxAsked-maxAskedInZone:
			outside++
			asked = append(asked, m)
		default:
			rest = append(rest, m)
		}
	}
	return append(asked, rest[:min(len(rest), MaxAsked-len(asked))]...)
}

func rank(m *mesh.Member) int {
	if m.Ready() {
		return 0
	}
	return 1
}

// Answer is what a node knows of the recent crashes of a service.
type Answer struct {
	Reports []mesh.Crash `cbor:"1,keyasint"`
	// Partial is set by a node that has started recently and could not ask others: a
	// report that it lacks may still be true.
	Partial bool `cbor:"2,keyasint,omitempty"`
}

// Check returns an error if another node's answer can't be true. Its reports must be of
// the service that it was asked for.
func (a *Answer) Check(service mesh.ServiceID, p Params) error {
	if len(a.Reports) > p.MaxCrashes {
		return result.BadMessage.Errorf("%d crash reports; allowed are %d", len(a.Reports), p.MaxCrashes)
	}
	prints := 0
	for i := range a.Reports {
		c := &a.Reports[i]
		if err := c.Check(); err != nil {
			return err
		}
		if c.Service != service {
			return result.BadMessage.Errorf("a crash report of service %.40q in place of %q", c.Service, service)
		}
		prints += len(c.Fingerprints)
	}
	if prints > p.MaxShared {
		return result.BadMessage.Errorf("%d requests in crash reports; allowed are %d", prints, p.MaxShared)
	}
	return nil
}

// Agree returns the reports on which the answers agree, the oldest first. A report of one
// node only counts if no other node can contradict it, so that a single faulty node can't
// block requests. A request counts if all nodes with the report list it: one that doesn't
// has completed it. Of different ages the highest counts.
func Agree(answers []Answer) (agreed []mesh.Crash) {
	found := map[processKey][]*mesh.Crash{}
	complete := map[processKey]int{} // number of complete answers with the report
	allComplete := 0
	for i := range answers {
		a, listed := &answers[i], map[processKey]bool{}
		if !a.Partial {
			allComplete++
		}
		for j := range a.Reports {
			c := &a.Reports[j]
			key := processKey{c.Node, c.Process}
			if listed[key] {
				continue // one node is one voice
			}
			listed[key] = true
			found[key] = append(found[key], c)
			if !a.Partial {
				complete[key]++
			}
		}
	}
	for key, reports := range found {
		if len(reports) == 1 && allComplete > complete[key] {
			continue
		}
		agreed = append(agreed, common(reports))
	}
	slices.SortFunc(agreed, func(a, b mesh.Crash) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Process, b.Process))
	})
	return agreed
}

// common returns the fingerprints that all reports of a crash list.
func common(reports []*mesh.Crash) mesh.Crash {
	c := *reports[0]
	counts := map[uint64]int{}
	for n, r := range reports {
		c.Age = max(c.Age, r.Age)
		for _, print := range r.Fingerprints {
			if counts[print] == n {
				counts[print]++
			}
		}
	}
	c.Fingerprints = nil
	for _, print := range reports[0].Fingerprints {
		if counts[print] == len(reports) {
			c.Fingerprints = append(c.Fingerprints, print)
			counts[print] = 0 // once, if it is listed twice
		}
	}
	return c
}
