package grleaf

import (
	"testing"

	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// play sends a sub-request each 40 ms to two searchers, of which takes tells the
// time at each, and returns when the first of them, the nearer, was asked.
func play(t *testing.T, span grclock.Millis, takes func(now grclock.Millis, searcher int32) grclock.Millis) (asked []grclock.Millis) {
	t.Helper()
	var out Out
	leaf := &Leaf{Policy: RoutePolicy(), Domain: "d1", Hedges: &grstat.Budget{Reserve: 1e6}}
	leaf.Hedges.Fill()
	leaf.Init()
	leaf.SetKeep(0, Kept{Near: 3, Far: 3}, &out)
	leaf.SetSearchers(0, []Searcher{
		{ID: "near", Domain: "d1", Slots: 2, Share: 4}, {ID: "far", Domain: "d2", Slots: 2, Share: 4},
	}, &out)
	due := make(map[grclock.Millis][]grid.AttemptID)
	for now := grclock.Millis(0); now < span; now++ {
		if now%40 == 0 {
			leaf.Submit(now, Sub{Key: SubKey{Query: grid.QueryID(now + 1)}, Deadline: now + 1000, HedgeAfter: 30, MaxAttempts: 2}, &out)
		}
		for _, id := range due[now] {
			leaf.Reply(now, Reply{Attempt: id, Kind: OK, KeepConn: true}, &out)
		}
		leaf.Tick(now, &out)
		actions := out.Actions
		out = Out{}
		for _, a := range actions {
			switch a.Kind {
			case OpenConn:
				leaf.ConnOpened(now, a.Searcher, a.Conn, &out)
			case Send:
				if a.Searcher == 0 {
					asked = append(asked, now)
				}
				end := now + max(1, takes(now, a.Searcher))
				due[end] = append(due[end], a.Attempt)
			}
		}
	}
	return asked
}

// TestSlowIsTriedSeldom asks a searcher that is slow for long only now and then,
// for each try costs a second copy.
func TestSlowIsTriedSeldom(t *testing.T) {
	const span = 20 * grclock.Second
	asked := play(t, span, func(_ grclock.Millis, searcher int32) grclock.Millis {
		if searcher == 0 {
			return 120
		}
		return 10
	})
	if most := int(span / grclock.Second); len(asked) > most {
		t.Errorf("a slow searcher was asked %d times in %d ms, want at most once a second", len(asked), span)
	}
}

// TestPausedIsTriedSoon asks a searcher again within a second after it stood still
// for once.
func TestPausedIsTriedSoon(t *testing.T) {
	const from, until = 10 * grclock.Second, 10*grclock.Second + 120
	asked := play(t, 20*grclock.Second, func(now grclock.Millis, searcher int32) grclock.Millis {
		if searcher == 0 && now >= from && now < until {
			return until - now + 10
		}
		return 10
	})
	before, soon := 0, 0
	for _, at := range asked {
		switch {
		case at < from:
			before++
		case at >= until && at < until+grclock.Second:
			soon++
		}
	}
	if before < 200 || soon < 5 {
		t.Errorf("the near searcher was asked %d times before it paused, %d times in the second after", before, soon)
	}
}

// TestRetryIsKept leaves a unit of the budget for a sub-request that fails, however
// many others are late.
func TestRetryIsKept(t *testing.T) {
	var out Out
	budget := &grstat.Budget{Reserve: 3}
	budget.Fill()
	leaf := &Leaf{Policy: RoutePolicy(), Hedges: budget, Retries: budget}
	leaf.Init()
	leaf.SetKeep(0, Kept{Near: 9, Far: 9}, &out)
	leaf.SetSearchers(0, []Searcher{{ID: "a", Slots: 9, Share: 9}, {ID: "b", Slots: 9, Share: 9}}, &out)
	actions := out.Actions
	out = Out{}
	for _, a := range actions {
		leaf.ConnOpened(0, a.Searcher, a.Conn, &out)
	}
	for query := range 5 {
		leaf.Submit(1, Sub{Key: SubKey{Query: grid.QueryID(query + 1)}, Deadline: 5000, HedgeAfter: 30, MaxAttempts: 2}, &out)
	}
	leaf.Tick(100, &out)
	out = Out{}
	leaf.Submit(100, Sub{Key: SubKey{Query: 9}, Deadline: 5000, HedgeAfter: 3000, MaxAttempts: 2}, &out)
	first := out.Actions[0]
	out = Out{}
	leaf.Reply(110, Reply{Attempt: first.Attempt, Kind: LostReply}, &out)
	for _, a := range out.Actions {
		if a.Kind == Send && a.Key.Query == 9 {
			return
		}
	}
	t.Errorf("a sub-request that failed was not sent again: %+v, %+v", out.Actions, out.Done)
}
