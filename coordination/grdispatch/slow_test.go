package grdispatch

import (
	"testing"

	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// simulate submits a sub-request every 40 ms to a local and a remote searcher, whose
// latencies the function latency returns. It returns the times of the attempts at the
// local searcher.
func simulate(t *testing.T, span grclock.Millis, latency func(now grclock.Millis, searcher int32) grclock.Millis) (sentAt []grclock.Millis) {
	t.Helper()
	var out Output
	dispatcher := &Dispatcher{Policy: RoutePolicy(), Domain: "d1", HedgeBudget: &grstat.TokenBucket{Capacity: 1e6}}
	dispatcher.HedgeBudget.Fill()
	dispatcher.Init()
	dispatcher.SetWarmConns(0, WarmConnTargets{Local: 3, Remote: 3}, &out)
	dispatcher.SetSearchers(0, []Searcher{
		{ID: "local", Domain: "d1", Slots: 2, ConnLimit: 4}, {ID: "remote", Domain: "d2", Slots: 2, ConnLimit: 4},
	}, &out)
	due := make(map[grclock.Millis][]grident.AttemptID)
	for now := grclock.Millis(0); now < span; now++ {
		if now%40 == 0 {
			dispatcher.Submit(now, SubRequest{Key: SubRequestKey{Query: grident.QueryID(now + 1)}, Deadline: now + 1000, HedgeDelay: 30, MaxAttempts: 2}, &out)
		}
		for _, id := range due[now] {
			dispatcher.HandleReply(now, Reply{Attempt: id, Kind: OK, ReusableConn: true}, &out)
		}
		dispatcher.Tick(now, &out)
		actions := out.Actions
		out = Output{}
		for _, a := range actions {
			switch a.Kind {
			case OpenConn:
				dispatcher.ConnOpened(now, a.Searcher, a.Conn, &out)
			case Send:
				if a.Searcher == 0 {
					sentAt = append(sentAt, now)
				}
				end := now + max(1, latency(now, a.Searcher))
				due[end] = append(due[end], a.Attempt)
			}
		}
	}
	return sentAt
}

// TestSlowSearcherTriedRarely checks that a searcher that stays slow is tried at most
// about once a second, since each try costs a hedge.
func TestSlowSearcherTriedRarely(t *testing.T) {
	const span = 20 * grclock.Second
	sentAt := simulate(t, span, func(_ grclock.Millis, searcher int32) grclock.Millis {
		if searcher == 0 {
			return 120
		}
		return 10
	})
	if most := int(span / grclock.Second); len(sentAt) > most {
		t.Errorf("slow searcher got %d attempts in %d ms, want at most one per second", len(sentAt), span)
	}
}

// TestPausedSearcherTriedSoon checks that a searcher is used again within a second
// after a single pause.
func TestPausedSearcherTriedSoon(t *testing.T) {
	const from, until = 10 * grclock.Second, 10*grclock.Second + 120
	sentAt := simulate(t, 20*grclock.Second, func(now grclock.Millis, searcher int32) grclock.Millis {
		if searcher == 0 && now >= from && now < until {
			return until - now + 10
		}
		return 10
	})
	before, after := 0, 0
	for _, at := range sentAt {
		switch {
		case at < from:
			before++
		case at >= until && at < until+grclock.Second:
			after++
		}
	}
	if before < 200 || after < 5 {
		t.Errorf("local searcher got %d attempts before its pause, want at least 200; %d in the second after, want at least 5", before, after)
	}
}

// TestHedgesLeaveRetryBudget checks that hedges leave a unit of a shared budget for
// the retry of a failed sub-request, however many attempts are slow.
func TestHedgesLeaveRetryBudget(t *testing.T) {
	var out Output
	budget := &grstat.TokenBucket{Capacity: 3}
	budget.Fill()
	dispatcher := &Dispatcher{Policy: RoutePolicy(), HedgeBudget: budget, RetryBudget: budget}
	dispatcher.Init()
	dispatcher.SetWarmConns(0, WarmConnTargets{Local: 9, Remote: 9}, &out)
	dispatcher.SetSearchers(0, []Searcher{{ID: "a", Slots: 9, ConnLimit: 9}, {ID: "b", Slots: 9, ConnLimit: 9}}, &out)
	actions := out.Actions
	out = Output{}
	for _, a := range actions {
		dispatcher.ConnOpened(0, a.Searcher, a.Conn, &out)
	}
	for query := range 5 {
		dispatcher.Submit(1, SubRequest{Key: SubRequestKey{Query: grident.QueryID(query + 1)}, Deadline: 5000, HedgeDelay: 30, MaxAttempts: 2}, &out)
	}
	dispatcher.Tick(100, &out)
	out = Output{}
	dispatcher.Submit(100, SubRequest{Key: SubRequestKey{Query: 9}, Deadline: 5000, HedgeDelay: 3000, MaxAttempts: 2}, &out)
	first := out.Actions[0]
	out = Output{}
	dispatcher.HandleReply(110, Reply{Attempt: first.Attempt, Kind: LostReply}, &out)
	for _, a := range out.Actions {
		if a.Kind == Send && a.Key.Query == 9 {
			return
		}
	}
	t.Errorf("failed sub-request was not retried: actions %+v, done %+v", out.Actions, out.Done)
}
