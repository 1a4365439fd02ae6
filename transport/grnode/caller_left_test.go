package grnode

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsettings"
)

// TestCallerLeftBeforeStart guards against starting a request whose caller disconnected while
// its claim was being made: it is reported as not run, so that the claim is released.
func TestCallerLeftBeforeStart(t *testing.T) {
	n := &Node{
		Settings: grsettings.Settings{Instance: "entry-1", FailureDomain: "d1", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"},
		Log:      zap.NewNop(), Clock: grclock.System(),
	}
	n.prepare(context.Background())
	defer n.group.Stop()
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
