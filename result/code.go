// Package result defines the numbered result codes that callers, operators and
// other nodes see, and the error type that carries one.
package result

// Ran states whether the call that ended with a code was executed.
type Ran uint8

// Values of Ran.
const (
	NotACall   Ran = iota // the code is not the result of a call
	NotRun                // nothing was sent to an upstream, the upstream refused the call, or the attempt is fenced
	DidRun                // the upstream executed the call
	MayHaveRun            // unknown: the caller must allow for both
)

// String returns the wording used in documentation and response bodies.
func (r Ran) String() string {
	return [...]string{"-", "not run", "ran", "may have run"}[r]
}

// Retry states whether repeating the request can succeed.
type Retry uint8

// Advice on repeating a request.
const (
	RetryNever        Retry = iota // a repeated request gives the same result
	RetrySafe                      // repeating is safe for every class of call
	RetryIfIdempotent              // repeating is safe only for idempotent calls
	RetryAfterChange               // repeating can succeed after the named input was corrected
)

// String returns the wording used in documentation and response bodies.
func (r Retry) String() string {
	return [...]string{"no", "yes", "only if idempotent", "after correcting the request"}[r]
}

// Code is one row of the result code table.
type Code struct {
	Number int    // stable; never reused
	Name   string // stable identifier in snake case
	Ran    Ran
	Retry  Retry
	Status int // HTTP status of a response that carries the code
	Text   string
}

