package grrouter

import (
	"testing"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grtable"
)

// TestElapsedBeforeArrival checks the estimate of the time that a caller used before it
// sent a request. The hedge delay shrinks by it, but not below half for a request that
// is already late.
func TestElapsedBeforeArrival(t *testing.T) {
	r := &Router{Policy: grleaf.RoutePolicy()}
	r.Init()
	route := &grtable.Route{Name: "all", Objective: 100, Timeout: 1500, AllShards: true, Targets: []grtable.Target{{Services: []grid.Service{"a"}}}}
	req := RouteAsk{Table: &grtable.Table{Version: 1}, Route: route, Deadline: 2500, Left: 1500}
	for range 20 {
		r.planRoute(1000, &req)
	}
	for _, c := range []struct{ remaining, elapsed, hedge grclock.Millis }{
		{1500, 0, 30}, {1480, 20, 24}, {1000, 100, 15}, {3000, 0, 30}, {0, 0, 30},
	} {
		req.Left = c.remaining
		q := &query{route: r.planRoute(1000, &req)}
		sub := r.subRequest(q, grleaf.SubKey{})
		if q.route.elapsedBeforeArrival != c.elapsed || sub.HedgeAfter != c.hedge {
			t.Errorf("%d ms remaining: %d ms elapsed before arrival, hedge after %d ms, want %d and %d", c.remaining, q.route.elapsedBeforeArrival, sub.HedgeAfter, c.elapsed, c.hedge)
		}
	}
}
