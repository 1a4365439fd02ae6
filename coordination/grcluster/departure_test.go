package grcluster

import (
	"testing"

	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// listedRun returns an entry of a run of the searcher a at an address.
func listedRun(run grident.Incarnation, address grident.Address, at grident.Revision) ListedSearcher {
	s := listed("a", at)
	s.Incarnation, s.Address = run, address
	return s
}

// exchangeItems passes everything that one instance holds on to another.
func exchangeItems(now grclock.Millis, from, to *listReader) {
	from.items.All(func(item Item) {
		to.runStep(now, &to.out, func() { to.put(now, item.Key, item.Version, item.Value) })
	})
}

// TestDepartureOutlastsList guards against a list of searchers that revokes what a searcher has
// announced itself, at the instance that got the announcement and at those it told.
func TestDepartureOutlastsList(t *testing.T) {
	a, b := newListReader(), newListReader()
	now := grclock.Millis(0)
	for _, step := range []struct {
		when    string
		do      func(r *listReader)
		leaving bool
	}{
		{"listed as ready", func(r *listReader) { r.list(now, 5, listedRun(3, "x:1", 5)) }, false},
		{"announced", func(r *listReader) { r.AnnounceDeparture(now, Departure{"a", 3, "x:1"}, &r.out) }, true},
		{"listed as ready once more", func(r *listReader) { r.list(now, 9, listedRun(3, "x:1", 8)) }, true},
		{"renewed", func(r *listReader) { r.change(now, listedRun(3, "x:1", 10)) }, true},
		{"removed and created again", func(r *listReader) {
			r.change(now, removed("a", 11))
			r.change(now, listedRun(3, "x:1", 12))
		}, true},
		{"restarted", func(r *listReader) { r.change(now, listedRun(4, "x:1", 13)) }, false},
		{"late announcement of the earlier run", func(r *listReader) { r.AnnounceDeparture(now, Departure{"a", 3, "x:1"}, &r.out) }, false},
		{"announced again", func(r *listReader) { r.AnnounceDeparture(now, Departure{"a", 4, "x:1"}, &r.out) }, true},
		{"moved", func(r *listReader) { r.change(now, listedRun(4, "x:2", 14)) }, false},
		{"announced there", func(r *listReader) { r.AnnounceDeparture(now, Departure{"a", 4, "x:2"}, &r.out) }, true},
	} {
		now += grclock.Second
		step.do(a)
		exchangeItems(now, a, b)
		for name, r := range map[string]*listReader{"this instance": a, "another one": b} {
			state, ok := r.stateOf("a")
			if !ok || (state == Leaving) != step.leaving {
				t.Errorf("%s: state %v (listed %v) at %s, want leaving %v", step.when, state, ok, name, step.leaving)
			}
		}
	}
}

// TestDepartureIsPublishedOnce guards against a message to the other instances for each answer of
// a searcher that leaves.
func TestDepartureIsPublishedOnce(t *testing.T) {
	r := newListReader()
	r.PushImmediately = true
	r.list(0, 5, listedRun(3, "x:1", 5))
	r.Receive(0, Message{Items: grgossip.Message[Value]{Items: []Item{memberItem("b", 0)}}}, &r.out)
	r.out.Reset()
	for now := range grclock.Millis(100) {
		r.AnnounceDeparture(now, Departure{"a", 3, "x:1"}, &r.out)
	}
	if len(r.out.Departures) != 1 || len(r.out.Messages) != 1 {
		t.Errorf("%d announcements and %d messages, want one of each", len(r.out.Departures), len(r.out.Messages))
	}
}
