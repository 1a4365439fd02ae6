package grnode

import (
	"context"
	"testing"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
)

// TestCallerLeftBeforeStart guards against starting a request whose caller disconnected while
// its claim was being made: it is reported as not run, so that the claim is released.
func TestCallerLeftBeforeStart(t *testing.T) {
	n := prepareNode(t, nil)
	ctx, leave := context.WithCancel(context.Background())
	leave()
	result := make(chan grrouter.Result, 1)
	p := &pendingRequest{ctx: ctx, nonIdempotent: true, collection: "c", requestID: grident.RequestID("r"), deadline: n.Clock.Now() + 1000, result: result, number: 1}
	p.apply(&n.routerLoop, n.Clock.Now())
	if started := n.routerLoop.router.Counters.Queries; started != 0 {
		t.Errorf("%d requests started, want none", started)
	}
	if len(result) != 1 {
		t.Fatal("no result")
	}
	if got := <-result; got.Outcome != grrouter.NotRun || got.Code != grerror.CallerLeft {
		t.Errorf("result %v %s, want not_run caller_left", got.Outcome, got.Code)
	}
	(&requestCancelled{number: 1}).apply(&n.routerLoop, n.Clock.Now())
}
