package storereplica

import (
	"context"
	"sync/atomic"
	"time"
)

// signal wakes all that wait for the next event.
type signal struct{ next atomic.Pointer[chan struct{}] }

func newSignal() *signal {
	s := &signal{}
	ch := make(chan struct{})
	s.next.Store(&ch)
	return s
}

// wait returns a channel that is closed at the next event.
func (s *signal) wait() <-chan struct{} { return *s.next.Load() }

func (s *signal) fire() {
	ch := make(chan struct{})
	close(*s.next.Swap(&ch))
}

// source says where the node's rows come from. The sync duty alone decides, once
// the nodes' table has been listed; the watches wait on it and note whether the
// store answers.
type source struct {
	reading  atomic.Bool
	decided  atomic.Bool  // reading was set
	reads    *signal      // reading has changed
	changed  *signal      // the rows have changed, or the store was lost
	operator string       // table whose contact decides whether this node is current
	last     atomic.Int64 // contact with the store or with a node that is in touch
}

func newSource(operator string) *source {
	return &source{reads: newSignal(), changed: newSignal(), operator: operator}
}

// awaitReading waits until the node follows the store itself.
func (s *source) awaitReading(ctx context.Context) bool {
	for {
		next := s.reads.wait()
		if s.reading.Load() {
			return ctx.Err() == nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *source) setReading(reading bool) {
	s.decided.Store(true)
	if s.reading.Swap(reading) == reading {
		return
	}
	s.last.Store(0)
	s.reads.fire()
}

// contact notes that the store has answered, or a node that is in touch with it.
func (s *source) contact() {
	if s.last.Swap(time.Now().UnixNano()) == 0 {
		s.changed.fire()
	}
}

// lost notes that neither answers, and tells the nodes that wait.
func (s *source) lost() {
	if s.last.Swap(0) != 0 {
		s.changed.fire()
	}
}

// current reports whether what this node knows is what the store says.
func (s *source) current(now time.Time) bool {
	last := s.last.Load()
	return last != 0 && now.Sub(time.Unix(0, last)) < currentFor
}
