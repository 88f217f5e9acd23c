package port

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/result"
)

// Pick requests an endpoint from the router. A response counts one attempt as in flight
// until its OutcomeReport. A Pick that fails, or whose requester stops waiting
// before the response, reserves neither an attempt nor the caller's in-flight slot.
type Pick struct {
	Call         mesh.Call
	Tried        []mesh.NodeID // nodes that earlier attempts of the call used
	Retried      bool          // a retry of the call, to be charged to the caller's budget
	FirstAttempt bool          // the first attempt, counted against the caller's limit
	Refusals     int           // attempts of the call that owner nodes refused and no server saw
}

// PickRing leads from the callers' edge to the router duty.
type PickRing = kernel.Ring[kernel.Request[Pick, mesh.Target]]

// OutcomeRing leads from the callers' edge to the router duty. It waits when full:
// a lost outcome would leave its attempt counted as in flight.
type OutcomeRing = kernel.Ring[OutcomeReport]

// OutcomeReport reports the end of an attempt or of a whole call to the router.
type OutcomeReport struct {
	Outcome mesh.Outcome
	// CallEnded releases the caller's in-flight slot.
	CallEnded bool
	// NoAttempt is set when only the caller's in-flight slot is released.
	NoAttempt bool
}

// RetryRequest requests the router's decision on the retry of a failed attempt. The
// caller's retry budget is charged only by the following Pick with Retried set.
type RetryRequest struct {
	Call            mesh.Call
	Outcome         mesh.Outcome
	Attempts        int  // made so far, at least 1
	MaxAttempts     int  // of the call's route; 0: the policy's
	ResponseRetried bool // the response carried Teasel-Retried
	RequestRetried  bool // the caller's request carried Teasel-Retried
}

// RetryDecision is the response to a RetryRequest.
type RetryDecision struct {
	Retry bool
	Wait  time.Duration // to wait before the Pick of the next attempt
	// MarkRetried is set when the response to the caller must carry Teasel-Retried,
	// because this node or one downstream has decided about retries.
	MarkRetried bool
	Reason      string // for logs and the debug header
	// RetryAfter is the time after which the caller should repeat a call that has not run
	// and gets no retry here; 0: unknown.
	RetryAfter time.Duration
}

// RetryRing leads from the callers' edge to the router duty.
type RetryRing = kernel.Ring[kernel.Request[RetryRequest, RetryDecision]]

// Admit requests the start of an attempt from the owner node's slots duty. The response comes
// when a slot is free; the attempt never starts if the requester stops waiting
// before. An admitted attempt holds its slot until its SlotRelease.
type Admit struct {
	Call        mesh.Call
	Attempt     mesh.AttemptID
	Incarnation mesh.Incarnation     // incarnation of the owner node that the entry node knows
	Version     mesh.UpstreamVersion // the upstream version that the entry node chose
}

// Admission is the response to Admit: where the owner's edge sends the attempt.
type Admission struct {
	Upstream netip.AddrPort
	Process  string // upstream process that the attempt was admitted for
	Instance string // instance id of the upstream; empty: none
	Load     mesh.Load
}

// AdmitRing leads from the edges to the slots duty.
type AdmitRing = kernel.Ring[kernel.Request[Admit, Admission]]

// SlotRelease reports the end of an admitted attempt.
type SlotRelease struct {
	Attempt        mesh.AttemptID
	Status         int        // HTTP status of the upstream, 0 without a response
	Shed           bool       // the upstream refused the attempt
	Load           *mesh.Load // reported by the upstream with its response; nil: none
	ConnectionLost bool       // the connection to the upstream broke
	Unreachable    bool       // nothing listens on the upstream's address
}

// ReleaseRing leads from the edges to the slots duty. It waits when full: a
// lost release would leave its slot taken.
type ReleaseRing = kernel.Ring[SlotRelease]

// reportTimeout is far longer than the duties need to empty a full ring.
const reportTimeout = 10 * time.Second

// ReportOutcome sends an outcome to the router and waits while the ring is full: a lost
// outcome would leave its attempt counted as in flight.
func ReportOutcome(ring *OutcomeRing, report OutcomeReport, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := ring.Send(ctx, report); err != nil {
		logger.Error().Str("route", string(report.Outcome.Route)).Err(err).Msg("outcome not recorded")
	}
}

// Release reports the end of an admitted attempt and waits while the ring is full:
// a lost release would leave its slot taken.
func Release(ring *ReleaseRing, r SlotRelease, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := ring.Send(ctx, r); err != nil {
		logger.Error().Str("attempt", string(r.Attempt)).Err(err).Msg("slot not released")
	}
}

// Settle queries whether an attempt has started, and fences it if not.
type Settle struct {
	Attempt     mesh.AttemptID
	Incarnation mesh.Incarnation
	// Deadline of the attempt; a fence is kept until then. Zero: the longest route
	// timeout.
	Deadline time.Time
}

// Settled is the response to Settle.
type Settled struct {
	NotRun bool // the attempt has not started and never will
}

// SettleRing leads from the peers' edge to the slots duty.
type SettleRing = kernel.Ring[kernel.Request[Settle, Settled]]

// LoadCell holds the load of the local upstream for the header Teasel-Load; nil
// before the first call. It is owned by the slots duty.
type LoadCell = kernel.Cell[mesh.Load]

// FillOutcome sets the result of an attempt: the status of the response, or the error
// when there is none.
func FillOutcome(o *mesh.Outcome, status int, err error) {
	if err == nil {
		o.Status = status
		o.Failed = status >= http.StatusInternalServerError
		return
	}
	code := result.Of(err)
	o.Code = code.Number
	switch code {
	case result.Shed, result.QueueFull, result.QueueTimeout, result.ClassLimit:
		o.Shed = true
	case result.UpstreamLost:
		o.Failed, o.Crashed = true, true
	case result.ConnectFailed, result.ConnectionLost, result.DeadlineDuring, result.Internal:
		o.Failed = true
	}
}
