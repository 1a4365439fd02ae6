package grnode

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grcontrol"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grsettings"
	"geraniumrouter/state/grtable"
)

// TestReadyAtOnce takes callers as soon as a table and a searcher are known, not
// with the next tick, and not before.
func TestReadyAtOnce(t *testing.T) {
	n := &Node{
		Settings: grsettings.Settings{Instance: "entry-1", FailureDomain: "d1", Callers: "127.0.0.1:1", Peers: "127.0.0.1:2"},
		Log:      zap.NewNop(), Clock: grclock.System(), Adapter: struct{ Adapter }{},
	}
	n.prepare(context.Background())
	defer n.group.Stop()
	now := n.Clock.Now()
	n.control.state.Init(now, &n.control.out)
	n.control.handle(now, &controlEvent{table: &grtable.Table{Version: 1, Services: []grtable.Service{{Name: "s", ConnLimit: 9}}}})
	if n.Ready() {
		t.Error("ready without a searcher")
	}
	searcher := grcontrol.ListedSearcher{Searcher: grcontrol.Searcher{ID: "s/1", Run: 1, Service: "s", Address: "127.0.0.1:3", Slots: 2}}
	n.control.handle(now, &controlEvent{searchers: []grcontrol.ListedSearcher{searcher}, revisions: []grid.Revision{5}})
	if !n.Ready() {
		t.Error("not ready although a table and a searcher are known")
	}
}
