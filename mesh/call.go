package mesh

import "time"

// AttemptID identifies one try at running a call on one upstream.
type AttemptID string

// Call is the envelope of a caller's request: everything but its body.
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
	// StartBy is the latest time at which starting the call is of use; zero: the
	// queue's own limit applies.
	StartBy time.Time
	// Aim is the time at which the answer loses a part of its worth; zero: none.
	Aim time.Time
	// Priority is the rank of the call among others; 0 is the most important. It
	// counts only where Ranked, else the class decides.
	Priority int
	Ranked   bool
	// Body is the length of the request's body in bytes, as far as it is known.
	Body int64
}

// Idempotent reports whether running the call twice does no harm: safe
// methods and PUT and DELETE by RFC 9110 section 9.2.2, except in class once.
func (c *Call) Idempotent() bool {
	if c.Class == ClassOnce {
		return false
	}
	switch c.Method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}

// Load is what an owner node reports with each answer.
type Load struct {
	InFlight int
	Queued   int
	Limit    int // current limit of calls in flight, at most the slots
}

// Target is the endpoint chosen for one attempt.
type Target struct {
	Node        NodeID
	Incarnation Incarnation
	PeerAddress string
	Zone        Zone
	Service     ServiceID
	Version     UpstreamVersion
	// Spill is set for a target outside the zone of the entry node although the
	// service has ready upstreams there.
	Spill bool
}

// Outcome is what an entry node learned from one attempt.
type Outcome struct {
	Target   Target
	Route    RouteID
	Caller   CallerID
	Class    Class
	Aim      time.Duration // of the route: an answer has its full worth within it; 0: none
	Status   int           // HTTP status, 0 when no answer came
	Code     int           // result code number, 0 when the upstream answered
	Failed   bool          // the attempt failed for a reason on the upstream's side
	Shed     bool          // the upstream or its queue refused under load
	Crashed  bool          // the upstream process ended during the attempt
	Duration time.Duration // until the first byte of the answer, or until the attempt was given up
	Load     *Load         // nil when none was reported
}
