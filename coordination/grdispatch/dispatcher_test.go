package grdispatch

import (
	"testing"

	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// TestUnreachable checks that sub-requests end at once when no searcher is reachable,
// so that an incomplete answer does not wait for the deadline.
func TestUnreachable(t *testing.T) {
	var out Output
	dispatcher := &Dispatcher{Policy: DefaultPolicy()}
	dispatcher.Init()
	dispatcher.SetSearchers(0, []Searcher{{ID: "a/1", Slots: 2, ConnLimit: 2}}, &out)
	now := grclock.Millis(0)
	for range unreachableAfter {
		opening := len(out.Actions)
		out.Reset()
		for range opening {
			dispatcher.ConnFailed(now, 0, &out)
		}
		now += dispatcher.Policy.ReopenInterval
		dispatcher.Tick(now, &out)
	}
	out.Reset()
	dispatcher.Submit(now, SubRequest{Key: SubRequestKey{Query: 1}, Deadline: now + 1000}, &out)
	if len(out.Done) != 1 || out.Done[0].Kind != NotStarted {
		t.Fatalf("done %+v, want one NotStarted", out.Done)
	}
	out.Reset()
	dispatcher.ConnOpened(now, 0, 1, &out)
	dispatcher.Submit(now, SubRequest{Key: SubRequestKey{Query: 2}, Deadline: now + 1000}, &out)
	if len(out.Done) != 0 || len(out.Actions) == 0 {
		t.Errorf("after a connection was opened: done %+v, actions %+v; want the sub-request sent", out.Done, out.Actions)
	}
}

// TestEjectionKeepsHalf checks that at most half of the searchers of a service are
// ejected.
func TestEjectionKeepsHalf(t *testing.T) {
	var out Output
	dispatcher := &Dispatcher{Policy: DefaultPolicy()}
	dispatcher.Init()
	dispatcher.SetSearchers(0, []Searcher{{ID: "a/1"}, {ID: "a/2"}, {ID: "a/3"}, {ID: "a/4"}}, &out)
	for i := range dispatcher.searchers {
		for range 3 * dispatcher.Policy.EjectAfter {
			dispatcher.recordFailure(10, &dispatcher.searchers[i])
		}
	}
	ejected := 0
	for i := range dispatcher.searchers {
		if dispatcher.searchers[i].ejectedUntil > 10 {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("%d of 4 searchers ejected, want 2", ejected)
	}
}

// TestReopenPauseAfterImmediateClose checks that a searcher that accepts connections
// and closes them immediately does not cause a tight loop: reopening pauses for
// ReopenInterval.
func TestReopenPauseAfterImmediateClose(t *testing.T) {
	var out Output
	dispatcher := &Dispatcher{Policy: DefaultPolicy()}
	dispatcher.Init()
	dispatcher.SetSearchers(0, []Searcher{{ID: "a/1", Slots: 2, ConnLimit: 2}}, &out)
	const span = 10 * grclock.Second
	for now := grclock.Millis(0); now < span; now++ {
		actions := out.Actions
		out = Output{}
		for _, a := range actions {
			if a.Kind == OpenConn {
				dispatcher.ConnOpened(now, 0, a.Conn, &out)
				dispatcher.ConnLost(now, 0, a.Conn, &out)
			}
		}
		dispatcher.Tick(now, &out)
	}
	most := uint64(2 * (span/dispatcher.Policy.ReopenInterval + 1))
	if dispatcher.Counters.ConnsOpened > most {
		t.Errorf("%d connections opened in %d ms, want at most %d", dispatcher.Counters.ConnsOpened, span, most)
	}
}

// TestHedgePrefersOtherDomain checks that a hedge goes to another failure domain than
// the first attempt.
func TestHedgePrefersOtherDomain(t *testing.T) {
	for seed := range uint64(50) {
		var out Output
		dispatcher := &Dispatcher{Policy: DefaultPolicy()}
		dispatcher.Random.State = seed
		dispatcher.HedgeBudget = &grstat.TokenBucket{Capacity: 9}
		dispatcher.HedgeBudget.Fill()
		dispatcher.Init()
		dispatcher.SetSearchers(0, []Searcher{
			{ID: "a/1", Domain: "d1", Slots: 2, ConnLimit: 1}, {ID: "a/2", Domain: "d1", Slots: 2, ConnLimit: 1}, {ID: "a/3", Domain: "d2", Slots: 2, ConnLimit: 1},
		}, &out)
		opening := out.Actions
		out = Output{}
		for _, a := range opening {
			dispatcher.ConnOpened(0, a.Searcher, a.Conn, &out)
		}
		dispatcher.Submit(0, SubRequest{Key: SubRequestKey{Query: 1}, Deadline: 1000}, &out)
		dispatcher.Tick(initialHedgeDelay, &out)
		if len(out.Actions) != 2 {
			t.Fatalf("seed %d: actions %+v, want a first attempt and a hedge", seed, out.Actions)
		}
		first, second := dispatcher.SearcherAt(out.Actions[0].Searcher), dispatcher.SearcherAt(out.Actions[1].Searcher)
		if first.Domain == second.Domain {
			t.Errorf("seed %d: both attempts went to domain %s", seed, first.Domain)
		}
	}
}

// TestPastObjectiveGoesLast checks that a sub-request that can still meet its latency
// objective is sent before one that cannot, even if the latter has an earlier deadline
// and a higher priority.
func TestPastObjectiveGoesLast(t *testing.T) {
	var out Output
	dispatcher := &Dispatcher{Policy: DefaultPolicy()}
	dispatcher.Init()
	dispatcher.SetSearchers(0, []Searcher{{ID: "a/1", Slots: 1, ConnLimit: 1}}, &out)
	dispatcher.ConnOpened(0, 0, out.Actions[0].Conn, &out)
	dispatcher.Submit(0, SubRequest{Key: SubRequestKey{Query: 1}, Deadline: 900}, &out)
	dispatcher.Submit(0, SubRequest{Key: SubRequestKey{Query: 2}, Deadline: 500, Priority: 0, LatencyObjective: 50}, &out)
	dispatcher.Submit(60, SubRequest{Key: SubRequestKey{Query: 3}, Deadline: 900, Priority: 1, LatencyObjective: 150}, &out)
	first := out.Actions[len(out.Actions)-1]
	out.Reset()
	dispatcher.HandleReply(100, Reply{Attempt: first.Attempt, Kind: OK, ReusableConn: true}, &out)
	sent := out.Actions[len(out.Actions)-1]
	if sent.Kind != Send || sent.Key.Query != 3 {
		t.Errorf("sent %+v, want query 3", sent)
	}
}

// TestMinWarmConns checks that two connections stay open to a searcher that closes
// idle ones, so that two concurrent requests stay in the local failure domain.
func TestMinWarmConns(t *testing.T) {
	var out Output
	dispatcher := &Dispatcher{Policy: RoutePolicy(), Domain: "d1"}
	dispatcher.Init()
	dispatcher.SetWarmConns(0, WarmConnTargets{Local: 3, Remote: 1, Owner: true}, &out)
	dispatcher.SetSearchers(0, []Searcher{
		{ID: "local", Domain: "d1", Slots: 2, ConnLimit: 4}, {ID: "remote", Domain: "d2", Slots: 2, ConnLimit: 4},
	}, &out)
	open := make(map[ConnID]bool) // open connections; true: to the local searcher
	for now := grclock.Millis(0); now < 20*grclock.Second; now += 100 {
		actions := out.Actions
		out = Output{}
		for _, a := range actions {
			local := dispatcher.SearcherAt(a.Searcher).ID == "local"
			switch {
			case a.Kind == OpenConn:
				dispatcher.ConnOpened(now, a.Searcher, a.Conn, &out)
				open[a.Conn] = local
			case a.Kind == CloseConn:
				delete(open, a.Conn)
			}
		}
		dispatcher.Tick(now, &out)
		for conn, local := range open {
			if local && now%(4*grclock.Second) == 0 && now > 0 {
				dispatcher.ConnLost(now, 0, conn, &out)
				break
			}
		}
	}
	out = Output{}
	for query := range 2 {
		dispatcher.Submit(20*grclock.Second, SubRequest{Key: SubRequestKey{Query: grident.QueryID(query + 1)}, Deadline: 30 * grclock.Second}, &out)
	}
	for _, a := range out.Actions {
		if a.Kind == Send && dispatcher.SearcherAt(a.Searcher).ID != "local" {
			t.Errorf("sub-request sent to the remote domain: %+v", a)
		}
	}
}
