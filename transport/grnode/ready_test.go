package grnode

import (
	"testing"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/state/grroutes"
)

// TestReadyWithoutTick guards against an instance that becomes ready only on the next tick of
// the control loop, or before both a table and a searcher are available.
func TestReadyWithoutTick(t *testing.T) {
	n := prepareNode(t, struct{ Adapter }{})
	now := n.Clock.Now()
	n.controlLoop.state.Init(now, &n.controlLoop.out)
	n.controlLoop.handle(now, &controlEvent{table: &grroutes.Table{Version: 1, Services: []grroutes.Service{{Name: "s", ConnLimit: 9}}}})
	if n.Ready() {
		t.Error("ready without a searcher")
	}
	searcher := grcluster.ListedSearcher{Revision: 5}
	searcher.Searcher = grcluster.Searcher{ID: "s/1", Incarnation: 1, Service: "s", Address: "127.0.0.1:3", Slots: 2}
	n.controlLoop.handle(now, &controlEvent{searcherList: &searcherList{[]grcluster.ListedSearcher{searcher}, 5}})
	if !n.Ready() {
		t.Error("not ready with a table and a searcher")
	}
}
