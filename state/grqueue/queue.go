// Package grqueue implements a bounded FIFO queue for passing items between goroutines.
//
//	events := grqueue.New[Event](1024)
//	if !events.TryPut(e) {
//		dropped.Inc(1)
//	}
package grqueue

// Queue is a bounded queue that is safe for concurrent use. Use New to create one.
type Queue[T any] struct{ items chan T }

// New returns a queue with a capacity of size items.
func New[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// TryPut adds the item without blocking and reports whether there was room for it.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Put adds the item, blocking while the queue is full until done is closed, and reports
// whether the item was added.
func (q *Queue[T]) Put(done <-chan struct{}, item T) bool {
	select {
	case q.items <- item:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel from which the items are received, for use in a select.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }
