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

// Pick asks the router for an endpoint. An answer counts one attempt in flight
// until its Finished. A Pick that fails holds nothing, neither an attempt nor
// the caller's place; nor does one whose asker left before the answer.
type Pick struct {
	Call    mesh.Call
	Tried   []mesh.NodeID // nodes that earlier attempts of the call used
	Retried bool          // a retry of the call, to be charged to the caller's budget
	First   bool          // the first attempt, counted against the caller's limit
}

// PickRing leads from the callers' edge to the router.
type PickRing = kernel.Ring[kernel.Ask[Pick, mesh.Target]]

// OutcomeRing leads from the callers' edge to the router. It waits when full:
// a lost outcome would leave its attempt counted as in flight.
type OutcomeRing = kernel.Ring[Finished]

// Finished reports the end of an attempt or of a whole call to the router.
type Finished struct {
	Outcome mesh.Outcome
	// CallEnded releases the caller's in-flight place.
	CallEnded bool
	// NoAttempt is set when only the caller's place is released.
	NoAttempt bool
}

// MayRetry asks the router whether a failed attempt may be tried again. The
// caller's budget is charged only by the Pick with Retried that follows.
type MayRetry struct {
	Call         mesh.Call
	Outcome      mesh.Outcome
	Attempts     int  // made so far, at least 1
	MaxAttempts  int  // of the call's route; 0: the policy's
	RetriedBelow bool // the answer carried Teasel-Retried
	RetriedAbove bool // the caller's request carried Teasel-Retried
}

// RetryVerdict is the answer to MayRetry.
type RetryVerdict struct {
	Retry bool
	Wait  time.Duration // to wait before the Pick of the next attempt
	// Mark is set when the answer to the caller must carry Teasel-Retried,
	// because the decision about retries was taken here or below.
	Mark bool
	Why  string // for logs and the debug header
}

// RetryRing leads from the callers' edge to the router.
type RetryRing = kernel.Ring[kernel.Ask[MayRetry, RetryVerdict]]

// Admit asks the owner node's slots duty to start an attempt. The answer comes
// when a slot is free; an asker that leaves before never starts. An admitted
// attempt holds its slot until its Released.
type Admit struct {
	Call        mesh.Call
	Attempt     mesh.AttemptID
	Incarnation mesh.Incarnation     // the life of the owner node that the entry node knows
	Version     mesh.UpstreamVersion // the upstream version that the entry node chose
}

// Admitted tells the owner's edge where to send the attempt.
type Admitted struct {
	Upstream netip.AddrPort
	Process  string // life of the upstream that the attempt was admitted for
	Instance string // id that the upstream answers to; empty: none
	Load     mesh.Load
}

// AdmitRing leads from the edges to the slots duty.
type AdmitRing = kernel.Ring[kernel.Ask[Admit, Admitted]]

// Released reports the end of an admitted attempt.
type Released struct {
	Attempt mesh.AttemptID
	Status  int        // status of the upstream, 0 when none came
	Shed    bool       // the upstream refused the attempt
	Load    *mesh.Load // that the upstream reported with its refusal; nil: none
	Lost    bool       // the connection to the upstream broke
	Down    bool       // nothing listens at the upstream's address
}

// ReleaseRing leads from the edges to the slots duty. It waits when full: a
// lost release would leave its slot taken.
type ReleaseRing = kernel.Ring[Released]

// releaseTimeout is far above the time that the duties need for a full ring.
const releaseTimeout = 10 * time.Second

// Report hands an outcome to the router and waits for a place: a lost outcome
// would leave its attempt counted as in flight.
func Report(ring *OutcomeRing, f Finished, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := ring.Send(ctx, f); err != nil {
		logger.Error().Str("route", string(f.Outcome.Route)).Err(err).Msg("outcome not recorded")
	}
}

// Release reports the end of an admitted attempt and waits for a place: a lost
// release would leave its slot taken.
func Release(ring *ReleaseRing, r Released, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := ring.Send(ctx, r); err != nil {
		logger.Error().Str("attempt", string(r.Attempt)).Err(err).Msg("slot not released")
	}
}

// Settle asks whether an attempt began, and fences it if it did not.
type Settle struct {
	Attempt     mesh.AttemptID
	Incarnation mesh.Incarnation
	// Deadline of the attempt, until which a fence is kept. Zero: the longest
	// timeout of a route.
	Deadline time.Time
}

// Settled is the answer to Settle.
type Settled struct {
	NotRun bool // the attempt never began and never will
}

// SettleRing leads from the peers' edge to the slots duty.
type SettleRing = kernel.Ring[kernel.Ask[Settle, Settled]]

// LoadCell holds the load of the local upstream for the header Teasel-Load.
// Its owner is the slots duty; nil before the first call.
type LoadCell = kernel.Cell[mesh.Load]

// Describe fills in what an attempt came to: the status of an answer, or the
// error without one.
func Describe(o *mesh.Outcome, status int, err error) {
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
