package grrouter

import (
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
)

// admitRoute rejects a request whose sub-requests the rate limits of the searchers do not permit
// in time, one that would wait in queues until its deadline (see rejectEarly), and one beyond
// the number of requests in flight. How long answers take is no reason: a slow answer before
// the deadline is worth more than a rejection.
func (r *Router) admitRoute(now grclock.Millis, q *query, req *RouteRequest) grerror.Code {
	if q.route.isGroup && now >= q.route.partialDeadline {
		return grerror.DeadlineTooShort // The requesting instance has bypassed this one by now.
	}
	if !q.route.isGroup && r.rateLimited(now, q) {
		return grerror.RateLimited
	}
	wait := grclock.Millis(0)
	if len(q.dispatchers) == 1 {
		wait = r.dispatchers[q.dispatchers[0]].RateLimitWait(now)
	}
	r.admission.MaxInFlight = r.RoutePolicy.MaxInFlight
	if !q.route.isGroup {
		if v := r.rejectEarly(now, q, req); !v.Admitted {
			q.route.rejectedFor = max(v.RetryAfter, minRetryAfter)
			if v.OverShare {
				return grerror.OverShare
			}
			return grerror.Overloaded
		}
	}
	return r.admission.Admit(now, q.collectionName, 1, wait, q.deadline-now)
}

func (r *Router) refuseRoute(now grclock.Millis, q *query, code grerror.Code, out *Output) {
	r.Counters.NotRun++
	r.Counters.Rejected++
	result := Result{ID: q.id, Outcome: NotRun, Code: code, Generation: q.generation, ShardsRequested: len(q.dispatchers)}
	result.RetryAfter = r.retryAfter(now, q)
	longest := q.route.longestReturn
	if longest == 0 {
		longest = q.deadline - now
	}
	if code == grerror.SearchersRefuse {
		result.RetryAfter = r.retryAfterRefusal(now, q)
	}
	if q.route.rejectedFor > 0 {
		result.RetryAfter, result.WorkOff = r.spreadRetryAfter(q.route.rejectedFor, longest), r.workOffTime(now, q)
	}
	if len(q.dispatchers) == 1 {
		result.RetryAfter = max(result.RetryAfter, r.dispatchers[q.dispatchers[0]].ReserveReturn(now, longest))
	}
	result.Quota = q.quota
	q.returnUnit(now)
	out.Results = append(out.Results, result)
	r.freeQueries = append(r.freeQueries, q)
}

// retryAfter estimates when enough services of a rejected request will have capacity
// again.
func (r *Router) retryAfter(now grclock.Millis, q *query) grclock.Millis {
	wait := r.requiredWait(q, func(d *grdispatch.Dispatcher) grclock.Millis { return d.ExpectedWait(now) })
	return max(minRetryAfter, wait)
}

// requiredWait returns the time until as many services of the request are ready as an
// answer requires, given the wait for each.
func (r *Router) requiredWait(q *query, waitFor func(d *grdispatch.Dispatcher) grclock.Millis) grclock.Millis {
	if len(q.dispatchers) == 0 {
		return 0
	}
	waits := make([]grclock.Millis, len(q.dispatchers))
	for i, dispatcher := range q.dispatchers {
		waits[i] = waitFor(r.dispatchers[dispatcher])
	}
	return nthSmallest(waits, q.route.requiredParts())
}

// nthSmallest sorts the list and returns its n-th element.
func nthSmallest(list []grclock.Millis, n int) grclock.Millis {
	slices.Sort(list)
	return list[n-1]
}

// minRetryAfter is the smallest retry-after time sent to a rejected caller: about as
// long as a searcher is avoided after it shed a request.
const minRetryAfter = 50 * grclock.Millisecond
