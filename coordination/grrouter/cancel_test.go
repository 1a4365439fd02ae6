package grrouter

import (
	"testing"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
)

// TestCancel checks that the attempts of a query are cancelled when its caller has
// disconnected.
func TestCancel(t *testing.T) {
	g := newTestRouter()
	id := g.router.StartQuery(g.now, Query{Collection: "c", Deadline: g.now + 5000}, &g.out)
	g.executeActions()
	g.router.Cancel(g.now, id, &g.out)
	cancelled := 0
	for _, a := range g.out.Actions {
		if a.Kind == grdispatch.CancelAttempt {
			cancelled++
		}
	}
	if cancelled != shards || len(g.out.Results) != 1 || g.router.InFlight() != 0 {
		t.Errorf("%d attempts cancelled, %d results, %d in flight, want every attempt, one result and none in flight", cancelled, len(g.out.Results), g.router.InFlight())
	}
	g.out.Reset()
	g.router.Cancel(g.now, id, &g.out)
	if len(g.out.Results) != 0 {
		t.Error("a second Cancel of the same query gave another result")
	}
}

// TestCancelKeepsNonIdempotentRequest checks that a request that is not idempotent
// keeps running after its caller has disconnected, because its outcome must be
// recorded.
func TestCancelKeepsNonIdempotentRequest(t *testing.T) {
	g := newTestRouter()
	id := g.router.StartRequest(g.now, Request{Collection: "c", Key: 3, Deadline: g.now + 5000}, &g.out)
	g.executeActions()
	g.router.Cancel(g.now, id, &g.out)
	if len(g.out.Results) != 0 || g.router.InFlight() != 1 {
		t.Errorf("results %+v, want none and the request still in flight", g.out.Results)
	}
}

// startOnce starts a request that is not idempotent, always to the same shard, and returns
// its attempt, if one was sent.
func (g *testRouter) startOnce() (id grident.QueryID, sent []pendingAttempt) {
	g.pending = nil
	id = g.router.StartRequest(g.now, Request{Collection: "c", Key: 3, Deadline: g.now + 5000}, &g.out)
	g.executeActions()
	return id, g.pending
}

// fillSearchers starts requests until one has to wait for a searcher. It returns the attempts
// in flight and the waiting request.
func (g *testRouter) fillSearchers() (inFlight []pendingAttempt, waiting grident.QueryID) {
	for {
		id, sent := g.startOnce()
		if len(sent) == 0 {
			return inFlight, id
		}
		inFlight = append(inFlight, sent...)
	}
}

// TestCallerLeftBeforeSend guards against sending a request that is not idempotent after its
// caller has disconnected: it waited for a searcher.
func TestCallerLeftBeforeSend(t *testing.T) {
	g := newTestRouter()
	inFlight, waiting := g.fillSearchers()
	behind, _ := g.startOnce()
	g.router.Cancel(g.now, waiting, &g.out)
	if len(g.out.Results) != 1 || g.out.Results[0].ID != waiting || g.out.Results[0].Outcome != NotRun || g.out.Results[0].Code != grerror.CallerLeft {
		t.Fatalf("results %+v, want one that tells that the request was not run", g.out.Results)
	}
	g.out.Reset()
	g.router.HandleReply(g.now, inFlight[0].dispatcher, grdispatch.Reply{Attempt: inFlight[0].attempt, Kind: grdispatch.OK, ReusableConn: true}, &g.out)
	sent := 0
	for _, a := range g.out.Actions {
		if a.Kind == grdispatch.Send {
			sent++
			if a.Key.Query != behind {
				t.Errorf("sent request %d, want %d, whose caller is still there", a.Key.Query, behind)
			}
		}
	}
	if sent != 1 {
		t.Errorf("%d requests sent, want the one behind the dropped one", sent)
	}
}

// TestCallerLeftBeforeResend guards against sending a request that is not idempotent again
// after its caller has disconnected: its first attempt was refused after that.
func TestCallerLeftBeforeResend(t *testing.T) {
	g := newTestRouter()
	id, sent := g.startOnce()
	g.router.Cancel(g.now, id, &g.out)
	if len(g.out.Results) != 0 {
		t.Fatalf("results %+v while a searcher may run the request, want none", g.out.Results)
	}
	g.router.HandleReply(g.now, sent[0].dispatcher, grdispatch.Reply{Attempt: sent[0].attempt, Kind: grdispatch.Shed, ReusableConn: true}, &g.out)
	g.router.Tick(g.now+1000, &g.out)
	for _, a := range g.out.Actions {
		if a.Kind == grdispatch.Send {
			t.Errorf("sent again: %+v", a)
		}
	}
	if len(g.out.Results) != 1 || g.out.Results[0].Outcome != NotRun {
		t.Errorf("results %+v, want one that tells that the request was not run", g.out.Results)
	}
}

// TestEndBy guards against requests that a planned stop leaves without an answer: each ends by
// the given time, and what was not sent by then is not sent after it.
func TestEndBy(t *testing.T) {
	g := newTestRouter()
	inFlight, waiting := g.fillSearchers()
	g.out.Reset()
	endBy := g.now + 500
	g.router.EndBy(endBy)
	later, _ := g.startOnce()
	g.router.Tick(endBy-1, &g.out)
	if len(g.out.Results) != 0 {
		t.Fatalf("results %+v before the time", g.out.Results)
	}
	g.router.Tick(endBy, &g.out)
	outcomes := make(map[Outcome]int)
	for _, result := range g.out.Results {
		outcomes[result.Outcome]++
		if (result.ID == waiting || result.ID == later) && result.Outcome != NotRun {
			t.Errorf("a waiting request ends as %v, want not_run", result.Outcome)
		}
	}
	if outcomes[Unknown] != len(inFlight) || outcomes[NotRun] != 2 || g.router.InFlight() != 0 {
		t.Errorf("outcomes %v, %d in flight; want %d unknown and 2 not run", outcomes, g.router.InFlight(), len(inFlight))
	}
	g.out.Reset()
	g.router.HandleReply(endBy+1, inFlight[0].dispatcher, grdispatch.Reply{Attempt: inFlight[0].attempt, Kind: grdispatch.OK, ReusableConn: true}, &g.out)
	for _, a := range g.out.Actions {
		if a.Kind == grdispatch.Send {
			t.Errorf("sent after the time: %+v", a)
		}
	}
}
