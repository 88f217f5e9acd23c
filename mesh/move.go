package mesh

import "time"

// MoveID names a move.
type MoveID string

// MovePhase is a phase of a move.
type MovePhase string

// Phases of a move. The first four are passed in order; the last two replace the
// rest when the move is taken back.
const (
	MoveDeclared   MovePhase = "declared"
	MoveShifting   MovePhase = "shifting"
	MoveWatching   MovePhase = "watching"
	MoveDone       MovePhase = "done"
	MoveTakingBack MovePhase = "taking_back"
	MoveTakenBack  MovePhase = "taken_back"
)

// Ended reports whether the phase is final.
func (p MovePhase) Ended() bool { return p == MoveDone || p == MoveTakenBack }

// Move is the row of one move on the platform.
type Move struct {
	ID       MoveID          `json:"id" cbor:"1,keyasint"`
	Service  ServiceID       `json:"service" cbor:"2,keyasint"`
	Old      UpstreamVersion `json:"old" cbor:"3,keyasint"`
	New      UpstreamVersion `json:"new" cbor:"4,keyasint"`
	Routes   []RouteID       `json:"routes,omitempty" cbor:"5,keyasint,omitempty"` // empty: all of the service
	Declared time.Time       `json:"declared" cbor:"6,keyasint"`
	Target   time.Time       `json:"target" cbor:"7,keyasint"` // done or taken back by then
	By       string          `json:"by" cbor:"8,keyasint"`     // operator

	Phase      MovePhase `json:"phase" cbor:"9,keyasint"`
	Share      float64   `json:"share" cbor:"10,keyasint"` // of calls to the new version, 0 to 1
	Step       uint64    `json:"step" cbor:"11,keyasint"`  // increases with each write
	Epoch      uint64    `json:"epoch" cbor:"12,keyasint"` // increases with each change of holder
	Holder     NodeID    `json:"holder" cbor:"13,keyasint"`
	LeaseUntil time.Time `json:"lease_until" cbor:"14,keyasint"`
	Reason     string    `json:"reason" cbor:"15,keyasint"` // of the last step, for operators
	Late       bool      `json:"late" cbor:"16,keyasint"`   // the target time can no longer be met
}

// Newer reports whether m is a later state of the same move than other.
func (m *Move) Newer(other *Move) bool {
	if m.Epoch != other.Epoch {
		return m.Epoch > other.Epoch
	}
	return m.Step > other.Step
}
