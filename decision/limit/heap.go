package limit

import "container/heap"

// indexedHeap is a heap whose items know their position, so that any of them can be
// removed or moved in O(log n).
type indexedHeap[T any] struct {
	items    []T
	before   func(a, b T) bool
	position func(T) *int // of an item; 0-based
}

func (h *indexedHeap[T]) add(item T)    { heap.Push((*heapItems[T])(h), item) }
func (h *indexedHeap[T]) remove(item T) { heap.Remove((*heapItems[T])(h), *h.position(item)) }
func (h *indexedHeap[T]) fix(item T)    { heap.Fix((*heapItems[T])(h), *h.position(item)) }

// heapItems implements heap.Interface.
type heapItems[T any] indexedHeap[T]

func (h *heapItems[T]) Len() int           { return len(h.items) }
func (h *heapItems[T]) Less(i, j int) bool { return h.before(h.items[i], h.items[j]) }
func (h *heapItems[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]), *h.position(h.items[j]) = i, j
}

func (h *heapItems[T]) Push(x any) {
	item := x.(T)
	*h.position(item) = len(h.items)
	h.items = append(h.items, item)
}

func (h *heapItems[T]) Pop() any {
	var zero T
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	return item
}
