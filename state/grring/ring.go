// Package grring holds the bounded ring that joins two duties of a daemon.
//
//	events := grring.New[Event](1024)
//	if !events.Offer(e) {
//		dropped.Inc(1)
//	}
package grring

// Ring is a bounded queue between goroutines. It is made by New.
type Ring[T any] struct{ items chan T }

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] { return &Ring[T]{items: make(chan T, size)} }

// Offer adds the item unless the ring is full, and reports whether it did.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put adds the item and waits for room, unless done ends first; it reports
// whether the item was added.
func (r *Ring[T]) Put(done <-chan struct{}, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-done:
		return false
	}
}

// Out returns the receiving end, for use in a select.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int { return len(r.items) }
