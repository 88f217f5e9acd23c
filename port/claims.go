package port

import (
	"teaselring/kernel"
	"teaselring/mesh"
)

// Claim requests the exclusive right to run a once-only call. It is refused with
// result.AlreadyRan, KeyMayHaveRun or KeyStoreDown.
type Claim struct {
	Service mesh.ServiceID
	Caller  mesh.CallerID
	Key     string
	Attempt mesh.AttemptID
}

// Claimed confirms that only this attempt may run the call.
type Claimed struct{}

// ClaimRing leads from the owner's edge to the claims duty.
type ClaimRing = kernel.Ring[kernel.Request[Claim, Claimed]]

// Settlement ends a claim: either the call ran with a status, or it never started
// and the key is released.
type Settlement struct {
	Claim  Claim
	NotRun bool
	Status int // of the upstream's response
}

// SettlementRing leads from the owner's edge to the claims duty.
type SettlementRing = kernel.Ring[kernel.Request[Settlement, struct{}]]
