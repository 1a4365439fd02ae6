package grnode

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/state/grsettings"
)

// TestReadyWithoutTick guards against an instance that becomes ready only on the next tick of
// the control loop, or before both a table and a searcher are available.
func TestReadyWithoutTick(t *testing.T) {
	n := &Node{
		Settings: grsettings.Settings{Instance: "entry-1", FailureDomain: "d1", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"},
		Log:      zap.NewNop(), Clock: grclock.System(), Adapter: struct{ Adapter }{},
	}
	n.prepare(context.Background())
	defer n.group.Stop()
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
