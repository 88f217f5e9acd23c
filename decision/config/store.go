package config

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Waits of the store.
const (
	// AckWait bounds how long a reader that learned a version from the platform
	// waits for a peer to hold it too.
	AckWait = 500 * time.Millisecond
	// FetchWait is how long a peer may take to send a version, or the next part
	// of it, before another peer is asked.
	FetchWait = time.Second
)

// maxRefused bounds the refused versions that a store remembers.
const maxRefused = 64

// Source says where a version came from.
type Source string

// Sources of versions.
const (
	FromNowhere  Source = ""
	FromPlatform Source = "platform"
	FromPeer     Source = "peer"
)

// Head is what the platform says about the newest version.
type Head struct {
	Version mesh.Version // 0: nothing has been published
	Digest  mesh.Digest
}

// Refusal is the newest version that the node could not take, and why.
type Refusal struct {
	Version mesh.Version
	Code    *result.Code
	Reason  string
}

// Store decides which configuration version a node has in force. It accepts
// only higher versions than the one in force, and only whole valid ones. A
// version that it has validated becomes the next one; Advance puts the next
// version in force once that is allowed.
//
// A Store belongs to one duty and is not safe for concurrent use.
type Store struct {
	active  *mesh.Snapshot
	source  Source // of active
	history History

	next       *mesh.Snapshot
	nextSource Source
	takenAt    time.Time // when the newest version held was taken
	acked      bool      // a peer holds next
	ackUntil   time.Time // next is put in force without an acknowledgement

	refusal   Refusal
	refused   map[mesh.Version]bool // versions that are not tried again
	confirmed time.Time             // when the platform last confirmed active as its head
	nextAt    time.Time             // when the platform confirmed next as its head
	start     startup
	fetch     fetch
}

// fetch is the request to a peer that has not been answered yet.
type fetch struct {
	version mesh.Version
	until   time.Time
	whole   bool // the last delta could not be applied
}

// NewStore returns the store of a process that starts now, with nothing in
// force.
func NewStore(now time.Time) *Store {
	return &Store{refused: map[mesh.Version]bool{}, start: newStartup(now)}
}

// Active returns the version in force, or nil.
func (s *Store) Active() *mesh.Snapshot { return s.active }

// Newest returns the highest version that the store holds and may pass on,
// whether it is in force or not yet; nil when there is none.
func (s *Store) Newest() *mesh.Snapshot {
	if s.next != nil {
		return s.next
	}
	return s.active
}

// Refusal returns the newest version that could not be taken; its Version is 0
// when there is none or a newer one is in force.
func (s *Store) Refusal() Refusal { return s.refusal }

// Source returns where the version in force came from.
func (s *Store) Source() Source { return s.source }

// Confirmed returns when the platform last confirmed the version in force as
// its head; zero when it never did.
func (s *Store) Confirmed() time.Time { return s.confirmed }

// Wants reports whether the store would try to take a version.
func (s *Store) Wants(v mesh.Version) bool { return v > versionOf(s.Newest()) && !s.refused[v] }

// Fetch reports whether to fetch a version that a peer offers, and notes that
// it is being fetched. Have is the version to ask a delta against, 0 for the
// whole. One version is fetched from one peer at a time.
func (s *Store) Fetch(now time.Time, v mesh.Version) (have mesh.Version, do bool) {
	if !s.Wants(v) || (v <= s.fetch.version && now.Before(s.fetch.until)) {
		return 0, false
	}
	s.fetch.version, s.fetch.until = v, now.Add(FetchWait)
	if s.fetch.whole {
		return 0, true
	}
	return versionOf(s.Newest()), true
}

// Fetching notes that a part of a version arrived, so that a large one is not
// fetched twice.
func (s *Store) Fetching(now time.Time, v mesh.Version) {
	if v >= s.fetch.version {
		s.fetch.version, s.fetch.until = v, now.Add(FetchWait)
	}
}

// Delta returns what a peer that holds version have needs to reach the newest
// one: a delta when the history reaches back that far, else the whole.
func (s *Store) Delta(have mesh.Version) Delta {
	newest := s.Newest()
	if d, ok := s.history.Delta(have, newest); ok {
		return d
	}
	return Whole(newest)
}

// TakePlatform takes the platform's head, read at the given time, with the
// content of its object when the head is higher than the version held. Peers
// states whether there is anyone to hold the version before it is in force.
//
// Errors: result.StaleVersion when the head is lower than the version held
// though it was read later, result.StaleObject when the content is not the head's, or the reason why the
// version is invalid. The version in force stays in each case.
func (s *Store) TakePlatform(now, read time.Time, head Head, content []byte, peers bool) error {
	s.start.knowHead(head.Version)
	newest := versionOf(s.Newest())
	switch {
	case head.Version < newest && !read.After(s.takenAt):
		return nil // a newer version overtook the read
	case head.Version < newest:
		return result.StaleVersion.Errorf("the platform's head is version %d, held is %d", head.Version, newest)
	case head.Version == newest && s.Newest() != nil && head.Digest != s.Newest().Digest:
		return result.DigestMismatch.Errorf("the platform's version %d is not the version %d held", head.Version, newest)
	case head.Version == newest:
		s.confirm(head.Version, read)
		return nil
	case s.refused[head.Version]:
		return nil
	}
	if DigestOf(content) != head.Digest {
		return s.refuseForNow(head.Version, result.StaleObject.Errorf("version %d: the object does not have the digest of the head", head.Version))
	}
	snapshot, err := buildContent(head, content)
	if err != nil {
		return s.refuse(head.Version, err)
	}
	s.accept(now, snapshot, FromPlatform)
	s.nextAt = read
	s.ackUntil = now
	if peers {
		s.ackUntil = now.Add(AckWait)
	}
	return nil
}

