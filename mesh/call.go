package mesh

import "time"

// AttemptID identifies one attempt to run a call on one upstream.
type AttemptID string

// Call holds everything about a caller's request except its body.
type Call struct {
	Method   string
	Path     string
	Caller   CallerID
	Key      string // Idempotency-Key, empty when absent
	Class    Class
	Service  ServiceID
	Route    RouteID
	Deadline time.Time
	// Fingerprint identifies equal requests for quarantine.
	Fingerprint uint64
	// StartBy is the latest useful start time of the call; zero: the queue's own
	// limit applies.
	StartBy time.Time
	// SoftDeadline is the time until which a response has its full value; zero: none.
	SoftDeadline time.Time
	// Priority ranks the call; 0 is the highest. It applies only if HasPriority is set,
	// otherwise the class decides.
	Priority    int
	HasPriority bool
	// Account is the client account of the request; empty: none.
	Account AccountName
	// Regions bound the upstreams that may get the call.
	Regions AllowedRegions
	// BodyLength is the length of the request's body in bytes, if known.
	BodyLength int64
}

// PriorityLevels is the number of distinct priorities. Lower ones share the last
// level.
const PriorityLevels = 8

// Idempotent reports whether the call may run more than once.
func (c *Call) Idempotent() bool { return c.Class.Idempotent() }

// HasShortTarget reports whether ShortTarget holds for the call.
func (c *Call) HasShortTarget() bool { return ShortTarget(c.StartBy, c.SoftDeadline) }

// ShortTarget reports whether a response after the soft deadline is useful too: the call
// may start until then. Servers make such calls for their own requests.
func ShortTarget(startBy, softDeadline time.Time) bool {
	return !softDeadline.IsZero() && !startBy.IsZero() && !startBy.Before(softDeadline)
}

// Load is the upstream load that an owner node reports with each response.
type Load struct {
	InFlight int
	Queued   int
	Limit    int // current limit of calls in flight, at most the slots
	// Slowness is the time that work takes on the upstream's instance now, in percent
	// of the usual time; 0: unknown.
	Slowness int
}

// Target is the endpoint chosen for one attempt.
type Target struct {
	Node        NodeID
	Incarnation Incarnation
	PeerAddress string
	Zone        Zone
	Service     ServiceID
	Version     UpstreamVersion
	// Spillover is set when the target is outside the entry node's zone although the
	// service has ready upstreams inside it.
	Spillover bool
}

// Outcome is the result of one attempt as the entry node observed it.
type Outcome struct {
	Target        Target
	Route         RouteID
	Caller        CallerID
	Class         Class
	LatencyTarget time.Duration // of the route; 0: none
	Status        int           // HTTP status, 0 without a response
	Code          int           // result code number, 0 when the upstream responded
	Failed        bool          // the upstream caused the failure of the attempt
	Shed          bool          // the upstream or its queue refused under load
	Crashed       bool          // the upstream process exited during the attempt
	Duration      time.Duration // until the first byte of the response or until the attempt was abandoned
	// ServerTime is the part of Duration after the wait for a slot; 0: unknown.
	ServerTime time.Duration
	Load       *Load // nil when none was reported
}
