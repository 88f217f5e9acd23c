package port

import (
	"teaselring/kernel"
	"teaselring/mesh"
)

// Claim asks for the right to run a once-only call. It is refused with
// result.AlreadyRan, KeyMayHaveRun or KeyStoreDown.
type Claim struct {
	Service mesh.ServiceID
	Caller  mesh.CallerID
	Key     string
	Attempt mesh.AttemptID
}

// Claimed confirms that the attempt alone may run the call.
type Claimed struct{}

// ClaimRing leads from the owner's edge to the claims duty.
type ClaimRing = kernel.Ring[kernel.Ask[Claim, Claimed]]

// Settlement ends a claim: the call ran with a status, or it never began and
// the key is free again.
type Settlement struct {
	Claim  Claim
	NotRun bool
	Status int // of the upstream's answer
}

// SettlementRing leads from the owner's edge to the claims duty.
type SettlementRing = kernel.Ring[kernel.Ask[Settlement, struct{}]]
