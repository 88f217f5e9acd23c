// Package once makes the decisions about the claims of once-only calls: which claims
// are written in one transaction, and what an existing row means.
package once

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// State is the state of a claimed key.
type State uint8

// States of a key.
const (
	Claimed State = iota + 1 // an attempt may run; its outcome is unknown
	Ended                    // the call ran and the upstream responded
)

// Row is the stored state of a claimed key.
type Row struct {
	Attempt mesh.AttemptID `json:"attempt"`
	Node    mesh.NodeID    `json:"node"`
	State   State          `json:"state"`
	Status  int            `json:"status,omitempty"` // of the upstream's response, when Ended
	At      time.Time      `json:"at"`
}

// CheckRow returns nil if the existing row is the attempt's own claim, whose write
// succeeded although its response was lost. Otherwise the error is result.AlreadyRan
// or result.KeyMayHaveRun.
func CheckRow(row Row, attempt mesh.AttemptID) error {
	switch {
	case row.Attempt == attempt && row.State == Claimed:
		return nil
	case row.State == Ended:
		return result.AlreadyRan.Errorf("the call ran at %s and was answered with status %d", row.At.UTC().Format(time.RFC3339), row.Status)
	default:
		return result.KeyMayHaveRun.Err()
	}
}

// Batch collects items that are written in one transaction.
type Batch[T any] struct {
	items  []T
	opened time.Time
	max    int
	window time.Duration
}

// NewBatch returns an empty batch that is full at max items and due one window after
// its first item.
func NewBatch[T any](max int, window time.Duration) *Batch[T] {
	return &Batch[T]{max: max, window: window}
}

// Add adds an item and reports whether the batch is full.
func (b *Batch[T]) Add(item T, now time.Time) bool {
	if len(b.items) == 0 {
		b.opened = now
	}
	b.items = append(b.items, item)
	return len(b.items) >= b.max
}

// Due returns the time by which the batch must be written; ok is false when it is
// empty.
func (b *Batch[T]) Due() (at time.Time, ok bool) {
	return b.opened.Add(b.window), len(b.items) > 0
}

// Take returns the items and empties the batch.
func (b *Batch[T]) Take() []T {
	items := b.items
	b.items = nil
	return items
}
