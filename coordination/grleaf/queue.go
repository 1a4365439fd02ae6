package grleaf

import "geraniumrouter/state/grid"

// before orders waiting sub-requests by priority, then deadline; those that are
// late already go last, so that under overload the others are not late as well. It breaks ties
// by query, so that queues of different services agree on which query goes
// first.
func before(a, b *sub) bool {
	if a.late != b.late {
		return b.late
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

// attemptRing keeps attempt ids in the order of their dispatch.
type attemptRing struct {
	ids  []grid.AttemptID
	head int
	size int
}

func (r *attemptRing) push(id grid.AttemptID) {
	if r.size == len(r.ids) {
		r.grow()
	}
	r.ids[(r.head+r.size)%len(r.ids)] = id
	r.size++
}

func (r *attemptRing) at(i int) grid.AttemptID { return r.ids[(r.head+i)%len(r.ids)] }

func (r *attemptRing) popFront() {
	r.head = (r.head + 1) % len(r.ids)
	r.size--
}

func (r *attemptRing) grow() {
	bigger := make([]grid.AttemptID, max(16, 2*len(r.ids)))
	for i := range r.size {
		bigger[i] = r.at(i)
	}
	r.ids, r.head = bigger, 0
}
