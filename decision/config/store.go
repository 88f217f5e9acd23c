package config

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Timeouts of the store.
const (
	// AckTimeout bounds how long a version read from the platform waits until a
	// peer holds it too.
	AckTimeout = 500 * time.Millisecond
	// FetchTimeout is how long a peer may take to send a version, or its next
	// part, before the version is requested from another peer.
	FetchTimeout = time.Second
)

// maxRefused bounds the set of refused versions that a store remembers.
const maxRefused = 64

// Source is the origin of a version.
type Source string

// Sources of versions.
const (
	SourceNone     Source = ""
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Head identifies the newest version published on the platform.
type Head struct {
	Version mesh.Version // 0: nothing was published
	Digest  mesh.Digest
}

// Refusal is the newest version that the node refused, with the reason.
type Refusal struct {
	Version mesh.Version
	Code    *result.Code
	Reason  string
}

// Store decides which configuration version a node has in force. It accepts only
// complete and valid versions that are higher than the newest one it holds. An
// accepted version becomes the next one; Advance puts it in force once that is
// allowed.
//
// A Store belongs to one duty and is not safe for concurrent use.
type Store struct {
	active  *mesh.Snapshot
	source  Source // of active
	history History

	next        *mesh.Snapshot
	nextSource  Source
	acceptedAt  time.Time // when the newest version held was accepted
	acked       bool      // a peer holds next
	ackDeadline time.Time // next is put in force without an acknowledgement from then on

	refusal         Refusal
	refused         map[mesh.Version]bool // invalid versions, which are not retried
	confirmedAt     time.Time             // when the platform last confirmed active as its head
	nextConfirmedAt time.Time             // when the platform confirmed next as its head
	start           startup
	fetch           fetch
}

// fetch is the pending request to a peer.
type fetch struct {
	version  mesh.Version
	deadline time.Time
	full     bool // request the full version, since the last delta could not be applied
}

// NewStore returns the store of a process that starts now. It has no version.
func NewStore(now time.Time) *Store {
	return &Store{refused: map[mesh.Version]bool{}, start: newStartup(now)}
}

// Active returns the version in force, or nil.
func (s *Store) Active() *mesh.Snapshot { return s.active }

// Newest returns the highest version held, in force or not yet, which may be
// sent to peers; nil when there is none.
func (s *Store) Newest() *mesh.Snapshot {
	if s.next != nil {
		return s.next
	}
	return s.active
}

// Refusal returns the newest refused version. Its Version is 0 when none was
// refused or the version in force is as new.
func (s *Store) Refusal() Refusal { return s.refusal }

// Source returns the origin of the version in force.
func (s *Store) Source() Source { return s.source }

// ConfirmedAt returns when the platform last confirmed the version in force as
// its head; zero when it never did.
func (s *Store) ConfirmedAt() time.Time { return s.confirmedAt }

// Needs reports whether a version is newer than the newest one held and was not
// found invalid.
func (s *Store) Needs(v mesh.Version) bool { return v > versionOf(s.Newest()) && !s.refused[v] }

// BeginFetch reports whether to fetch a version that a peer offers, and records
// the fetch as pending. Base is the version to request a delta against, 0 for
// the full version. A version is fetched from one peer at a time.
func (s *Store) BeginFetch(now time.Time, v mesh.Version) (base mesh.Version, ok bool) {
	if !s.Needs(v) || (v <= s.fetch.version && now.Before(s.fetch.deadline)) {
		return 0, false
	}
	s.fetch.version, s.fetch.deadline = v, now.Add(FetchTimeout)
	if s.fetch.full {
		return 0, true
	}
	return versionOf(s.Newest()), true
}

// ExtendFetch extends the deadline of a fetch after a part of the version has
// arrived, so that a large version is not fetched twice.
func (s *Store) ExtendFetch(now time.Time, v mesh.Version) {
	if v >= s.fetch.version {
		s.fetch.version, s.fetch.deadline = v, now.Add(FetchTimeout)
	}
}

// Delta returns the delta from version base of a peer to the newest version
// held, or the full version when the history does not reach back to base.
func (s *Store) Delta(base mesh.Version) Delta {
	newest := s.Newest()
	if d, ok := s.history.Delta(base, newest); ok {
		return d
	}
	return FullDelta(newest)
}

// AcceptHead processes the platform's head, read at the given time, and the
// content of its object when the head is higher than the version held. With
// peers, the version waits for an acknowledgement before it is in force.
//
// Errors: result.StaleVersion when the head is lower than the version held
// although it was read later, result.DigestMismatch when the head has the number
// but not the digest of the version held, result.StaleObject when the content
// does not match the head, or the reason why the version is invalid. The version
// in force stays in each case.
func (s *Store) AcceptHead(now, read time.Time, head Head, content []byte, peers bool) error {
	s.start.observeHead(head.Version)
	newest := versionOf(s.Newest())
	switch {
	case head.Version < newest && !read.After(s.acceptedAt):
		return nil // a newer version was accepted after the read began
	case head.Version < newest:
		return result.StaleVersion.Errorf("the platform's head is version %d, held is %d", head.Version, newest)
	case head.Version == newest && s.Newest() != nil && head.Digest != s.Newest().Digest:
		return result.DigestMismatch.Errorf("version %d of the platform has another digest than version %d held", head.Version, newest)
	case head.Version == newest:
		s.confirm(head.Version, read)
		return nil
	case s.refused[head.Version]:
		return nil
	}
	if DigestOf(content) != head.Digest {
		return s.recordRefusal(head.Version, result.StaleObject.Errorf("version %d: the object does not have the digest of the head", head.Version))
	}
	snapshot, err := buildContent(head, content)
	if err != nil {
		return s.refuse(head.Version, err)
	}
	s.accept(now, snapshot, SourcePlatform)
	s.nextConfirmedAt = read
	s.ackDeadline = now
	if peers {
		s.ackDeadline = now.Add(AckTimeout)
	}
	return nil
}

// RecordMissingObject records that the object of a higher head could not be read.
// Peers may have the version.
func (s *Store) RecordMissingObject(head Head, err error) {
	s.start.observeHead(head.Version)
	if s.Needs(head.Version) {
		_ = s.recordRefusal(head.Version, err)
	}
}

func buildContent(head Head, content []byte) (*mesh.Snapshot, error) {
	records, err := Decode(content)
	if err != nil {
		return nil, err
	}
	return BuildExpected(head.Version, head.Digest, records)
}

// AcceptDelta processes a version that a peer sent. On error the version in force
// stays.
func (s *Store) AcceptDelta(now time.Time, d Delta) error {
	s.fetch = fetch{}
	if s.next != nil && d.Version == s.next.Version {
		s.RecordAck(d.Version)
		return nil
	}
	if newest := versionOf(s.Newest()); d.Version <= newest {
		return result.StaleVersion.Errorf("version %d is not newer than version %d", d.Version, newest)
	}
	if s.refused[d.Version] {
		return result.StaleVersion.Errorf("version %d was already refused", d.Version)
	}
	snapshot, err := Apply(s.baseFor(d), d)
	switch result.Of(err) {
	case result.OK:
		s.accept(now, snapshot, SourcePeer)
		return nil
	case result.WrongBase: // another version was accepted since the request
		s.fetch.full = true
		return err
	case result.DigestMismatch:
		s.fetch.full = true
		return s.recordRefusal(d.Version, err)
	}
	return s.refuse(d.Version, err)
}

func (s *Store) baseFor(d Delta) *mesh.Snapshot {
	if s.next != nil && s.next.Version == d.Base {
		return s.next
	}
	return s.active
}

// RecordAck records that a peer holds the given version or a higher one.
func (s *Store) RecordAck(v mesh.Version) {
	if s.next != nil && v >= s.next.Version {
		s.acked = true
	}
}

// RecordPeerConfirmation records the report of a peer that the platform confirmed
// a version as its head at the given time.
func (s *Store) RecordPeerConfirmation(v mesh.Version, at time.Time) {
	if at.Sub(s.start.startedAt) > confirmMargin {
		s.start.observeHead(v)
	}
	s.confirm(v, at)
}

func (s *Store) confirm(v mesh.Version, at time.Time) {
	if s.next != nil && v == s.next.Version && at.After(s.nextConfirmedAt) {
		s.nextConfirmedAt = at
	}
	if s.active != nil && v == s.active.Version && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Advance puts the next version in force if that is allowed now, and reports
// whether it did. PeerCount is the number of known peers.
func (s *Store) Advance(now time.Time, peerCount int) bool {
	if s.next == nil || !s.mayAdvance(now, peerCount) {
		return false
	}
	s.active, s.source, s.confirmedAt = s.next, s.nextSource, s.nextConfirmedAt
	s.next, s.nextSource, s.nextConfirmedAt = nil, SourceNone, time.Time{}
	s.dropOldRefusals()
	return true
}

func (s *Store) mayAdvance(now time.Time, peerCount int) bool {
	if s.nextSource == SourcePlatform {
		return s.acked || !now.Before(s.ackDeadline)
	}
	return s.active != nil || s.start.mayActivate(s.next.Version, now, peerCount)
}

// dropOldRefusals drops refusals of versions up to the one in force.
func (s *Store) dropOldRefusals() {
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
	s.acceptedAt = now
	s.next, s.nextSource, s.nextConfirmedAt, s.acked = snapshot, from, time.Time{}, false
	s.fetch = fetch{}
}

// refuse remembers a version as invalid; it is not retried.
func (s *Store) refuse(v mesh.Version, err error) error {
	if len(s.refused) >= maxRefused {
		lowest := v
		for old := range s.refused {
			lowest = min(lowest, old)
		}
		delete(s.refused, lowest)
	}
	s.refused[v] = true
	return s.recordRefusal(v, err)
}

// recordRefusal makes v the refused version that the store reports, unless a
// newer one is. It does not mark v as invalid, so v can be retried.
func (s *Store) recordRefusal(v mesh.Version, err error) error {
	if v >= s.refusal.Version {
		e := result.AsError(err)
		s.refusal = Refusal{Version: v, Code: e.Code, Reason: e.Message}
	}
	return err
}
