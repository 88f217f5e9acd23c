package moves

import (
	"time"

	"teaselring/mesh"
)

// stage is one share of the new version on the way to full share.
type stage struct {
	share float64
	// span is how long the share stays, as a fraction of the duration.
	span float64
	// excess is the index in Excesses that must be ruled out first; -1: none.
	excess int
	// evidence is the fraction of Settings.fullEvidence that the share needs.
	evidence float64
}

// stages lists the shares, which about double, up to the watch at full share;
// the margin before the target follows. The first share has the longest span
// because its calls arrive slowest; the watch has the next longest, because full
// load exposes faults that no smaller share could. The first 2% leave the nodes
// time to receive the move and each other's first reports.
var stages = [...]stage{
	{share: FirstShare, span: 0.28, excess: -1},
	{share: 0.10, span: 0.11, excess: 0, evidence: 0.4},
	{share: 0.20, span: 0.10, excess: 1, evidence: 0.5},
	{share: 0.40, span: 0.09, excess: 2, evidence: 0.65},
	{share: 0.70, span: 0.08, excess: 3, evidence: 0.8},
	{share: 1, span: 0.22, excess: 4, evidence: 1},
}

const (
	// marginPart of the duration is left between done and the target, so that a
	// recheck just before the end can still be cleared, and all nodes receive
	// the done row before they would return to the old version on their own.
	marginPart = 0.1
	minMargin  = 5 * time.Second
	// A late move may be shortened: each stage lasts at least minStagePart, the
	// watch minWatchPart. Half of the watch is enough after a recheck, because
	// faults that appear at full load appear again within seconds.
	minStagePart = 0.03
	minWatchPart = 0.08
	minStageSpan = 3 * time.Second
	// DefaultMinWatch is the shortest watch period when Settings.MinWatch is 0.
	DefaultMinWatch = 15 * time.Second
)

// schedule places the stages of one move in time.
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

// watchEnd returns when the watch should end.
func (s schedule) watchEnd() time.Time { return s.target.Add(-max(s.part(marginPart), minMargin)) }

// stageStart returns when the stage begins, computed backwards from the target.
func (s schedule) stageStart(index int) time.Time {
	at := s.watchEnd()
	for i := len(stages) - 1; i >= index; i-- {
		at = at.Add(-s.part(stages[i].span))
	}
	return at
}

func (s schedule) minStage() time.Duration        { return max(s.part(minStagePart), minStageSpan) }
func (s schedule) minWatch() time.Duration        { return max(s.part(minWatchPart), s.minWatchSpan) }
func (s schedule) minSinceRecheck() time.Duration { return s.minWatch() / 2 }

// earliestDone returns the earliest time at which a move can be done if the
// evidence suffices. index is its stage, since the time when that began.
func (s schedule) earliestDone(index int, since, now time.Time) time.Time {
	last := len(stages) - 1
	if index == last {
		return mesh.Later(now, since.Add(s.minWatch()))
	}
	at := now
	if index >= 0 {
		at = mesh.Later(now, since.Add(s.minStage()))
	}
	return at.Add(time.Duration(last-index-1) * s.minStage()).Add(s.minWatch())
}

// latestDone returns the last time at which done is still written.
func (s schedule) latestDone() time.Time { return s.target.Add(-minMargin / 2) }

// stageOf returns the index of the stage with the share, -1 below the first.
func stageOf(share float64) int {
	index := -1
	for i := range stages {
		if share >= stages[i].share {
			index = i
		}
	}
	return index
}
