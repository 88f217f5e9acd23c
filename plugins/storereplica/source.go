package storereplica

import (
	"context"
	"sync/atomic"
	"time"
)

// signal is a broadcast to all goroutines that wait for the next event.
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

// source selects the source of the node's rows: the store or other nodes. Only the sync
// duty decides, after the nodes' table has been listed. The watches wait for the
// decision and record the responses and the loss of the store.
type source struct {
	readStore        atomic.Bool
	decided          atomic.Bool // the sync duty has set readStore
	readStoreChanged *signal     // readStore has changed
	changed          *signal     // the rows have changed, or the store was lost or regained
	operator         string      // table whose responses decide whether this node is current
	// lastContact is the time of the last response of the store or of a connected node;
	// nil: lost. It keeps the monotonic reading, since the time of day may jump.
	lastContact atomic.Pointer[time.Time]
}

func newSource(operator string) *source {
	return &source{readStoreChanged: newSignal(), changed: newSignal(), operator: operator}
}

// awaitReadStore waits until the node reads the store itself. It returns false when
// ctx ends.
func (s *source) awaitReadStore(ctx context.Context) bool {
	for {
		next := s.readStoreChanged.wait()
		if s.readStore.Load() {
			return ctx.Err() == nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *source) setReadStore(readStore bool) {
	s.decided.Store(true)
	if s.readStore.Swap(readStore) == readStore {
		return
	}
	if readStore {
		s.lastContact.Store(nil)
	}
	s.readStoreChanged.fire()
}

// recordContact records a response of the store or of a node connected to it. If the
// store was lost before, it wakes the waiting requests.
func (s *source) recordContact() {
	now := time.Now()
	if s.lastContact.Swap(&now) == nil {
		s.changed.fire()
	}
}

// recordLoss records that the store is lost and wakes the waiting requests.
func (s *source) recordLoss() {
	if s.lastContact.Swap(nil) != nil {
		s.changed.fire()
	}
}

// current reports whether this node's rows are those of the store.
func (s *source) current(now time.Time) bool {
	lastContact := s.lastContact.Load()
	return lastContact != nil && now.Sub(*lastContact) < contactTTL
}
