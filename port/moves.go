package port

import (
	"teaselring/kernel"
	"teaselring/mesh"
)

// SplitsCell holds the traffic splits of current moves. It is owned by the guard
// duty; the router reads it.
type SplitsCell = kernel.Cell[mesh.Splits]

// SampleRing leads from the router to the guard duty. It replaces the oldest sample
// when full: a sample lost under overload only delays evidence.
type SampleRing = kernel.Ring[mesh.Outcome]

// MoveTable is the newest known state of each move, sorted by id.
type MoveTable struct{ Moves []mesh.Move }

// MovesCell is owned by the guard duty.
type MovesCell = kernel.Cell[MoveTable]

// EvidenceTable is the newest evidence of each node for each current move.
type EvidenceTable struct{ Reports []mesh.Evidence }

// EvidenceCell is owned by the guard duty; the holder reads it.
type EvidenceCell = kernel.Cell[EvidenceTable]

// StartMove requests the holder to declare a move.
type StartMove struct {
	Move mesh.Move // ID, Service, Old, New, Routes, Target and By are used
}

// StartMoveRing leads from the operators' edge to the holder.
type StartMoveRing = kernel.Ring[kernel.Request[StartMove, mesh.Move]]

// TakeBack requests the holder to roll a move back.
type TakeBack struct {
	Move mesh.MoveID
	By   string
	Why  string
}

// TakeBackRing leads from the operators' edge to the holder.
type TakeBackRing = kernel.Ring[kernel.Request[TakeBack, mesh.Move]]

// HeldMoves carries move states that the holder has written or read, for the guard.
type HeldMoves struct{ Moves []mesh.Move }

// HeldMovesRing leads from the holder to the guard duty. It replaces the oldest item
// when full, since a newer state supersedes an older one.
type HeldMovesRing = kernel.Ring[HeldMoves]

// VerdictTable holds the verdict on each current move from the pooled evidence.
type VerdictTable struct{ Verdicts []mesh.Verdict }

// VerdictsCell is owned by the guard duty; the holder reads it.
type VerdictsCell = kernel.Cell[VerdictTable]

// MoveTableName is the platform table of moves: keys are move ids, values are
// mesh.Move in JSON.
const MoveTableName = "moves"

// MoveServiceTable is the platform table that names the newest move of each
// service, so that two moves of one service can't be declared at once.
const MoveServiceTable = "moves_by_service"
