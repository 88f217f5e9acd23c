package port

import (
	"teaselring/kernel"
	"teaselring/mesh"
)

// SplitsCell holds how calls are divided during moves. Its owner is the guard
// duty; the router reads it.
type SplitsCell = kernel.Cell[mesh.Splits]

// SampleRing leads from the router to the guard duty. The oldest sample is
// replaced when full: a sample lost under overload only delays evidence.
type SampleRing = kernel.Ring[mesh.Outcome]

// MoveTable is the newest known state of each move, in order of id.
type MoveTable struct{ Moves []mesh.Move }

// MovesCell is owned by the guard duty.
type MovesCell = kernel.Cell[MoveTable]

// EvidenceTable is the newest evidence of each node for each current move.
type EvidenceTable struct{ Reports []mesh.Evidence }

// EvidenceCell is owned by the guard duty; the holder reads it.
type EvidenceCell = kernel.Cell[EvidenceTable]

// StartMove asks the holder to declare a move.
type StartMove struct {
	Move mesh.Move // ID, Service, Old, New, Routes, Target and By are used
}

// StartMoveRing leads from the operators' edge to the holder.
type StartMoveRing = kernel.Ring[kernel.Ask[StartMove, mesh.Move]]

// TakeBack asks the holder to take a move back.
type TakeBack struct {
	Move mesh.MoveID
	By   string
	Why  string
}

// TakeBackRing leads from the operators' edge to the holder.
type TakeBackRing = kernel.Ring[kernel.Ask[TakeBack, mesh.Move]]

// HeldMoves passes move states that the holder wrote or read to the guard.
type HeldMoves struct{ Moves []mesh.Move }

// HeldMovesRing leads from the holder to the guard duty. A newer state makes
// an older one useless, so the oldest is replaced.
type HeldMovesRing = kernel.Ring[HeldMoves]

// VerdictTable is what the pooled evidence says about each current move.
type VerdictTable struct{ Verdicts []mesh.Verdict }

// VerdictsCell is owned by the guard duty; the holder reads it.
type VerdictsCell = kernel.Cell[VerdictTable]

// MoveTableName is the platform table of the rows of moves; a key is a move's
// id, a value its mesh.Move in JSON.
const MoveTableName = "moves"

// MoveServiceTable is the platform table that names the newest move of each
// service, so that two moves of one service can't be declared at once.
const MoveServiceTable = "moves_by_service"
