package main

import (
	"math"
	"slices"
)

// spreadOf is the median and the 95th percentile over the moves.
type spreadOf struct {
	Median float64 `json:"median"`
	P95    float64 `json:"p95"`
}

// line is what is printed for one family. Fields that a family says nothing
// about are absent.
type line struct {
	Control    string `json:"control"`
	Deployment string `json:"deployment"`
	Family     string `json:"family"`
	Moves      int    `json:"moves"`
	// GoodDoneInTime is the part of good moves done by their target.
	GoodDoneInTime *float64 `json:"good_done_in_time,omitempty"`
	// BadTakenBack is the part of bad moves that were taken back.
	BadTakenBack *float64 `json:"bad_taken_back,omitempty"`
	// BadCallsShare is the calls to a new version while it was bad, as a part
	// of the service's calls from the declaration to the target.
	BadCallsShare *spreadOf `json:"bad_calls_share,omitempty"`
	// CutSeconds is the time from the first call to a bad version to the last.
	CutSeconds *spreadOf `json:"cut_s,omitempty"`
	// AfterShown is the time from when any node or the holder had shown the
	// version to be bad until the last call to it.
	AfterShown    *spreadOf `json:"last_call_after_shown_s,omitempty"`
	AfterShownMax *float64  `json:"last_call_after_shown_s_max,omitempty"`
	// FinishSlack is the time from done to the target.
	FinishSlack *spreadOf `json:"finish_slack_s,omitempty"`
}

// right reports whether the move ended as it should have.
func (o *outcome) right() bool {
	if o.bad {
		return o.takenBack != 0
	}
	return o.done != 0 && o.done <= o.target
}

func summarize(s *series) line {
	l := line{Control: s.control, Deployment: s.deployment, Family: s.sc.Name}
	var good, goodRight, bad, badRight int
	var share, cut, slack, after []float64
	for _, results := range s.results {
		for i := range results {
			o := &results[i]
			l.Moves++
			if !o.bad {
				good++
				if o.right() {
					goodRight++
					slack = append(slack, (o.target - o.done).Seconds())
				}
				continue
			}
			bad++
			if o.right() {
				badRight++
			}
			share = append(share, float64(o.badCalls)/o.expectedLoad)
			cut = append(cut, (o.lastCall - o.firstBad).Seconds())
			if o.shown != 0 {
				after = append(after, math.Max(0, (o.lastCall-o.shown).Seconds()))
			}
		}
	}
	l.GoodDoneInTime, l.BadTakenBack = part(goodRight, good), part(badRight, bad)
	l.BadCallsShare, l.CutSeconds, l.FinishSlack = percentiles(share), percentiles(cut), percentiles(slack)
	if l.AfterShown = percentiles(after); l.AfterShown != nil {
		l.AfterShownMax = &after[len(after)-1]
	}
	return l
}

func part(n, of int) *float64 {
	if of == 0 {
		return nil
	}
	v := round(float64(n) / float64(of))
	return &v
}

func percentiles(values []float64) *spreadOf {
	if len(values) == 0 {
		return nil
	}
	slices.Sort(values)
	at := func(p float64) float64 { return round(values[int(p*float64(len(values)-1))]) }
	return &spreadOf{Median: at(0.5), P95: at(0.95)}
}

// round keeps four decimals, which is more than 200 seeds can tell.
func round(v float64) float64 { return math.Round(v*1e4) / 1e4 }
