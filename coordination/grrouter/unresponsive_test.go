package grrouter

import (
	"fmt"
	"testing"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// testTable returns the table of the router that newDelegatingRouter returns.
func testTable() *grroutes.Table {
	var services []grident.Service
	for i := range 4 {
		services = append(services, grident.Service(fmt.Sprint("s", i)))
	}
	return &grroutes.Table{Version: 1, Routes: []grroutes.Route{{
		Name: "all", LatencyObjective: 100, Timeout: 1500, FanOut: true, Idempotent: true, MaxAttempts: 2, MinSuccessShare: 1,
		Targets: []grroutes.Target{{Weight: 1, Services: services}},
	}}}
}

// newDelegatingRouter returns a router that has delegated all shards of a request to a
// peer, and the time at which the peer counts as unresponsive.
func newDelegatingRouter(t *testing.T) (r *Router, id grident.QueryID, services []grident.Service, unresponsiveAt grclock.Millis) {
	t.Helper()
	r = &Router{Policy: grdispatch.RoutePolicy(), Self: "a", Domain: "d1"}
	r.Init()
	var out Output
	table := testTable()
	services = table.Routes[0].Targets[0].Services
	r.SetTable(0, table, &out)
	r.SetPeers(0, []Peer{{ID: "b", Domain: "d2"}}, &out)
	for _, s := range services {
		r.SetService(0, s, []grdispatch.Searcher{{ID: grident.SearcherID(s + "/1"), Domain: "d2", Slots: 2, ConnLimit: 4}}, &out)
	}
	for _, a := range out.Actions {
		r.ConnOpened(0, a.Service, a.Searcher, a.Conn, &Output{})
	}
	out = Output{}
	id = r.StartRoute(1000, RouteRequest{Table: table, Route: &table.Routes[0], Deadline: 2500}, &out)
	if len(out.Delegations) != 1 || countSends(&out) != 0 {
		t.Fatalf("delegations %+v, actions %+v, want one delegation and no sub-request sent", out.Delegations, out.Actions)
	}
	return r, id, services, r.queries[id].route.partialDeadline + peerGrace
}

func countSends(out *Output) int {
	n := 0
	for _, a := range out.Actions {
		if a.Kind == grdispatch.Send {
			n++
		}
	}
	return n
}

// TestUnresponsivePeer checks that a peer that does not answer in time is bypassed.
func TestUnresponsivePeer(t *testing.T) {
	r, _, _, unresponsiveAt := newDelegatingRouter(t)
	var out Output
	r.Tick(unresponsiveAt, &out)
	if countSends(&out) == 0 {
		t.Error("an unresponsive peer was not bypassed")
	}
}

// TestLateTimer checks that a peer does not count as unresponsive when this instance
// itself handles the timer late. The answer may be waiting to be read, and requesting
// the shards directly would execute the request on more searchers than its route
// allows.
func TestLateTimer(t *testing.T) {
	r, id, services, unresponsiveAt := newDelegatingRouter(t)
	late := unresponsiveAt + 60
	var out Output
	r.Tick(late, &out)
	answer := &GroupAnswer{}
	for _, s := range services {
		answer.PartialResults = append(answer.PartialResults, PartialResult{Service: s, Answer: &granswer.Answer{Status: 200}})
	}
	r.HandleGroupAnswer(late+5, "b", id, 0, answer, &out)
	if countSends(&out) != 0 || len(out.Results) != 1 || out.Results[0].Outcome != Complete {
		t.Errorf("%d sends, results %+v, want no sends and one complete result", countSends(&out), out.Results)
	}
	r, _, _, unresponsiveAt = newDelegatingRouter(t)
	out = Output{}
	r.Tick(unresponsiveAt+60, &out)
	r.Tick(unresponsiveAt+60+peerGrace, &out)
	if countSends(&out) == 0 {
		t.Error("a peer that stayed unresponsive was not bypassed")
	}
}
