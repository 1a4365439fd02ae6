package grrouter

import (
	"testing"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// refusalRouter is an instance with two services of one searcher each.
type refusalRouter struct {
	*Router
	table       *grroutes.Table
	one, fanOut *grroutes.Route
}

func newRefusalRouter(t *testing.T) *refusalRouter {
	t.Helper()
	r := &refusalRouter{Router: &Router{Policy: grdispatch.RoutePolicy()}, table: testTable()}
	r.Init()
	services := r.table.Routes[0].Targets[0].Services[:2]
	r.one = &grroutes.Route{Name: "one", LatencyObjective: 400, Timeout: 6000, Targets: []grroutes.Target{{Weight: 1, Services: services[:1]}}}
	r.fanOut = &grroutes.Route{Name: "all", FanOut: true, Idempotent: true, MinSuccessShare: 0.4, LatencyObjective: 400, Timeout: 6000, Targets: []grroutes.Target{{Weight: 1, Services: services}}}
	var out Output
	for _, s := range services {
		r.SetService(0, s, []grdispatch.Searcher{{ID: grident.SearcherID(s) + "/1", Domain: "d2", Slots: 8, ConnLimit: 8}}, &out)
	}
	for _, a := range out.Actions {
		r.ConnOpened(0, a.Service, a.Searcher, a.Conn, &Output{})
	}
	return r
}

func (r *refusalRouter) start(now grclock.Millis, route *grroutes.Route) *Output {
	out := &Output{}
	r.StartRoute(now, RouteRequest{Table: r.table, Route: route, Deadline: now + 6000, Remaining: 6000, LongestReturn: 2000}, out)
	return out
}

// refuse lets the searcher of the first service refuse requests for the time given.
func (r *refusalRouter) refuse(now, span grclock.Millis) *Output {
	out := r.start(now, r.one)
	sent := out.Actions[len(out.Actions)-1]
	out.Reset()
	r.HandleReply(now, sent.Service, grdispatch.Reply{Attempt: sent.Attempt, Kind: grdispatch.Shed, ReusableConn: true, RefusedFor: span}, out)
	return out
}

// TestRefusedRequestsWait guards against requests that are held until their deadline although it is
// known that every searcher refuses them, and callers that are told to return too soon, or together.
func TestRefusedRequestsWait(t *testing.T) {
	r := newRefusalRouter(t)
	const now, span = 1000, 1500 * grclock.Millisecond
	results := r.refuse(now, span).Results
	for range 200 {
		results = append(results, r.start(now+500, r.one).Results...)
	}
	if len(results) != 201 {
		t.Fatalf("%d of 201 requests ended at once", len(results))
	}
	times := make(map[grclock.Millis]bool)
	for i := range results {
		got := &results[i]
		if got.Outcome != NotRun || got.Code != grerror.SearchersRefuse || got.RetryAfter < span-500 {
			t.Fatalf("result %d: %v, %s, retry after %d ms; want not run, %s and at least %d ms", i, got.Outcome, got.Code, got.RetryAfter, grerror.SearchersRefuse, span-500)
		}
		times[got.RetryAfter] = true
	}
	if len(times) < 100 {
		t.Errorf("%d different retry-after times for 201 callers", len(times))
	}
}

// TestRefusalLeavesShardOut checks that a fan-out request is not held for a shard whose searchers
// refuse requests, and that the shard counts as missing.
func TestRefusalLeavesShardOut(t *testing.T) {
	r := newRefusalRouter(t)
	r.refuse(1000, 5000)
	out := r.start(1100, r.fanOut)
	sends := 0
	for _, a := range out.Actions {
		if a.Kind == grdispatch.Send {
			sends++
			r.HandleReply(1110, a.Service, grdispatch.Reply{Attempt: a.Attempt, Kind: grdispatch.OK, ReusableConn: true}, out)
		}
	}
	if sends != 1 || len(out.Results) != 1 {
		t.Fatalf("%d sends, results %+v; want one of each", sends, out.Results)
	}
	if got := &out.Results[0]; got.Outcome != Partial || len(got.PartialResults) != 1 || got.ShardsRequested != 2 {
		t.Errorf("%v with %d of %d shards, want partial with 1 of 2", got.Outcome, len(got.PartialResults), got.ShardsRequested)
	}
}

// TestRefusalConcernsOneInstance guards against requests that are rejected since searchers refuse
// this instance, although other instances would send their sub-requests.
func TestRefusalConcernsOneInstance(t *testing.T) {
	r := newRefusalRouter(t)
	r.refuse(1000, 5000)
	r.SetPeers(1050, []Peer{{ID: "b", Domain: "d2"}, {ID: "c", Domain: "d2"}}, &Output{})
	r.fanOut.MinSuccessShare = 1
	if out := r.start(1100, r.fanOut); len(out.Results) > 0 {
		t.Errorf("ended at once: %v, %s", out.Results[0].Outcome, out.Results[0].Code)
	}
}
