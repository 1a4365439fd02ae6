package grnode

import (
	"testing"

	"geraniumrouter/protocol/grwire"
)

// TestReleaseOvertakesGroup guards against work for a caller that has left: the release of a
// delegated group is handled before the call that delegates it.
func TestReleaseOvertakesGroup(t *testing.T) {
	n := prepareNode(t, struct{ Adapter }{})
	n.onGather(grwire.GatherRequest{From: "entry-2/1", Query: 7, Group: 1, Release: true})
	answered := make(chan grwire.GatherAnswer, 1)
	go func() { // Tests may start goroutines directly, without grgroup.
		answered <- n.onGather(grwire.GatherRequest{From: "entry-2/1", Query: 7, Group: 1, Target: "/", Services: []string{"s"}, RemainingMS: 1000})
	}()
	other := n.Clock.NewTimer(500)
	defer other.Stop()
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
