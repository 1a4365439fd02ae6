package grnode

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grsettings"
)

// TestReleaseOvertakesGroup guards against work for a caller that has left: the release of a
// delegated group is handled before the call that delegates it.
func TestReleaseOvertakesGroup(t *testing.T) {
	n := &Node{
		Settings: grsettings.Settings{Instance: "entry-1", FailureDomain: "d1", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"},
		Log:      zap.NewNop(), Clock: grclock.System(), Adapter: struct{ Adapter }{},
	}
	n.prepare(context.Background())
	n.onGather(grwire.GatherRequest{From: "entry-2/1", Query: 7, Group: 1, Release: true})
	answered := make(chan grwire.GatherAnswer, 1)
	go func() { // Tests may start goroutines directly, without grgroup.
		answered <- n.onGather(grwire.GatherRequest{From: "entry-2/1", Query: 7, Group: 1, Target: "/", Services: []string{"s"}, RemainingMS: 1000})
	}()
	other := n.Clock.NewTimer(500)
	defer other.Stop()
	defer n.group.Stop()
	select {
	case answer := <-answered:
		if !answer.Refused {
			t.Errorf("answer %+v, want a refusal", answer)
		}
	case <-other.C:
		t.Error("the released group was started")
	}
	if waiting := n.events.Len(); waiting != 0 {
		t.Errorf("%d events for the router, want none", waiting)
	}
}
