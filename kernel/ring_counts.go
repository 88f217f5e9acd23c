package kernel

// Refused returns how many items Send has refused so far.
func (r *Ring[T]) Refused() uint64 { return uint64(r.refused.Count()) }
