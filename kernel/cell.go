package kernel

import "sync/atomic"

// Cell publishes an immutable value from the one duty that owns it to any number
// of concurrent readers. A value must not be modified after Store.
type Cell[T any] struct{ value atomic.Pointer[T] }

// Load returns the current value, or nil before the first Store.
func (c *Cell[T]) Load() *T { return c.value.Load() }

// Store replaces the current value. Only the owning duty calls it.
func (c *Cell[T]) Store(value *T) { c.value.Store(value) }
