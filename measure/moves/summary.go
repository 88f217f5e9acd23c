package main

import (
	"math"
	"slices"
)

// medianAndP95 holds percentiles over the moves of a family.
type medianAndP95 struct {
	Median float64 `json:"median"`
	P95    float64 `json:"p95"`
}

// line is the printed result of one family. Fields that do not apply to a family
// are absent.
type line struct {
	Control    string `json:"control"`
	Deployment string `json:"deployment"`
	Family     string `json:"family"`
	Moves      int    `json:"moves"`
	// GoodDoneInTime is the share of good moves done by their target.
	GoodDoneInTime *float64 `json:"good_done_in_time,omitempty"`
	// BadTakenBack is the share of bad moves that were taken back.
	BadTakenBack *float64 `json:"bad_taken_back,omitempty"`
	// BadCallsShare is the number of calls to a new version while it was bad,
	// as a share of the service's calls from the declaration to the target.
	BadCallsShare *medianAndP95 `json:"bad_calls_share,omitempty"`
	// CutSeconds is the time from the first call to a bad version to the last
	// call to it.
	CutSeconds *medianAndP95 `json:"cut_s,omitempty"`
	// AfterShown is the time from when any node's pooled test or the holder
	// showed the version to be bad until the last call to it.
	AfterShown    *medianAndP95 `json:"last_call_after_shown_s,omitempty"`
	AfterShownMax *float64      `json:"last_call_after_shown_s_max,omitempty"`
	// FinishSlack is the time from done to the target.
	FinishSlack *medianAndP95 `json:"finish_slack_s,omitempty"`
}

// asExpected reports whether a bad move was taken back or a good one was done by
// its target.
func (o *moveOutcome) asExpected() bool {
	if o.bad {
		return o.takenBackAt != 0
	}
	return o.doneAt != 0 && o.doneAt <= o.target
}

func summarize(s *series) line {
	l := line{Control: s.control, Deployment: s.deployment, Family: s.sc.Name}
	var good, goodAsExpected, bad, badAsExpected int
	var badShare, cut, slack, afterShown []float64
	for _, results := range s.results {
		for i := range results {
			o := &results[i]
			l.Moves++
			if !o.bad {
				good++
				if o.asExpected() {
					goodAsExpected++
					slack = append(slack, (o.target - o.doneAt).Seconds())
				}
				continue
			}
			bad++
			if o.asExpected() {
				badAsExpected++
			}
			badShare = append(badShare, float64(o.badCalls)/o.expectedCalls)
			cut = append(cut, (o.lastBadCall - o.firstBadCall).Seconds())
			if o.shownAt != 0 {
				afterShown = append(afterShown, math.Max(0, (o.lastBadCall-o.shownAt).Seconds()))
			}
		}
	}
	l.GoodDoneInTime, l.BadTakenBack = fraction(goodAsExpected, good), fraction(badAsExpected, bad)
	l.BadCallsShare, l.CutSeconds, l.FinishSlack = percentiles(badShare), percentiles(cut), percentiles(slack)
	if l.AfterShown = percentiles(afterShown); l.AfterShown != nil {
		l.AfterShownMax = &afterShown[len(afterShown)-1]
	}
	return l
}

func fraction(n, of int) *float64 {
	if of == 0 {
		return nil
	}
	v := round(float64(n) / float64(of))
	return &v
}

func percentiles(values []float64) *medianAndP95 {
	if len(values) == 0 {
		return nil
	}
	slices.Sort(values)
	at := func(p float64) float64 { return round(values[int(p*float64(len(values)-1))]) }
	return &medianAndP95{Median: at(0.5), P95: at(0.95)}
}

// round rounds to four decimals, finer than 200 seeds can resolve.
func round(v float64) float64 { return math.Round(v*1e4) / 1e4 }