// Blocks: 1xxx calls, 2xxx configuration, 3xxx moves, 4xxx access and limits
// of a listener, 5xxx platform, 6xxx settings, 9xxx internal.
var (
	OK = define(0, "ok", DidRun, RetryNever, 200, "The request succeeded.")

	NoRoute          = define(1001, "no_route", NotRun, RetryAfterChange, 404, "No route of the configuration in force matches the request.")
	NoEndpoint       = define(1002, "no_endpoint", NotRun, RetrySafe, 503, "No ready upstream of the service is known.")
	NoConfiguration  = define(1003, "no_configuration", NotRun, RetrySafe, 503, "The node has no confirmed configuration yet.")
	QueueFull        = define(1004, "queue_full", NotRun, RetrySafe, 503, "The queue in front of the upstream is full.")
	QueueTimeout     = define(1005, "queue_timeout", NotRun, RetrySafe, 503, "The call waited for a slot until its queue deadline.")
	DeadlineBefore   = define(1006, "deadline_before_start", NotRun, RetrySafe, 504, "The deadline passed before the call was started.")
	DeadlineDuring   = define(1007, "deadline_during_call", MayHaveRun, RetryIfIdempotent, 504, "The deadline passed while the call was in progress.")
	ConnectionLost   = define(1008, "connection_lost", MayHaveRun, RetryIfIdempotent, 502, "The connection was lost after bytes had been sent.")
	ConnectFailed    = define(1009, "connect_failed", NotRun, RetrySafe, 502, "No connection could be made, nothing was sent.")
	Draining         = define(1010, "draining", NotRun, RetrySafe, 503, "The upstream is leaving and takes no new work.")
	Shed             = define(1011, "shed", NotRun, RetrySafe, 503, "The upstream refused the call under load without running it.")
	CallerLimit      = define(1012, "caller_limit", NotRun, RetrySafe, 429, "The caller has reached its limit of calls in flight.")
	ClassLimit       = define(1013, "class_limit", NotRun, RetrySafe, 503, "The class of the call has reached its share of slots.")
	AlreadyRan       = define(1014, "already_ran", DidRun, RetryNever, 409, "A call with this idempotency key has run; it was not run again.")
	KeyMayHaveRun    = define(1015, "key_may_have_run", MayHaveRun, RetryNever, 409, "A call with this idempotency key was started and its outcome is not known; it was not run again.")
	KeyStoreDown     = define(1016, "key_store_down", NotRun, RetrySafe, 503, "Once-only calls can't be claimed because the platform does not answer.")
	Quarantined      = define(1018, "quarantined", NotRun, RetryNever, 422, "The request crashed upstreams and is quarantined.")
	RetryBudgetSpent = define(1019, "retry_budget_spent", NotRun, RetrySafe, 503, "The retry budget of the caller is spent.")
	Fenced           = define(1020, "fenced", NotRun, RetrySafe, 503, "The attempt was fenced before it began.")
	WrongIncarnation = define(1021, "wrong_incarnation", NotRun, RetrySafe, 503, "The call was addressed to an earlier incarnation of the node.")
	CallerGone       = define(1022, "caller_gone", NotRun, RetrySafe, 499, "The caller left before the call was started.")
	ShuttingDown     = define(1023, "shutting_down", MayHaveRun, RetryIfIdempotent, 503, "The node was stopped before the call ended.")
	UpstreamLost     = define(1024, "upstream_lost", MayHaveRun, RetryIfIdempotent, 502, "The connection to the upstream ended during the call.")
	BodyTooLarge     = define(1025, "body_too_large", NotRun, RetryAfterChange, 413, "The request exceeds a size limit.")
	AttemptDuplicate = define(1026, "attempt_duplicate", MayHaveRun, RetryNever, 409, "An attempt with this id has already been admitted.")
	Evacuated        = define(1027, "evacuated", NotRun, RetrySafe, 503, "The availability zone of the upstream is being evacuated.")
	RouteUnusable    = define(1028, "route_unusable", NotRun, RetryAfterChange, 503, "The configuration in force holds a value for the route that this node does not know.")
	AccountLimit     = define(1029, "account_limit", NotRun, RetrySafe, 429, "The client account has reached its limit over all nodes.")
	BodyOverLimit    = define(1030, "body_over_limit", MayHaveRun, RetryNever, 413, "The body exceeded its limit while it was sent on.")

	InvalidRecord    = define(2001, "invalid_record", NotACall, RetryAfterChange, 422, "A record is invalid; nothing was written.")
	DanglingRef      = define(2002, "dangling_reference", NotACall, RetryAfterChange, 422, "A record refers to a record that does not exist.")
	Conflict         = define(2003, "conflict", NotACall, RetryAfterChange, 409, "The configuration changed since the base version and the changes overlap.")
	UnknownKind      = define(2004, "unknown_kind", NotACall, RetryAfterChange, 422, "The kind of a record is unknown.")
	UnknownSchema    = define(2005, "unknown_schema", NotACall, RetryAfterChange, 422, "The schema of a record is unknown.")
	DuplicateID      = define(2006, "duplicate_id", NotACall, RetryAfterChange, 422, "Two records of one kind share an id.")
	OverlappingRoute = define(2007, "overlapping_route", NotACall, RetryAfterChange, 422, "Two routes match the same requests.")
	TooLarge         = define(2008, "configuration_too_large", NotACall, RetryAfterChange, 413, "The configuration exceeds a size limit.")
	StaleObject      = define(2009, "stale_object", NotACall, RetrySafe, 503, "The object store's answer does not match the head.")
	StaleVersion     = define(2010, "stale_version", NotACall, RetryNever, 409, "The version is not newer than the version in force.")
	NotConvertible   = define(2011, "not_convertible", NotACall, RetryAfterChange, 422, "The record can't be expressed in the requested schema without loss.")
	UnknownVersion   = define(2012, "unknown_version", NotACall, RetryAfterChange, 404, "The configuration version does not exist.")
	DigestMismatch   = define(2013, "digest_mismatch", NotACall, RetrySafe, 422, "The records received are not those of the version; nothing was applied.")
	WrongBase        = define(2014, "wrong_base", NotACall, RetrySafe, 409, "The delta was made against another version than the one held; nothing was applied.")

	MoveUnknownVersion = define(3001, "move_unknown_version", NotACall, RetryAfterChange, 422, "No upstream has announced a version that the move names.")
	MovePastTarget     = define(3002, "move_past_target", NotACall, RetryAfterChange, 422, "The target time of the move is in the past or too near.")
	MoveInProgress     = define(3003, "move_in_progress", NotACall, RetryAfterChange, 409, "The service already has a move in progress.")
	MoveNotFound       = define(3004, "move_not_found", NotACall, RetryAfterChange, 404, "No move has this id.")
	MoveEnded          = define(3005, "move_ended", NotACall, RetryNever, 409, "The move has already ended.")
	LeaseLost          = define(3006, "lease_lost", NotACall, RetryNever, 409, "The step carries an epoch older than the row's.")
	MoveInvalid        = define(3007, "move_invalid", NotACall, RetryAfterChange, 422, "The move is invalid; nothing was written.")

	Unauthenticated = define(4001, "unauthenticated", NotRun, RetryAfterChange, 401, "The request carries no valid credentials.")
	Forbidden       = define(4002, "forbidden", NotACall, RetryAfterChange, 403, "The role of the token does not allow the request.")
	TooManyLinks    = define(4003, "too_many_links", NotACall, RetrySafe, 503, "The node accepts no further links now.")
	MessageTooLarge = define(4004, "message_too_large", NotACall, RetryNever, 413, "A message exceeds the size limit.")
	BadMessage      = define(4005, "bad_message", NotACall, RetryNever, 400, "A message can't be decoded.")
	BadRequest      = define(4006, "bad_request", NotRun, RetryAfterChange, 400, "A request is malformed.")
	Overloaded      = define(4007, "overloaded", NotRun, RetrySafe, 503, "The memory budget of the listener is used up; nothing was run.")

	PlatformDown    = define(5001, "platform_down", NotACall, RetrySafe, 503, "The platform does not answer; nothing was written.")
	PlatformUnknown = define(5002, "platform_unknown", NotACall, RetrySafe, 503, "The platform's answer was lost; the write may have taken effect.")
	PlatformLimit   = define(5003, "platform_limit", NotACall, RetrySafe, 429, "The platform refused the request because of its rate limit.")
	RowConflict     = define(5004, "row_conflict", NotACall, RetryAfterChange, 409, "A row changed since it was read.")
	HistoryGone     = define(5006, "history_gone", NotACall, RetryAfterChange, 410, "The platform no longer has the changes since the revision asked for.")
	ObjectMissing   = define(5005, "object_missing", NotACall, RetrySafe, 404, "The object store does not have the object.")

	SettingUnknown = define(6001, "setting_unknown", NotACall, RetryAfterChange, 400, "A settings file has an unknown key.")
	SettingInvalid = define(6002, "setting_invalid", NotACall, RetryAfterChange, 400, "A settings file has an invalid value.")
	SettingSyntax  = define(6003, "setting_syntax", NotACall, RetryAfterChange, 400, "A settings file is not valid TOML.")

	Internal = define(9001, "internal", MayHaveRun, RetryNever, 500, "An internal error occurred.")
	RingFull = define(9002, "ring_full", NotRun, RetrySafe, 503, "An internal queue is full.")
	Stopped  = define(9003, "stopped", NotRun, RetrySafe, 503, "The process is stopping.")
)

var table []*Code

func define(number int, name string, ran Ran, retry Retry, status int, text string) *Code {
	c := &Code{Number: number, Name: name, Ran: ran, Retry: retry, Status: status, Text: text}
	table = append(table, c)
	return c
}

// All returns the table in order of definition.
func All() []*Code { return table }

// ByNumber returns the code with the given number, or Internal when there is none.
func ByNumber(number int) *Code {
	for _, c := range table {
		if c.Number == number {
			return c
		}
	}
	return Internal
}