// NoObject notes that the head is higher than the version held but its object
// can't be had. Peers may have it.
func (s *Store) NoObject(head Head, err error) {
	s.start.knowHead(head.Version)
	if s.Wants(head.Version) {
		_ = s.refuseForNow(head.Version, err)
	}
}

func buildContent(head Head, content []byte) (*mesh.Snapshot, error) {
	records, err := Decode(content)
	if err != nil {
		return nil, err
	}
	return BuildExpected(head.Version, head.Digest, records)
}

// TakePeer takes a version that a peer sent. The version in force stays when
// an error is returned.
func (s *Store) TakePeer(now time.Time, d Delta) error {
	s.fetch = fetch{}
	if s.next != nil && d.Version == s.next.Version {
		s.Acked(d.Version)
		return nil
	}
	if newest := versionOf(s.Newest()); d.Version <= newest {
		return result.StaleVersion.Errorf("version %d is not newer than version %d", d.Version, newest)
	}
	if s.refused[d.Version] {
		return result.StaleVersion.Errorf("version %d was refused before", d.Version)
	}
	snapshot, err := Apply(s.baseFor(d), d)
	switch result.Of(err) {
	case result.OK:
		s.accept(now, snapshot, FromPeer)
		return nil
	case result.WrongBase: // another version was taken since it was asked for
		s.fetch.whole = true
		return err
	case result.DigestMismatch:
		s.fetch.whole = true
		return s.refuseForNow(d.Version, err)
	}
	return s.refuse(d.Version, err)
}

func (s *Store) baseFor(d Delta) *mesh.Snapshot {
	if s.next != nil && s.next.Version == d.Base {
		return s.next
	}
	return s.active
}

// Acked notes that a peer holds the version or a higher one.
func (s *Store) Acked(v mesh.Version) {
	if s.next != nil && v >= s.next.Version {
		s.acked = true
	}
}

// ConfirmedByPeer notes that the platform confirmed a version as its head at
// the given time, as a peer reports.
func (s *Store) ConfirmedByPeer(v mesh.Version, at time.Time) {
	if at.Sub(s.start.begun) > confirmMargin {
		s.start.knowHead(v)
	}
	s.confirm(v, at)
}

func (s *Store) confirm(v mesh.Version, at time.Time) {
	if s.next != nil && v == s.next.Version && at.After(s.nextAt) {
		s.nextAt = at
	}
	if s.active != nil && v == s.active.Version && at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Advance puts the next version in force if that is allowed now, and reports
// whether it did. Known is the number of peers that the node knows of.
func (s *Store) Advance(now time.Time, known int) bool {
	if s.next == nil || !s.mayAdvance(now, known) {
		return false
	}
	s.active, s.source, s.confirmed = s.next, s.nextSource, s.nextAt
	s.next, s.nextSource, s.nextAt = nil, FromNowhere, time.Time{}
	s.forget()
	return true
}

func (s *Store) mayAdvance(now time.Time, known int) bool {
	if s.nextSource == FromPlatform {
		return s.acked || !now.Before(s.ackUntil)
	}
	return s.active != nil || s.start.allows(s.next.Version, now, known)
}

// forget drops refusals that the version in force has overtaken.
func (s *Store) forget() {
	if s.refusal.Version <= s.active.Version {
		s.refusal = Refusal{}
	}
	for v := range s.refused {
		if v <= s.active.Version {
			delete(s.refused, v)
		}
	}
}

func (s *Store) accept(now time.Time, snapshot *mesh.Snapshot, from Source) {
	s.history.Add(s.Newest(), snapshot)
	s.takenAt = now
	s.next, s.nextSource, s.nextAt, s.acked = snapshot, from, time.Time{}, false
	s.fetch = fetch{}
}

// refuse remembers a version as invalid; it is not tried again.
func (s *Store) refuse(v mesh.Version, err error) error {
	if len(s.refused) >= maxRefused {
		lowest := v
		for known := range s.refused {
			lowest = min(lowest, known)
		}
		delete(s.refused, lowest)
	}
	s.refused[v] = true
	return s.refuseForNow(v, err)
}

// refuseForNow reports a version that could not be taken from this source but
// may be valid.
func (s *Store) refuseForNow(v mesh.Version, err error) error {
	if v >= s.refusal.Version {
		e := result.From(err)
		s.refusal = Refusal{Version: v, Code: e.Code, Reason: e.Message}
	}
	return err
}
