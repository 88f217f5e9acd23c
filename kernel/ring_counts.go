package kernel

// Refused returns the number of items that Send has refused.
func (r *Ring[T]) Refused() uint64 { return uint64(r.refused.Count()) }
