package membershipview

import (
	"context"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

const (
	// maxMessageEntries bounds the entries in a message. An entry takes about 200
	// bytes, so the message stays far below the size limit.
	maxMessageEntries = 500
	// minMismatches is the number of consecutive heartbeats with another digest that
	// leads to a request. A single mismatch may be a change in transit.
	minMismatches = 2
	// minRequestInterval is the minimum time between requests to one peer.
	minRequestInterval = 2 * time.Second
)

// antiEntropy tracks the linked peers whose view digest differs.
type antiEntropy struct{ peers map[mesh.NodeID]*peerState }

type peerState struct {
	mismatches  int // consecutive heartbeats with another digest
	lastRequest time.Time
}

func newAntiEntropy() antiEntropy { return antiEntropy{peers: map[mesh.NodeID]*peerState{}} }

func (r *antiEntropy) linkUp(peer mesh.NodeID)   { r.peers[peer] = &peerState{} }
func (r *antiEntropy) linkDown(peer mesh.NodeID) { delete(r.peers, peer) }

// compareDigest requests the differing entries from a peer whose digest stays
// different.
func (m *members) compareDigest(peer mesh.NodeID, digest uint64, now time.Time) {
	p := m.antiEntropy.peers[peer]
	if p == nil {
		return
	}
	if digest == m.state.Digest() {
		p.mismatches = 0
		return
	}
	p.mismatches++
	interval := minRequestInterval + time.Duration(rand.Float64()*float64(minRequestInterval))
	if p.mismatches >= minMismatches && now.Sub(p.lastRequest) >= interval {
		m.request(peer, now)
	}
}

func (m *members) request(peer mesh.NodeID, now time.Time) {
	if p := m.antiEntropy.peers[peer]; p != nil {
		p.lastRequest = now
	}
	m.meters.requests.Inc(1)
	m.push(port.Push{To: peer, Message: wire.MembersRequest{Buckets: m.state.BucketDigests()}})
}

func (m *members) handleRequest(peer mesh.NodeID, buckets []uint64) {
	list := m.state.DifferingMembers(buckets)
	// The peer's own entry is first: a starting peer takes its incarnation from the
	// first message.
	if i := slices.IndexFunc(list, func(e mesh.Member) bool { return e.Node == peer }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	for {
		n := min(len(list), maxMessageEntries)
		m.push(port.Push{To: peer, Message: wire.Members{Full: true, Members: list[:n]}})
		if list = list[n:]; len(list) == 0 {
			return
		}
	}
}

// spreadChanges sends the changed entries on all links. Entries that are equal to
// those received are not sent back to the peer.
func (m *members) spreadChanges(received []mesh.Member, from mesh.NodeID) {
	changes := m.state.Changes()
	if len(changes) == 0 {
		return
	}
	sent := make(map[mesh.NodeID]*mesh.Member, len(received))
	for i := range received {
		sent[received[i].Node] = &received[i]
	}
	var forwarded, updated []mesh.Member
	for i := range changes {
		if h := sent[changes[i].Node]; h != nil && reflect.DeepEqual(*h, changes[i]) {
			forwarded = append(forwarded, changes[i])
		} else {
			updated = append(updated, changes[i])
		}
	}
	m.pushAll(forwarded, from)
	m.pushAll(updated, "")
}

func (m *members) pushAll(list []mesh.Member, except mesh.NodeID) {
	for len(list) > 0 {
		n := min(len(list), maxMessageEntries)
		m.push(port.Push{Except: except, Message: wire.Members{Members: list[:n]}})
		list = list[n:]
	}
}

// push never waits: the ring replaces its oldest item when full.
func (m *members) push(p port.Push) { _ = m.Push.Send(context.Background(), p) }
