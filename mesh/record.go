package mesh

import "time"

// Kind names a kind of record.
type Kind string

// Kinds of records.
const (
	KindService Kind = "service"
	KindRoute   Kind = "route"
	KindCaller  Kind = "caller"
)

// RecordKey identifies a record in a configuration version.
type RecordKey struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	ID   string `json:"id" cbor:"2,keyasint"`
}

// Record is one declared item. Exactly one of the pointer fields is set,
// according to Kind and Schema.
type Record struct {
	RecordKey
	Schema  int        `json:"schema" cbor:"3,keyasint"`
	Service *ServiceV1 `json:"service,omitempty" cbor:"4,keyasint,omitempty"`
	RouteV1 *RouteV1   `json:"route_v1,omitempty" cbor:"5,keyasint,omitempty"`
	RouteV2 *RouteV2   `json:"route_v2,omitempty" cbor:"6,keyasint,omitempty"`
	Caller  *CallerV1  `json:"caller,omitempty" cbor:"7,keyasint,omitempty"`
}

// ServiceV1 declares a service.
type ServiceV1 struct {
	Slots      int    `json:"slots" cbor:"1,keyasint"` // concurrent calls of one upstream, 1 to 4096
	Queue      int    `json:"queue" cbor:"2,keyasint"` // calls that may wait for a slot, 0 to 1024
	Department string `json:"department,omitempty" cbor:"3,keyasint,omitempty"`
}

// RouteV1 is a route in the old schema with departments.
type RouteV1 struct {
	Department string `json:"department" cbor:"1,keyasint"`
	Path       string `json:"path" cbor:"2,keyasint"`
	Upstream   string `json:"upstream" cbor:"3,keyasint"` // a service id
	TimeoutMS  int64  `json:"timeout_ms" cbor:"4,keyasint"`
	KindOfCall string `json:"kind_of_call" cbor:"5,keyasint"` // filing, file or lookup
}

// RouteV2 is a route in the current schema.
type RouteV2 struct {
	PathPrefix string        `json:"path_prefix" cbor:"1,keyasint"`
	Methods    []string      `json:"methods,omitempty" cbor:"2,keyasint,omitempty"` // empty: all
	Service    ServiceID     `json:"service" cbor:"3,keyasint"`
	Class      Class         `json:"class" cbor:"4,keyasint"`
	Timeout    time.Duration `json:"timeout" cbor:"5,keyasint"` // 10 ms to 1 h
	Department string        `json:"department,omitempty" cbor:"6,keyasint,omitempty"`
}

// CallerV1 sets the limits of one calling service.
type CallerV1 struct {
	InFlight     int `json:"in_flight" cbor:"1,keyasint"`     // concurrent calls on one node, 1 to 10000
	RetryPercent int `json:"retry_percent" cbor:"2,keyasint"` // 0 to 10, default 10
}

// Class states how a call must be treated.
type Class string

// Classes of calls.
const (
	ClassOnce   Class = "once"   // runs at most once
	ClassUpload Class = "upload" // long-running, tolerates slow senders
	ClassRead   Class = "read"   // may wait, is shed first
	// ClassDownload is a read with a long response.
	ClassDownload Class = "download"
)

// Idempotent reports whether calls of the class may run more than once. The class of
// a route decides alone: the method of a request, which its client chooses, says
// nothing about what the operator allows.
func (c Class) Idempotent() bool { return c == ClassRead || c == ClassDownload }
