// Package operator holds the operators' API of a node: its requests and
// responses, which the node's operators' edge also uses, and a client that
// front ends share.
package operator

import (
	"fmt"
	"strings"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Paths of the API. Those of one move are PathMoves/<id> and
// PathMoves/<id>/take-back.
const (
	PathApply    = "/v1/apply"    // POST, records in TOML; ?publication=&base=&why=&remove=
	PathValidate = "/v1/validate" // POST, records in TOML; ?base=&remove=
	PathRecords  = "/v1/records"  // GET, answers TOML and HeaderVersion; ?version=
	PathDiff     = "/v1/diff"     // GET; ?from=&to=, 0 for the version in force
	PathStatus   = "/v1/status"   // GET
	PathMoves    = "/v1/moves"    // POST, GET
	PathDrain    = "/v1/drain"    // POST
	PathAudit    = "/v1/audit"    // GET; ?stream=&after=&limit=
	PathLogLevel = "/v1/log-level"
)

// HeaderVersion is the configuration version of the records in an answer.
const HeaderVersion = "Teasel-Version"

// HeaderOperator names the sender of a request for the audit trail. It is a
// statement of the holder of the token, not a proof.
const HeaderOperator = "X-Operator"

// ContentTOML is the media type of records.
const ContentTOML = "application/toml"

// ErrorResponse is the body of each answer with a status of 400 or above.
type ErrorResponse struct {
	Code    int               `json:"code"`
	Name    string            `json:"name"`
	Message string            `json:"message"`
	Details map[string]string `json:"details,omitempty"`
}

// ErrorOf returns the body and the HTTP status for an error.
func ErrorOf(err error) (body ErrorResponse, status int) {
	e := result.AsError(err)
	return ErrorResponse{Code: e.Code.Number, Name: e.Code.Name, Message: e.Message, Details: e.Details}, e.Code.Status
}

// Err returns the error that the body tells. A code that this program does not
// know, from a newer node, keeps its number and name in the message.
func (r ErrorResponse) Err() *result.Error {
	code := result.ByNumber(r.Code)
	message := r.Message
	if code.Number != r.Code {
		message = fmt.Sprintf("%s (%d): %s", r.Name, r.Code, r.Message)
	}
	return &result.Error{Code: code, Message: message, Details: r.Details}
}

// ApplyRequest is sent as query and body of PathApply and PathValidate.
type ApplyRequest struct {
	// Publication identifies the request. Sent again with the same id after a
	// lost answer, it is applied once.
	Publication string
	Base        mesh.Version // version that the change was made against; 0: the newest
	Why         string       // for the audit trail
	Remove      []mesh.RecordKey
	Records     []byte // TOML
}

// ApplyResponse answers PathApply.
type ApplyResponse struct {
	Version mesh.Version `json:"version"`
	Merged  bool         `json:"merged,omitempty"` // other changes since the base were kept
}

// ValidateResponse answers PathValidate when the records are valid.
type ValidateResponse struct {
	Version mesh.Version `json:"version"` // that the records were merged with
}

// ParseRecordKey reads kind/id, as in the query member remove.
func ParseRecordKey(text string) (mesh.RecordKey, error) {
	kind, id, ok := strings.Cut(text, "/")
	if !ok || kind == "" || id == "" {
		return mesh.RecordKey{}, result.BadRequest.Errorf("%q is not a record; allowed is kind/id", text)
	}
	return mesh.RecordKey{Kind: mesh.Kind(kind), ID: id}, nil
}

// Records answers PathRecords.
type Records struct {
	Version mesh.Version `json:"version"`
	TOML    string       `json:"toml"`
}

// DiffResponse answers PathDiff.
type DiffResponse struct {
	From    mesh.Version     `json:"from"`
	To      mesh.Version     `json:"to"`
	Added   []mesh.RecordKey `json:"added"`
	Removed []mesh.RecordKey `json:"removed"`
	Changed []RecordChange   `json:"changed"`
}

// RecordChange lists the fields in which two versions of a record differ.
type RecordChange struct {
	mesh.RecordKey
	Fields []FieldChange `json:"fields"`
}

// FieldChange is a field with its values as TOML; empty when it is absent.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// StatusResponse answers PathStatus with what the answering node knows.
type StatusResponse struct {
	Node    mesh.NodeID  `json:"node"`
	InForce mesh.Version `json:"in_force"` // on the answering node
	Nodes   []NodeStatus `json:"nodes"`    // in order of id
}

// NodeStatus is one node of the view.
type NodeStatus struct {
	Node        mesh.NodeID      `json:"node"`
	Incarnation mesh.Incarnation `json:"incarnation"`
	Zone        mesh.Zone        `json:"zone"`
	Region      mesh.Region      `json:"region"`
	State       string           `json:"state"` // alive, suspect, dead or left
	InForce     mesh.Version     `json:"in_force"`
	Refused     mesh.Version     `json:"refused,omitempty"` // newest version that the node could not take
	Code        int              `json:"code,omitempty"`    // why
	Reason      string           `json:"reason,omitempty"`
	Upstream    *UpstreamStatus  `json:"upstream,omitempty"` // nil: none announced itself
}

// UpstreamStatus is the upstream beside a node.
type UpstreamStatus struct {
	Service mesh.ServiceID       `json:"service"`
	Version mesh.UpstreamVersion `json:"version"`
	Slots   int                  `json:"slots"`
	State   string               `json:"state"` // starting, ready, draining or gone
}

// StartMoveRequest is the body of POST PathMoves. The answer is a mesh.Move.
type StartMoveRequest struct {
	ID      mesh.MoveID          `json:"id"` // chosen by the sender, so that a lost answer can be looked up
	Service mesh.ServiceID       `json:"service"`
	Old     mesh.UpstreamVersion `json:"old"`
	New     mesh.UpstreamVersion `json:"new"`
	Routes  []mesh.RouteID       `json:"routes,omitempty"` // empty: all of the service
	Target  time.Time            `json:"target"`
}

// MovesResponse answers GET PathMoves.
type MovesResponse struct {
	Moves []mesh.Move `json:"moves"`
}

// TakeBackRequest is the body of POST PathMoves/<id>/take-back. The answer is
// a mesh.Move.
type TakeBackRequest struct {
	Why string `json:"why"`
}

// DrainRequest is the body of PathDrain. The answer is {}.
type DrainRequest struct {
	Node mesh.NodeID `json:"node"`
}

// LogLevelRequest is the body of PUT PathLogLevel. The answer is {}.
type LogLevelRequest struct {
	Level string `json:"level"` // debug, info, warn or error
}

// AuditResponse answers PathAudit, in order of sequence.
type AuditResponse struct {
	Entries []AuditEntry `json:"entries"`
	Gaps    []AuditGap   `json:"gaps,omitempty"`
	More    bool         `json:"more,omitempty"` // entries follow the last one
}

// AuditGap is a run of sequence numbers that the stream lacks.
type AuditGap struct {
	From uint64 `json:"from"` // first missing
	To   uint64 `json:"to"`   // last missing
}

// AuditEntry has the fields of port.AuditEntry, which converts to it. It is
// declared again because port needs the kernel, and clients don't.
type AuditEntry struct {
	Stream   string       `json:"stream"` // config, move/<id> or node/<id>/<incarnation>
	Sequence uint64       `json:"sequence"`
	Time     time.Time    `json:"time"`
	Who      string       `json:"who"`
	Action   string       `json:"action"`
	Subject  string       `json:"subject"`
	From     string       `json:"from,omitempty"`
	To       string       `json:"to,omitempty"`
	Why      string       `json:"why,omitempty"`
	Code     int          `json:"code,omitempty"`
	Version  mesh.Version `json:"version,omitempty"`
	Lost     uint64       `json:"lost,omitempty"` // entries dropped before this one
}
