// Package grheap implements a binary min-heap with a caller-supplied order.
//
//	h := grheap.Heap[int]{Less: func(a, b int) bool { return a < b }}
//	h.Push(3)
//	least := h.Pop()
package grheap

// Heap is a binary min-heap. Less must be set before use.
type Heap[T comparable] struct {
	Less  func(a, b T) bool
	items []T
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Top returns the least item without removing it; the heap must not be empty.
func (h *Heap[T]) Top() T { return h.items[0] }

// Items returns the items in no particular order. The caller must not modify the slice.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

// Pop removes and returns the least item; the heap must not be empty.
func (h *Heap[T]) Pop() T {
	top := h.items[0]
	h.removeAt(0)
	return top
}

// Remove removes the item and reports whether it was present. It searches the heap
// linearly.
func (h *Heap[T]) Remove(item T) bool {
	for i, v := range h.items {
		if v == item {
			h.removeAt(i)
			return true
		}
	}
	return false
}

func (h *Heap[T]) removeAt(i int) {
	last := len(h.items) - 1
	h.items[i] = h.items[last]
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.Less(h.items[i], h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

func (h *Heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.Less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.Less(h.items[child], h.items[i]) {
			return
		}
		h.items[i], h.items[child] = h.items[child], h.items[i]
		i = child
	}
}
