package grrouter

import (
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
)

// A searcher can ask for no requests for a time. While all searchers of a service have, its
// requests are rejected at once, unless one of them takes requests again in time.

// refusalSpread is the divisor of the time until a searcher takes requests again to the time over
// which rejected callers that cannot return in time are spread.
const refusalSpread = 4

// refused reports whether too few services of the request have a searcher that takes requests in
// time.
func (r *Router) refused(now grclock.Millis, q *query) bool {
	usefulUntil := q.deadline
	if q.route.partialDeadline > now {
		usefulUntil = q.route.partialDeadline
	}
	wait := r.refusedFor(now, q)
	return wait > 0 && now+wait > usefulUntil
}

// refusedFor returns the time until enough services of the request have a searcher that takes
// requests again; 0 if they have.
func (r *Router) refusedFor(now grclock.Millis, q *query) grclock.Millis {
	return r.requiredWait(q, func(d *grdispatch.Dispatcher) grclock.Millis { return d.RefusedFor(now) })
}

// retryAfterRefusal returns the retry-after time for a request that searchers refuse. It is not
// shorter than the time until one of them takes requests again, and callers get different ones.
func (r *Router) retryAfterRefusal(now grclock.Millis, q *query) grclock.Millis {
	wait := r.retryAfter(now, q)
	longest := q.route.longestReturn
	if longest == 0 {
		longest = q.deadline - now
	}
	return r.spreadRetryAfter(wait, max(longest, wait+wait/refusalSpread))
}

// refused reports whether some shard of the request was not sent since its searchers refuse
// requests.
func (rs *routeState) refused() bool {
	return slices.ContainsFunc(rs.failures, func(f shardFailure) bool { return f.history.Refused })
}
