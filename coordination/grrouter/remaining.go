package grrouter

import (
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grroutes"
)

// typicalRemainingOf returns the statistics of the remaining times of a route's
// callers.
func (r *Router) typicalRemainingOf(route string) *grstat.RecurringMax {
	typical := r.typicalRemaining[route]
	if typical == nil {
		typical = &grstat.RecurringMax{}
		r.typicalRemaining[route] = typical
	}
	return typical
}

// elapsedBeforeArrival estimates how much of the latency objective a caller used before
// it sent the request, for service discovery and for connecting: the shortfall of its
// remaining time against the typical remaining time for the route.
func elapsedBeforeArrival(req *RouteRequest, typical *grstat.RecurringMax) grclock.Millis {
	if req.Remaining == 0 {
		return 0
	}
	return min(max(typical.Value()-req.Remaining, 0), req.Route.LatencyObjective)
}

// pruneTypicalRemaining removes the statistics of routes that are not in the table.
func (r *Router) pruneTypicalRemaining(t *grroutes.Table) {
	inTable := make(map[string]bool, len(t.Routes))
	for i := range t.Routes {
		inTable[t.Routes[i].Name] = true
	}
	for name := range r.typicalRemaining {
		if !inTable[name] {
			delete(r.typicalRemaining, name)
		}
	}
}
