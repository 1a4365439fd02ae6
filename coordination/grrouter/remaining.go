package grrouter

import (
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grtable"
)

// typicalRemainingOf returns the statistics of the remaining times of a route's
// callers.
func (r *Router) typicalRemainingOf(route string) *grstat.Usual {
	typical := r.typicalRemaining[route]
	if typical == nil {
		typical = &grstat.Usual{}
		r.typicalRemaining[route] = typical
	}
	return typical
}

// elapsedBeforeArrival estimates how much of the latency objective a caller used before
// it sent the request, for service discovery and for connecting: the shortfall of its
// remaining time against the typical remaining time for the route.
func elapsedBeforeArrival(req *RouteAsk, typical *grstat.Usual) grclock.Millis {
	if req.Left == 0 {
		return 0
	}
	return min(max(typical.Greatest()-req.Left, 0), req.Route.Objective)
}

// pruneTypicalRemaining removes the statistics of routes that are not in the table.
func (r *Router) pruneTypicalRemaining(t *grtable.Table) {
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
