package standin

import "time"

// Call is a line of the journal of test/upstream.
type Call struct {
	Event     string    `json:"event"` // began, ended or shed
	Process   string    `json:"process"`
	Call      int       `json:"call"` // sequence number in the process, 0 when shed
	Attempt   string    `json:"attempt"`
	Key       string    `json:"key"` // Idempotency-Key
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Began     time.Time `json:"began"`
	Ended     time.Time `json:"ended"`
	Cancelled bool      `json:"cancelled"` // the sender disconnected before the end
	Status    int       `json:"status"`
	Bytes     int       `json:"bytes"` // size of the request body
}

// Write is a line of the journal of test/platform: a write that took effect or whose
// checks failed. Rows are named table/key.
type Write struct {
	At        time.Time `json:"at"`
	Puts      []string  `json:"puts,omitempty"`
	Deletes   []string  `json:"deletes,omitempty"`
	Object    string    `json:"object,omitempty"`
	Revision  uint64    `json:"revision,omitempty"`
	Conflicts []string  `json:"conflicts,omitempty"`
	Lost      bool      `json:"lost,omitempty"` // applied without a response
}
