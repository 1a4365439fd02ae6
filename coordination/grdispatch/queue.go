package grdispatch

import "geraniumrouter/state/grident"

// before is the queue order: by priority, then deadline. Sub-requests past their
// latency objective go last, so that under overload they do not make others miss
// theirs. Ties are broken by query, so that the queues of different services favour
// the same queries.
func before(a, b *pendingRequest) bool {
	if a.pastObjective != b.pastObjective {
		return b.pastObjective
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	if a.Key.Query != b.Key.Query {
		return a.Key.Query < b.Key.Query
	}
	return a.Key.Shard < b.Key.Shard
}

// attemptRing is a FIFO queue of attempt ids in the order in which they were sent.
type attemptRing struct {
	ids  []grident.AttemptID
	head int
	size int
}

func (r *attemptRing) push(id grident.AttemptID) {
	if r.size == len(r.ids) {
		r.grow()
	}
	r.ids[(r.head+r.size)%len(r.ids)] = id
	r.size++
}

func (r *attemptRing) at(i int) grident.AttemptID { return r.ids[(r.head+i)%len(r.ids)] }

func (r *attemptRing) popFront() {
	r.head = (r.head + 1) % len(r.ids)
	r.size--
}

func (r *attemptRing) grow() {
	bigger := make([]grident.AttemptID, max(16, 2*len(r.ids)))
	for i := range r.size {
		bigger[i] = r.at(i)
	}
	r.ids, r.head = bigger, 0
}
