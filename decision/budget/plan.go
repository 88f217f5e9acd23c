// Package budget divides the memory and the file descriptors of a process among its
// listeners, and decides which connection is closed first when a share is used up. It
// handles bursts of clients that connect, send or read slowly, or stop half-way, and
// must keep room for the callers that do not.
package budget

import (
	"bytes"
	"math"
)

// Listener is one of the listeners of a process. Each has a share of its own, so that
// clients take nothing from connections of nodes and of the local upstream.
type Listener int

// Listeners.
const (
	Outbound Listener = iota
	Inbound
	Ready
	Control
	Listeners // their number
)

// String returns the name in metrics and log lines.
func (l Listener) String() string {
	return [Listeners]string{"outbound", "inbound", "ready", "control"}[l]
}

// Limits are those of the process; 0: unknown.
type Limits struct {
	MemoryBytes     int64
	FileDescriptors int
}

// Share is what one listener may use.
type Share struct {
	Connections int
	Bytes       int64 // held by heads, bodies and responses
	// Reserved is the part of Bytes that only connections with at most SmallBytes use.
	Reserved int64
}

// Plan is the division of the limits.
type Plan struct {
	// RuntimeBytes is the soft memory limit of the Go runtime; 0: none.
	RuntimeBytes int64
	Shares       [Listeners]Share
}

const (
	// SmallBytes is far above what an ordinary request and its response hold.
	SmallBytes = 64 << 10
	// baseBytes is the memory of a process without clients in a mesh of 1,200 nodes. A
	// smaller process gets half of its memory for it.
	baseBytes = 48 << 20
	// unmanagedBytes is kept for what the runtime does not count, mainly the program
	// itself, and for what is allocated while it collects garbage, or an eighth of the
	// limit if that is more.
	unmanagedBytes = 24 << 20
	// connectionBytes is the memory of a connection that holds nothing: buffers, the
	// stacks of its goroutines, and entries in tables.
	connectionBytes = 16 << 10

	// unlimitedOutbound is the number of clients' connections if the descriptors are not
	// limited.
	unlimitedOutbound = 2000
	reservedFraction  = 8 // of a share's bytes
)

// descriptorPercent is the part of the descriptors that each listener may use. The rest
// is for connections to nodes, the upstream and the store.
var descriptorPercent = [Listeners]int{Outbound: 40, Inbound: 30, Ready: 4, Control: 4}

// bytesPercent divides the bytes for heads, bodies and responses.
var bytesPercent = [Listeners]int64{Outbound: 62, Inbound: 26, Ready: 6, Control: 6}

// NewPlan divides the limits. What is unknown is not limited.
func NewPlan(l Limits) Plan {
	var p Plan
	available := int64(math.MaxInt64)
	if l.MemoryBytes > 0 {
		available = l.MemoryBytes - min(baseBytes, l.MemoryBytes/2)
		p.RuntimeBytes = l.MemoryBytes - min(max(unmanagedBytes, l.MemoryBytes/8), l.MemoryBytes/2)
	}
	for i := range p.Shares {
		s := &p.Shares[i]
		s.Connections, s.Bytes = math.MaxInt, math.MaxInt64
		if Listener(i) == Outbound {
			s.Connections = unlimitedOutbound
		}
		if l.FileDescriptors > 0 {
			s.Connections = max(1, l.FileDescriptors*descriptorPercent[i]/100)
		}
		if l.MemoryBytes > 0 {
			// Half of the available memory is for what is held. Connections get a quarter; the
			// rest is for garbage that is not collected yet.
			s.Bytes = available / 2 * bytesPercent[i] / 100
			if Listener(i) != Inbound { // a node must accept all others, whatever its memory
				s.Connections = max(1, min(s.Connections, int(available/4*bytesPercent[i]/100/connectionBytes)))
			}
			s.Reserved = s.Bytes / reservedFraction
		}
	}
	return p
}

// Fits reports whether a connection that holds some bytes may hold n more, while all
// connections of the listener hold used together.
func (s Share) Fits(used, held, n int64) bool {
	limit := s.Bytes
	if held+n > SmallBytes {
		limit -= s.Reserved
	}
	return n <= limit-used
}

// HeadCost estimates the memory of a parsed part of a head: a field takes an entry of a
// map, a slice and two strings, however short it is.
func HeadCost(part []byte) int64 {
	return 2*int64(len(part)) + lineCost*int64(bytes.Count(part, lineEnd))
}

// lineCost is the memory of a header field without its text, in bytes.
const lineCost = 200

var lineEnd = []byte("\n")
