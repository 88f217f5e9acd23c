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
	// chunk is the number of entries in a message. An entry takes about 200
	// bytes, so that a chunk stays far below the size limit.
	chunk = 500
	// A difference that two heartbeats in a row show is no change under way.
	differingHeartbeats = 2
	// requestEvery spaces the requests to one peer.
	requestEvery = 2 * time.Second
)

// repair follows which linked peers have another view.
type repair struct{ peers map[mesh.NodeID]*peerView }

type peerView struct {
	differing int // heartbeats in a row
	requested time.Time
}

func newRepair() repair { return repair{peers: map[mesh.NodeID]*peerView{}} }

func (r *repair) linkUp(peer mesh.NodeID)   { r.peers[peer] = &peerView{} }
func (r *repair) linkDown(peer mesh.NodeID) { delete(r.peers, peer) }

// compare asks a peer for what differs when its digest stays different.
func (m *members) compare(peer mesh.NodeID, digest uint64, now time.Time) {
	p := m.repair.peers[peer]
	if p == nil {
		return
	}
	if digest == m.state.Digest() {
		p.differing = 0
		return
	}
	p.differing++
	wait := requestEvery + time.Duration(rand.Float64()*float64(requestEvery))
	if p.differing >= differingHeartbeats && now.Sub(p.requested) >= wait {
		m.request(peer, now)
	}
}

func (m *members) request(peer mesh.NodeID, now time.Time) {
	if p := m.repair.peers[peer]; p != nil {
		p.requested = now
	}
	m.meters.requests.Inc(1)
	m.push(port.Push{To: peer, Message: wire.MembersRequest{Buckets: m.state.BucketDigests()}})
}

func (m *members) answerRequest(peer mesh.NodeID, buckets []uint64) {
	list := m.state.DifferingMembers(buckets)
	// The peer's own entry goes first: a starting peer takes its incarnation
	// from the first message.
	if i := slices.IndexFunc(list, func(e mesh.Member) bool { return e.Node == peer }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	for {
		n := min(len(list), chunk)
		m.push(port.Push{To: peer, Message: wire.Members{Full: true, Members: list[:n]}})
		if list = list[n:]; len(list) == 0 {
			return
		}
	}
}

// spreadChanges sends the changed entries to all links. Entries that are just
// as a peer sent them are not sent back to it.
func (m *members) spreadChanges(heard []mesh.Member, from mesh.NodeID) {
	changes := m.state.Changes()
	if len(changes) == 0 {
		return
	}
	sent := make(map[mesh.NodeID]*mesh.Member, len(heard))
	for i := range heard {
		sent[heard[i].Node] = &heard[i]
	}
	var echo, fresh []mesh.Member
	for i := range changes {
		if h := sent[changes[i].Node]; h != nil && reflect.DeepEqual(*h, changes[i]) {
			echo = append(echo, changes[i])
		} else {
			fresh = append(fresh, changes[i])
		}
	}
	m.pushAll(echo, from)
	m.pushAll(fresh, "")
}

func (m *members) pushAll(list []mesh.Member, except mesh.NodeID) {
	for len(list) > 0 {
		n := min(len(list), chunk)
		m.push(port.Push{Except: except, Message: wire.Members{Members: list[:n]}})
		list = list[n:]
	}
}

// push never waits: the ring replaces its oldest item when full.
func (m *members) push(p port.Push) { _ = m.Push.Send(context.Background(), p) }
