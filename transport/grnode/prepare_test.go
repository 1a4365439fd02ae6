package grnode

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grsettings"
)

// prepareNode returns an instance whose loops do not run, so that a test calls them. adapter
// is nil for the native interface.
func prepareNode(t *testing.T, adapter Adapter) *Node {
	t.Helper()
	n := &Node{
		Settings: grsettings.Settings{Instance: "entry-1", FailureDomain: "d1", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"},
		Log:      zap.NewNop(), Clock: grclock.System(), Adapter: adapter,
	}
	n.prepare(context.Background())
	t.Cleanup(n.group.Stop)
	return n
}
