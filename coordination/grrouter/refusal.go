package grrouter

import (
	"slices"

	"geraniumrouter/state/grclock"
)

// A searcher can ask for no requests for a time. While all searchers of a service have, its
// requests are rejected at once, unless one of them takes requests again in time.

// refusalSpread is the divisor of the time until a searcher takes requests again to the time over
// which rejected callers that cannot return in time are spread.
const refusalSpread = 4

// refused reports whether the searchers of too many services refuse requests of this instance for
// too long. Those of delegated shards refuse other instances, if any.
func (r *Router) refused(now grclock.Millis, q *query) bool {
	usefulUntil := q.usefulUntil(now)
	ready := 0
	for i, dispatcher := range q.dispatchers {
		wait := r.dispatchers[dispatcher].RefusedFor(now)
		if q.isDelegated(i) || wait == 0 || now+wait <= usefulUntil {
			ready++
		}
	}
	return ready < q.route.requiredParts()
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
