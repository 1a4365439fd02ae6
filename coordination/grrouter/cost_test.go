package grrouter

import (
	"fmt"
	"testing"
	"time"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

// shards is the number of shards that a query is sent to in these tests, the size that
// the router is designed for.
const shards = 1500

// testRouter is a router whose searchers answer at once.
type testRouter struct {
	router  *Router
	out     Output
	now     grclock.Millis
	pending []pendingAttempt
	ended   int
}

// pendingAttempt is an attempt that waits for its answer.
type pendingAttempt struct {
	dispatcher int32
	attempt    grident.AttemptID
}

func newTestRouter() *testRouter {
	g := &testRouter{router: &Router{OmitRecords: true}, now: 1000}
	g.router.Init()
	g.router.SetPreset(grpreset.ActivePreset{Generation: 1, Preset: grpreset.Preset{
		HedgeBudget: 0.04, RetryBudget: 0.05, MaxQueries: 100, MaxQueue: 100,
		Default: grpreset.CollectionPolicy{Deadline: 10_000, AllowPartial: true, Weight: 1},
	}})
	m := &grsnapshot.ShardMap{Collection: "c", Snapshot: grsnapshot.Snapshot{IndexVersion: 1, MapVersion: 1}}
	for i := range shards {
		name := grident.Service(fmt.Sprint("s", i))
		m.Shards = append(m.Shards, grsnapshot.Shard{Range: grsnapshot.Range{From: grsnapshot.Key(i), To: grsnapshot.Key(i + 1)}, Service: name})
		list := []grdispatch.Searcher{{ID: searcherID(i, 0), Slots: 2, ConnLimit: 4}, {ID: searcherID(i, 1), Slots: 2, ConnLimit: 4}}
		g.router.SetService(g.now, name, list, &g.out)
	}
	g.router.SetShardMap(m)
	g.executeActions()
	return g
}

func searcherID(i, r int) grident.SearcherID { return grident.SearcherID(fmt.Sprint(i, "/", r)) }

func (g *testRouter) executeActions() {
	for len(g.out.Actions) > 0 {
		actions := g.out.Actions
		g.out.Actions = nil
		for _, a := range actions {
			switch a.Kind {
			case grdispatch.OpenConn:
				g.router.ConnOpened(g.now, a.Service, a.Searcher, a.Conn, &g.out)
			case grdispatch.Send:
				g.pending = append(g.pending, pendingAttempt{a.Service, a.Attempt})
			}
		}
		if g.out.Actions == nil {
			g.out.Actions = actions[:0]
		}
	}
	g.ended += len(g.out.Results)
	g.out.Reset()
}

// query runs one query to its end.
func (g *testRouter) query() {
	g.router.StartQuery(g.now, Query{Collection: "c", Deadline: g.now + 5000}, &g.out)
	g.executeActions()
	g.now += 5
	due := g.pending
	for _, p := range due {
		reply := grdispatch.Reply{Attempt: p.attempt, Kind: grdispatch.OK, ReusableConn: true, Load: grdispatch.Load{Known: true, Busy: 1}}
		g.router.HandleReply(g.now, p.dispatcher, reply, &g.out)
		g.executeActions()
	}
	g.pending = due[:0]
	g.router.Tick(g.now, &g.out)
	g.executeActions()
}

// TestAllocations checks that planning, dispatch and merge for 1,500 shards allocate
// next to nothing once the state has grown to its size.
func TestAllocations(t *testing.T) {
	g := newTestRouter()
	for range 200 {
		g.query()
	}
	before := g.ended
	const runs = 50
	allocations := testing.AllocsPerRun(runs, g.query)
	if g.ended-before < runs {
		t.Fatalf("%d queries ended", g.ended-before)
	}
	if perSub := allocations / shards; perSub > 0.001 {
		t.Errorf("%.0f allocations per query, %.4f per sub-request, want at most 0.001", allocations, perSub)
	}
	t.Logf("%.0f allocations per query of %d sub-requests", allocations, shards)
}

// maxCostRatio limits the CPU cost of the decisions on one sub-request, in multiples
// of the cost of one 64-bit mixing: 1.5 µs at 1 ns each.
const maxCostRatio = 1500

// TestCost limits the CPU cost of the decisions on one sub-request relative to that of
// a 64-bit mixing, so that the limit holds on machines of any speed. The two are timed
// alternately in runs of a few milliseconds and the shortest run of each is used,
// since other load on the machine can only lengthen a run.
func TestCost(t *testing.T) {
	g := newTestRouter()
	for range 100 {
		g.query()
	}
	const rounds, mixings = 200, 200_000
	// The reference work reads and writes memory, so that the race detector slows it as
	// much as the decisions.
	cells := make([]uint64, 1024)
	perQuery, perRun := time.Hour, time.Hour
	for range rounds {
		perQuery = min(perQuery, elapsed(g.query))
		perRun = min(perRun, elapsed(func() {
			for i := range mixings {
				cell := &cells[i%len(cells)]
				*cell = grident.Mix(*cell + 1)
			}
		}))
	}
	perSub, perMixing := float64(perQuery)/shards, float64(perRun)/mixings
	if ratio := perSub / perMixing; ratio > maxCostRatio {
		t.Errorf("a sub-request costs as much as %.0f mixings, want at most %d", ratio, maxCostRatio)
	}
	t.Logf("%.0f ns per sub-request, %.2f ns per mixing: ratio %.0f, limit %d (%d)",
		perSub, perMixing, perSub/perMixing, maxCostRatio, cells[0]&1)
}

func elapsed(work func()) time.Duration {
	start := time.Now()
	work()
	return time.Since(start)
}

// BenchmarkSubRequest measures planning, dispatch and merge, per sub-request.
func BenchmarkSubRequest(b *testing.B) {
	g := newTestRouter()
	b.ReportAllocs()
	for b.Loop() {
		g.query()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/shards, "ns/sub-request")
}
