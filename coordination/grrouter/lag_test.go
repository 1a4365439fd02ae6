package grrouter

import (
	"testing"

	"geraniumrouter/state/grclock"
)

// TestEventLoopLag checks that partial-result deadlines are set earlier by the recent
// delay of timers and responses, so that callers get answers in time, and that one
// long pause of the process has little effect on them.
func TestEventLoopLag(t *testing.T) {
	const lag = 12 * grclock.Millisecond
	r, id, _, _ := newDelegatingRouter(t)
	onTime := r.queries[id].route.partialDeadline - r.queries[id].startedAt
	for range 60 {
		r.recordTimerLag(lag)
	}
	req := RouteRequest{Table: testTable(), Route: r.queries[id].route.route, Deadline: 2500, ResponseDelay: 5}
	late := r.planRoute(1000, &req).partialDeadline - 1000
	if want := onTime - lag - 5; late < want || late > want+1 {
		t.Errorf("partial-result deadline after %d ms, want about %d; it is %d without lag", late, want, onTime)
	}
	req.IsGroup, req.PartialDeadline = true, 1070
	if due := r.planRoute(1000, &req).partialDeadline; due > 1070-lag+1 {
		t.Errorf("partial-result deadline of a group at %d ms, want %d", due, 1070-lag)
	}
	for range 60 {
		r.recordTimerLag(0)
	}
	r.recordTimerLag(10 * grclock.Second)
	if got := r.loopLag(); got > 5 {
		t.Errorf("lag of %d ms after one long pause, want at most 5", got)
	}
}

// TestPeerTypicalRemaining checks that a peer's typical remaining time is used until
// this instance has observed enough callers itself, and that it is kept under a newer
// table.
func TestPeerTypicalRemaining(t *testing.T) {
	r, id, _, _ := newDelegatingRouter(t)
	route := r.queries[id].route.route
	table := testTable()
	req := RouteRequest{Table: table, Route: route, Deadline: 2500, Remaining: 380}
	if elapsed := r.planRoute(1000, &req).elapsedBeforeArrival; elapsed != 0 {
		t.Errorf("%d ms elapsed before arrival without a typical remaining time, want 0", elapsed)
	}
	r.HandleGroupAnswer(1001, "b", id, 0, &GroupAnswer{MoreExpected: true, TypicalRemaining: 400}, &Output{})
	if elapsed := r.planRoute(1002, &req).elapsedBeforeArrival; elapsed != 20 {
		t.Errorf("%d ms elapsed before arrival, want 20", elapsed)
	}
	newer := *table
	newer.Version++
	req.Table = &newer
	r.targetPickerOf(&req)
	if elapsed := r.planRoute(1003, &req).elapsedBeforeArrival; elapsed != 20 {
		t.Errorf("%d ms elapsed before arrival under a newer table, want 20", elapsed)
	}
}
