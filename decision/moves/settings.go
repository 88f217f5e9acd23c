// Package moves decides how the calls of a service shift from an old upstream
// version to a new one. Guard is the local layer, which every node runs;
// Holder is the deciding layer, which the node that holds the lease runs.
// The time is an argument of every function; the package reads no clock.
package moves

import (
	"math"
	"time"
)

// Settings are the parameters of the decisions about moves.
type Settings struct {
	// Weight is the cost of missing a bad version divided by the cost of
	// delaying a good one.
	Weight float64
	// MinWatch is the shortest time at full share before a move is done; 0
	// stands for DefaultMinWatch.
	MinWatch time.Duration
}

// Weights of the two sample deployments. The sock office counts a late move
// as much as a missed bad version; the licence mesh counts a missed one ten
// times as much.
var (
	SockOffice  = Settings{Weight: 1}
	LicenceMesh = Settings{Weight: 10}
)

// FalseAlarmRate is the stated upper bound on the probability that a version no
// worse than the old one is ever declared bad, over all routes and windows.
func (s Settings) FalseAlarmRate() float64 { return clamp(0.002*s.Weight, 1e-5, 0.02) }

// MissRate is the stated probability that a version failing MeasurableExcess
// more often than the old one accumulates the evidence for full share.
func (s Settings) MissRate() float64 { return clamp(0.03/s.Weight, 1e-5, 0.05) }

// badThreshold is the e-value at which a version counts as bad. By Ville's
// inequality an e-process of a good version exceeds it with at most the
// probability FalseAlarmRate, however often it is tested.
func (s Settings) badThreshold() float64 { return 1 / s.FalseAlarmRate() }

// fullEvidence is the log likelihood ratio against MeasurableExcess that full
// share needs; each stage needs a fraction of it against its own excess.
func (s Settings) fullEvidence() float64 { return math.Log(1 / s.MissRate()) }

// maxRelapses is how often calls may get worse at full share and recover at
// half share before the version counts as bad under load. A single time can be
// a short network fault.
func (s Settings) maxRelapses() int {
	if s.Weight >= 4 {
		return 2
	}
	return 3
}

// Constants of the protocol and the tests.
const (
	LeaseDuration      = 12 * time.Second
	LeaseRenewInterval = 4 * time.Second
	// maxClockSkew is how far the clocks of two nodes may differ.
	maxClockSkew = 2 * time.Second

	// FirstShare is the share of the new version until evidence allows more.
	FirstShare = 0.05
	// MeasurableExcess is the smallest excess failure rate that must be ruled
	// out before full share.
	MeasurableExcess = 0.01
	// maxReportGap is the largest difference in sequence between two reports of
	// a node that are compared. Over a longer span share and failure rate may
	// have changed together, which would look like a difference between the
	// versions.
	maxReportGap = 10
	// MinDuration is the shortest time between declaration and target: the
	// steps and the watch period need at least this much.
	MinDuration = 40 * time.Second

	// coldStartSpan and coldStartCalls bound the cold start of an upstream
	// process. Its first calls are no evidence, except for crashes.
	coldStartSpan  = 10 * time.Second
	coldStartCalls = 12
	// crashAftermath is how long failures of a crashed upstream are attributed
	// to that crash: membership removes it within 3 s.
	crashAftermath = 3 * time.Second

	// recheckShare gives both versions the same load, which makes them
	// comparable again when few or no calls went to the old version.
	recheckShare    = 0.5
	recheckMinShare = 0.8 // share above which too few old calls are left for comparison
	minRecheckSpan  = 10 * time.Second
)

// Excesses are the excess failure rates that evidence is gathered against.
// The larger ones are ruled out with fewer calls and are enough for shares
// at which the smaller ones do little harm.
var Excesses = [...]float64{0.08, 0.05, 0.03, 0.015, MeasurableExcess}

func clamp(v, low, high float64) float64 { return math.Min(math.Max(v, low), high) }
