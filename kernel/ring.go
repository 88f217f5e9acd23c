package kernel

import (
	"context"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"teaselring/result"
)

// FullPolicy selects what Send does when a ring is full.
type FullPolicy uint8

// Policies for a full ring.
const (
	// WaitUntilDeadline blocks until the ring has room or the context ends.
	WaitUntilDeadline FullPolicy = iota
	// Refuse returns result.RingFull at once.
	Refuse
	// ReplaceOldest drops the oldest item. Use it only for items that newer ones
	// supersede.
	ReplaceOldest
)

// String returns the policy's name as `teasel-node plugins` prints it.
func (p FullPolicy) String() string {
	return [...]string{"wait until deadline", "refuse", "replace oldest"}[p]
}

// RingInfo describes a ring for operators and metrics.
type RingInfo struct {
	Name     string
	Capacity int // items
	Full     FullPolicy
}

// Ring is a bounded queue of items of one type between duties. Any number of
// goroutines may send; one duty receives.
type Ring[T any] struct {
	info      RingInfo
	items     chan T
	highWater atomic.Int64
	refused   metrics.Counter
	replaced  metrics.Counter
}

// NewRing returns an empty ring. Capacity is in items and at least 1.
func NewRing[T any](name string, capacity int, full FullPolicy) *Ring[T] {
	return &Ring[T]{
		info:     RingInfo{Name: name, Capacity: capacity, Full: full},
		items:    make(chan T, capacity),
		refused:  metrics.NewCounter(),
		replaced: metrics.NewCounter(),
	}
}

// Info returns the ring's name, capacity and policy.
func (r *Ring[T]) Info() RingInfo { return r.info }

// C returns the receiving side, for the select loop of the owning duty.
func (r *Ring[T]) C() <-chan T { return r.items }

// Each calls f for each item until the context ends. It is the loop of a duty
// that receives from one ring only.
func (r *Ring[T]) Each(ctx context.Context, f func(T)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case item := <-r.items:
			f(item)
		}
	}
}

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Send adds an item according to the ring's policy. It returns
// result.RingFull when the item was refused or the context ended first.
func (r *Ring[T]) Send(ctx context.Context, item T) error {
	if r.trySend(item) {
		return nil
	}
	switch r.info.Full {
	case WaitUntilDeadline:
		return r.waitSend(ctx, item)
	case ReplaceOldest:
		r.replaceSend(item)
		return nil
	default:
		return r.refuse()
	}
}

func (r *Ring[T]) trySend(item T) bool {
	select {
	case r.items <- item:
		r.updateHighWater()
		return true
	default:
		return false
	}
}

func (r *Ring[T]) waitSend(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		r.updateHighWater()
		return nil
	case <-ctx.Done():
		return r.refuse()
	}
}

// replaceSend terminates because each iteration either sends or removes an item,
// and other senders can only fill as many places as were freed.
func (r *Ring[T]) replaceSend(item T) {
	for !r.trySend(item) {
		select {
		case <-r.items:
			r.replaced.Inc(1)
		default:
		}
	}
}

func (r *Ring[T]) refuse() error {
	r.refused.Inc(1)
	return result.RingFull.Errorf("ring %q is full (%d items)", r.info.Name, r.info.Capacity)
}

func (r *Ring[T]) updateHighWater() {
	depth := int64(len(r.items))
	for {
		highest := r.highWater.Load()
		if depth <= highest || r.highWater.CompareAndSwap(highest, depth) {
			return
		}
	}
}

// register adds the ring's depth, its high-water mark and the numbers of refused
// and replaced items to a registry.
func (r *Ring[T]) register(reg metrics.Registry) {
	prefix := "ring." + r.info.Name + "."
	gauge := func(name string, value func() int64) {
		_ = reg.Register(prefix+name, metrics.NewFunctionalGauge(value))
	}
	gauge("depth", func() int64 { return int64(len(r.items)) })
	gauge("high_water", r.highWater.Load)
	_ = reg.Register(prefix+"refused", r.refused)
	_ = reg.Register(prefix+"replaced", r.replaced)
}

// anyRing lets the kernel list rings of different item types.
type anyRing interface {
	Info() RingInfo
	register(metrics.Registry)
}
