package grstanddemo

import (
	"context"
	"strings"
	"testing"

	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/state/grclock"
)

// TestShow checks that the demonstration of each deployment has the expected
// results. The timeout of its queries is 20 s, so that a slow machine does not
// make them partial.
func TestShow(t *testing.T) {
	for i, d := range []grstanddata.Deployment{grstanddata.Kinoko(), grstanddata.Restrepo()} {
		cluster := &Cluster{Deployment: d, Port: 29000 + 300*i, MedianSearchTime: 4, QueryTimeout: 20 * grclock.Second, Clock: grclock.System()}
		ctx, stop := context.WithCancel(context.Background())
		cluster.Start(ctx)
		var table strings.Builder
		if err := Show(ctx, cluster, &table); err != nil {
			t.Errorf("%s: %v\n%s", d.Name, err, table.String())
		}
		if err := cluster.Stop(); err != nil {
			t.Errorf("%s: %v", d.Name, err)
		}
		stop()
	}
}
