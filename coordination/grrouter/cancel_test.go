package grrouter

import (
	"testing"

	"geraniumrouter/coordination/grdispatch"
)

// TestCancel checks that the attempts of a query are cancelled when its caller has
// disconnected.
func TestCancel(t *testing.T) {
	g := newTestRouter()
	id := g.router.StartQuery(g.now, Query{Collection: "c", Deadline: g.now + 5000}, &g.out)
	g.executeActions()
	g.router.Cancel(g.now, id, &g.out)
	cancelled := 0
	for _, a := range g.out.Actions {
		if a.Kind == grdispatch.CancelAttempt {
			cancelled++
		}
	}
	if cancelled != shards || len(g.out.Results) != 1 || g.router.InFlight() != 0 {
		t.Errorf("%d attempts cancelled, %d results, %d in flight, want every attempt, one result and none in flight", cancelled, len(g.out.Results), g.router.InFlight())
	}
	g.out.Reset()
	g.router.Cancel(g.now, id, &g.out)
	if len(g.out.Results) != 0 {
		t.Error("a second Cancel of the same query gave another result")
	}
}

// TestCancelKeepsNonIdempotentRequest checks that a request that is not idempotent
// keeps running after its caller has disconnected, because its outcome must be
// recorded.
func TestCancelKeepsNonIdempotentRequest(t *testing.T) {
	g := newTestRouter()
	id := g.router.StartRequest(g.now, Request{Collection: "c", Key: 3, Deadline: g.now + 5000}, &g.out)
	g.executeActions()
	g.router.Cancel(g.now, id, &g.out)
	if len(g.out.Results) != 0 || g.router.InFlight() != 1 {
		t.Errorf("results %+v, want none and the request still in flight", g.out.Results)
	}
}
