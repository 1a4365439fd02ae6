package grrouter

import (
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Requests end early if their callers disconnect or this instance shuts down.

// Cancel ends a query whose caller has disconnected, so that its sub-requests no longer
// occupy slots. A request that is not idempotent ends if no searcher can have started it.
// Otherwise it continues, because its outcome must be recorded, but is not sent again.
func (r *Router) Cancel(now grclock.Millis, id grident.QueryID, out *Output) {
	if w := r.quotas.waits[id]; w != nil {
		r.cancelWait(now, w, out)
		return
	}
	q := r.queries[id]
	if q == nil {
		return
	}
	q.callerLeft = true
	if !q.atMostOnce {
		r.Counters.Cancelled++
		r.finish(now, q, out)
		return
	}
	for shard, dispatcher := range q.dispatchers {
		r.dispatchers[dispatcher].Withdraw(now, grdispatch.SubRequestKey{Query: id, Shard: int32(shard)}, &out.dispatcher)
		r.collect(now, dispatcher, out)
	}
	if r.queries[id] == nil {
		r.Counters.Cancelled++
	}
}

// EndBy ends every request by the given time, those that start later included: a planned stop
// leaves no more time. What has not been started by then has not run.
func (r *Router) EndBy(at grclock.Millis) {
	r.endBy = at
	for _, q := range r.queries {
		if q.deadline > at {
			q.deadline = at
			r.deadlines.Push(timer{at, q.id})
		}
	}
	for _, w := range r.quotas.waits {
		w.q.deadline = min(w.q.deadline, at)
		if w.until > at {
			w.until = at
			r.deadlines.Push(timer{at, w.q.id})
		}
	}
}

// limitedDeadline returns the deadline of a request, limited by EndBy.
func (r *Router) limitedDeadline(deadline grclock.Millis) grclock.Millis {
	if r.endBy > 0 {
		return min(deadline, r.endBy)
	}
	return deadline
}

// IsKept reports whether a query continues although its caller has disconnected, and
// whether an attempt of its first sub-request was sent that may have started.
func (r *Router) IsKept(now grclock.Millis, id grident.QueryID) (kept, sent bool) {
	q := r.queries[id]
	if q == nil || !q.atMostOnce {
		return false, false
	}
	history := r.dispatchers[q.dispatchers[0]].AttemptHistory(now, grdispatch.SubRequestKey{Query: id})
	return true, history.Sent > 0
}
