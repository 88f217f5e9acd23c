package moves

import (
	"time"

	"teaselring/mesh"
)

// rung is one share of the new version on the way to full share.
type rung struct {
	share float64
	// span is how long the share stays, as a part of the whole duration.
	span float64
	// excess is the index in Excesses of what the share needs evidence
	// against; -1: none.
	excess int
	// evidence is the part of Settings.fullEvidence that the share needs.
	evidence float64
}

// The rungs, backwards from the target: margin, watch, and shares that about
// double. The first share has the longest span because calls arrive slowest
// there; the watch has the next, because full load is where faults appear
// that no share before could show. The first 2% leave the nodes time to learn
// of the move and of each other.
var rungs = [...]rung{
	{share: FirstShare, span: 0.28, excess: -1},
	{share: 0.10, span: 0.11, excess: 0, evidence: 0.4},
	{share: 0.20, span: 0.10, excess: 1, evidence: 0.5},
	{share: 0.40, span: 0.09, excess: 2, evidence: 0.65},
	{share: 0.70, span: 0.08, excess: 3, evidence: 0.8},
	{share: 1, span: 0.22, excess: 4, evidence: 1},
}

const (
	// marginPart of the duration is left between done and the target, so that
	// a recheck just before the end can still be cleared, and that all nodes
	// learn of done before they would return on their own.
	marginPart = 0.1
	minMargin  = 5 * time.Second
	// A late move may hurry: each rung lasts at least minRungPart, the watch
	// minWatchPart. Half of that is enough after a recheck, because what appears
	// at full load appears again within seconds.
	minRungPart  = 0.03
	minWatchPart = 0.08
	minRungSpan  = 3 * time.Second
	// DefaultMinWatch is the least watch period when Settings name none.
	DefaultMinWatch = 15 * time.Second
)

// schedule places the steps of one move in time.
type schedule struct {
	target       time.Time
	duration     time.Duration
	minWatchSpan time.Duration
}

func (s Settings) schedule(row *mesh.Move) schedule {
	span := s.MinWatch
	if span == 0 {
		span = DefaultMinWatch
	}
	return schedule{target: row.Target, duration: row.Target.Sub(row.Declared), minWatchSpan: span}
}

func (s schedule) part(p float64) time.Duration { return time.Duration(p * float64(s.duration)) }

// finish is when the watch should end.
func (s schedule) finish() time.Time { return s.target.Add(-max(s.part(marginPart), minMargin)) }

// start is when the rung begins, computed backwards from the target.
func (s schedule) start(index int) time.Time {
	at := s.finish()
	for i := len(rungs) - 1; i >= index; i-- {
		at = at.Add(-s.part(rungs[i].span))
	}
	return at
}

func (s schedule) minRung() time.Duration  { return max(s.part(minRungPart), minRungSpan) }
func (s schedule) minWatch() time.Duration { return max(s.part(minWatchPart), s.minWatchSpan) }
func (s schedule) minCalm() time.Duration  { return s.minWatch() / 2 }

// earliest is the first time at which a move on a rung since some time can be
// done if nothing but time is missing.
func (s schedule) earliest(index int, since, now time.Time) time.Time {
	last := len(rungs) - 1
	if index == last {
		return later(now, since.Add(s.minWatch()))
	}
	at := now
	if index >= 0 {
		at = later(now, since.Add(s.minRung()))
	}
	return at.Add(time.Duration(last-index-1) * s.minRung()).Add(s.minWatch())
}

// latestDone is the last time at which done is still written.
func (s schedule) latestDone() time.Time { return s.target.Add(-minMargin / 2) }

// rungOf returns the index of the rung with the share, -1 below the first.
func rungOf(share float64) int {
	index := -1
	for i := range rungs {
		if share >= rungs[i].share {
			index = i
		}
	}
	return index
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
