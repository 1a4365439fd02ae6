package grrouter

import (
	"testing"

	"geraniumrouter/coordination/grleaf"
)

// TestCancel stops the attempts of a query whose caller has gone.
func TestCancel(t *testing.T) {
	g := newRig()
	id := g.router.StartQuery(g.now, Query{Collection: "c", Deadline: g.now + 5000}, &g.out)
	g.carryOut()
	g.router.Cancel(g.now, id, &g.out)
	cancelled := 0
	for _, a := range g.out.Actions {
		if a.Kind == grleaf.CancelAttempt {
			cancelled++
		}
	}
	if cancelled != shards || len(g.out.Results) != 1 || g.router.InFlight() != 0 {
		t.Errorf("%d attempts cancelled, %d results, %d in flight", cancelled, len(g.out.Results), g.router.InFlight())
	}
	g.out.Reset()
	g.router.Cancel(g.now, id, &g.out)
	if len(g.out.Results) != 0 {
		t.Error("a query ended twice")
	}
}

// TestCancelledRequestGoesOn keeps a request that is not idempotent running, for
// its outcome is to be recorded.
func TestCancelledRequestGoesOn(t *testing.T) {
	g := newRig()
	id := g.router.StartRequest(g.now, Request{Collection: "c", Key: 3, Deadline: g.now + 5000}, &g.out)
	g.carryOut()
	g.router.Cancel(g.now, id, &g.out)
	if len(g.out.Results) != 0 || g.router.InFlight() != 1 {
		t.Errorf("results %+v", g.out.Results)
	}
}
