package grrouter

import (
	"testing"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grtable"
)

// TestSpent estimates what a caller spent before it sent a request, and sends second
// copies sooner by that, but not for a request that is late already.
func TestSpent(t *testing.T) {
	r := &Router{Policy: grleaf.RoutePolicy()}
	r.Init()
	route := &grtable.Route{Name: "all", Objective: 100, Timeout: 1500, AllShards: true, Targets: []grtable.Target{{Services: []grid.Service{"a"}}}}
	ask := RouteAsk{Table: &grtable.Table{Version: 1}, Route: route, Deadline: 2500, Left: 1500}
	for range 20 {
		r.plan(1000, &ask)
	}
	for _, c := range []struct{ left, spent, hedge grclock.Millis }{
		{1500, 0, 30}, {1480, 20, 24}, {1000, 100, 15}, {3000, 0, 30}, {0, 0, 30},
	} {
		ask.Left = c.left
		q := &query{routed: r.plan(1000, &ask)}
		sub := r.subOf(q, grleaf.SubKey{})
		if q.routed.spent != c.spent || sub.HedgeAfter != c.hedge {
			t.Errorf("%d ms left: %d ms spent, a second copy after %d ms, want %d and %d", c.left, q.routed.spent, sub.HedgeAfter, c.spent, c.hedge)
		}
	}
}
