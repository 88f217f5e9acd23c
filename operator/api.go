// Package operator defines the requests and responses of a node's operators' API,
// which the server side uses too, and a client for front ends.
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
	PathApply    = "/v1/apply"     // POST, records in TOML; ?publication=&base=&why=&remove=
	PathValidate = "/v1/validate"  // POST, records in TOML; ?base=&remove=
	PathRecords  = "/v1/records"   // GET, returns TOML and HeaderVersion; ?version=
	PathDiff     = "/v1/diff"      // GET; ?from=&to=, 0 for the version in force
	PathStatus   = "/v1/status"    // GET
	PathMoves    = "/v1/moves"     // POST, GET
	PathDrain    = "/v1/drain"     // POST
	PathAudit    = "/v1/audit"     // GET; ?stream=&after=&limit=
	PathLogLevel = "/v1/log-level" // PUT
)

// HeaderVersion holds the configuration version of the records in a response.
const HeaderVersion = "Teasel-Version"

// HeaderOperator names the sender of a request for the audit trail. The holder of the
// token chooses it; it is not verified.
const HeaderOperator = "X-Operator"

// ContentTOML is the content type of records.
const ContentTOML = "application/toml"

// ErrorResponse is the body of each response with a status of 400 or above.
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

// Err returns the error that the body describes. The message contains the number and
// name of a code that is unknown here because the node is newer.
func (r ErrorResponse) Err() *result.Error {
	code := result.ByNumber(r.Code)
	message := r.Message
	if code.Number != r.Code {
		message = fmt.Sprintf("%s (%d): %s", r.Name, r.Code, r.Message)
	}
	return &result.Error{Code: code, Message: message, Details: r.Details}
}

// ApplyRequest is sent as the query and body of PathApply and PathValidate.
type ApplyRequest struct {
	// Publication identifies the request. If it is repeated with the same id after a
	// lost response, it is applied once.
	Publication string
	Base        mesh.Version // version that the change is based on; 0: the newest
	Why         string       // for the audit trail
	Remove      []mesh.RecordKey
	Records     []byte // TOML
}

// ApplyResponse is the response of PathApply.
type ApplyResponse struct {
	Version mesh.Version `json:"version"`
	Merged  bool         `json:"merged,omitempty"` // with other changes since the base
}

// ValidateResponse is the response of PathValidate for valid records.
type ValidateResponse struct {
	Version mesh.Version `json:"version"` // version that the records were merged with
}

// ParseRecordKey parses kind/id, the format of the query parameter remove.
func ParseRecordKey(text string) (mesh.RecordKey, error) {
	kind, id, ok := strings.Cut(text, "/")
	if !ok || kind == "" || id == "" {
		return mesh.RecordKey{}, result.BadRequest.Errorf("%q is not a record; allowed is kind/id", text)
	}
	return mesh.RecordKey{Kind: mesh.Kind(kind), ID: id}, nil
}

// Records is the response of PathRecords.
type Records struct {
	Version mesh.Version `json:"version"`
	TOML    string       `json:"toml"`
}

// DiffResponse is the response of PathDiff.
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

// FieldChange is a field with its values in TOML; empty where the field is absent.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// StatusResponse is the response of PathStatus: the view of the node that sends it.
type StatusResponse struct {
	Node    mesh.NodeID  `json:"node"`
	InForce mesh.Version `json:"in_force"` // on the node that responds
	Nodes   []NodeStatus `json:"nodes"`    // sorted by id
}

// NodeStatus is the state of one node in the view.
type NodeStatus struct {
	Node        mesh.NodeID      `json:"node"`
	Incarnation mesh.Incarnation `json:"incarnation"`
	Zone        mesh.Zone        `json:"zone"`
	Region      mesh.Region      `json:"region"`
	State       string           `json:"state"` // alive, suspect, dead or left
	InForce     mesh.Version     `json:"in_force"`
	Refused     mesh.Version     `json:"refused,omitempty"` // newest version that the node refused
	Code        int              `json:"code,omitempty"`    // result code of the refusal
	Reason      string           `json:"reason,omitempty"`
	Upstream    *UpstreamStatus  `json:"upstream,omitempty"` // nil: none has announced itself
}

// UpstreamStatus is the upstream beside a node.
type UpstreamStatus struct {
	Service mesh.ServiceID       `json:"service"`
	Version mesh.UpstreamVersion `json:"version"`
	Slots   int                  `json:"slots"`
	State   string               `json:"state"` // starting, ready, draining or gone
}

// StartMoveRequest is the body of POST PathMoves. The response is a mesh.Move.
type StartMoveRequest struct {
	ID      mesh.MoveID          `json:"id"` // chosen by the client, which looks up the move after a lost response
	Service mesh.ServiceID       `json:"service"`
	Old     mesh.UpstreamVersion `json:"old"`
	New     mesh.UpstreamVersion `json:"new"`
	Routes  []mesh.RouteID       `json:"routes,omitempty"` // empty: all routes of the service
	Target  time.Time            `json:"target"`
}

// MovesResponse is the response of GET PathMoves.
type MovesResponse struct {
	Moves []mesh.Move `json:"moves"`
}

// TakeBackRequest is the body of POST PathMoves/<id>/take-back. The response is a
// mesh.Move.
type TakeBackRequest struct {
	Why string `json:"why"`
}

// DrainRequest is the body of PathDrain. The response is {}.
type DrainRequest struct {
	Node mesh.NodeID `json:"node"`
}

// LogLevelRequest is the body of PUT PathLogLevel. The response is {}.
type LogLevelRequest struct {
	Level string `json:"level"` // debug, info, warn or error
}

// AuditResponse is the response of PathAudit, sorted by sequence number.
type AuditResponse struct {
	Entries []AuditEntry `json:"entries"`
	Gaps    []AuditGap   `json:"gaps,omitempty"`
	More    bool         `json:"more,omitempty"` // more entries exist after the last one
}

// AuditGap is a range of sequence numbers missing from the stream.
type AuditGap struct {
	From uint64 `json:"from"` // first missing
	To   uint64 `json:"to"`   // last missing
}

// AuditEntry has the fields of port.AuditEntry, which converts to it. The duplicate
// keeps clients independent of the kernel, which port imports.
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
