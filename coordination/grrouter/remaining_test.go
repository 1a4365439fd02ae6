package grrouter

import (
	"testing"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// TestElapsedBeforeArrival checks the estimate of the time that a caller used before it
// sent a request. The hedge delay shrinks by it, but not below half for a request that
// is already late.
func TestElapsedBeforeArrival(t *testing.T) {
	r := &Router{Policy: grdispatch.RoutePolicy()}
	r.Init()
	route := &grroutes.Route{Name: "all", LatencyObjective: 100, Timeout: 1500, FanOut: true, Targets: []grroutes.Target{{Services: []grident.Service{"a"}}}}
	req := RouteRequest{Table: &grroutes.Table{Version: 1}, Route: route, Deadline: 2500, Remaining: 1500}
	for range 20 {
		r.planRoute(1000, &req)
	}
	for _, c := range []struct{ remaining, elapsed, hedge grclock.Millis }{
		{1500, 0, 30}, {1480, 20, 24}, {1000, 100, 15}, {3000, 0, 30}, {0, 0, 30},
	} {
		req.Remaining = c.remaining
		q := &query{route: r.planRoute(1000, &req)}
		sub := r.subRequest(q, grdispatch.SubRequestKey{})
		if q.route.elapsedBeforeArrival != c.elapsed || sub.HedgeDelay != c.hedge {
			t.Errorf("%d ms remaining: %d ms elapsed before arrival, hedge after %d ms, want %d and %d", c.remaining, q.route.elapsedBeforeArrival, sub.HedgeDelay, c.elapsed, c.hedge)
		}
	}
}
