package grdispatch

import (
	"testing"

	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// placesOfWaiting are the places at which a sub-request can wait, each set up by a function
// that returns its dispatcher, and the event that lets the sub-request go on.
var placesOfWaiting = map[string]func(out *Output) (d *Dispatcher, sub SubRequest, proceed func(now grclock.Millis, out *Output)){
	"in the queue": func(out *Output) (*Dispatcher, SubRequest, func(grclock.Millis, *Output)) {
		d := newWaitingDispatcher(1, out)
		first := openAndSend(d, SubRequest{Key: SubRequestKey{Query: 1}, Deadline: 5000}, out)
		return d, SubRequest{}, func(now grclock.Millis, out *Output) {
			d.HandleReply(now, Reply{Attempt: first, Kind: OK, ReusableConn: true}, out)
		}
	},
	"for a connection": func(out *Output) (*Dispatcher, SubRequest, func(grclock.Millis, *Output)) {
		d := newWaitingDispatcher(1, out)
		opening := out.Actions
		return d, SubRequest{}, func(now grclock.Millis, out *Output) {
			d.ConnOpened(now, opening[0].Searcher, opening[0].Conn, out)
		}
	},
	"for the reserved searcher": func(out *Output) (*Dispatcher, SubRequest, func(grclock.Millis, *Output)) {
		d := newWaitingDispatcher(2, out)
		only := SubRequest{OnlySearcher: grident.TagOf("b")}
		busy := only
		busy.Key, busy.Deadline = SubRequestKey{Query: 1}, 5000
		first := openAndSend(d, busy, out)
		return d, only, func(now grclock.Millis, out *Output) {
			d.HandleReply(now, Reply{Attempt: first, Kind: OK, ReusableConn: true}, out)
		}
	},
	"for a unit of a rate limit": func(out *Output) (*Dispatcher, SubRequest, func(grclock.Millis, *Output)) {
		d := newWaitingDispatcher(1, out)
		openAll(d, out)
		limit := grratelimit.Statement{Kind: grratelimit.Limited, Rate: 1}
		d.LearnRateLimit(1, "a", 0, limit, out)
		return d, SubRequest{}, func(now grclock.Millis, out *Output) {
			d.HandleRateLimitGrant(now, &RateLimitGrant{Searcher: "a", AskedAt: 2, Grant: grratelimit.Grant{Units: 1, Statement: limit, Interval: grclock.Second}}, out)
		}
	},
	"for the end of a backoff": func(out *Output) (*Dispatcher, SubRequest, func(grclock.Millis, *Output)) {
		d := newWaitingDispatcher(1, out)
		refused := openAndSend(d, SubRequest{Key: SubRequestKey{Query: 1}, Deadline: 5000}, out)
		d.HandleReply(1, Reply{Attempt: refused, Kind: Shed, ReusableConn: true}, out)
		d.Abandon(1, SubRequestKey{Query: 1}, out)
		return d, SubRequest{}, func(now grclock.Millis, out *Output) { d.Tick(now+100, out) }
	},
}

// newWaitingDispatcher returns a dispatcher with searchers of one slot each.
func newWaitingDispatcher(searchers int, out *Output) *Dispatcher {
	d := &Dispatcher{Policy: DefaultPolicy()}
	d.Policy.FixedWindow = true
	d.Init()
	list := []Searcher{{ID: "a", Slots: 1, ConnLimit: 2}, {ID: "b", Slots: 1, ConnLimit: 2}}
	d.SetSearchers(0, list[:searchers], out)
	return d
}

func openAll(d *Dispatcher, out *Output) {
	actions := out.Actions
	out.Actions = nil
	for _, a := range actions {
		if a.Kind == OpenConn {
			d.ConnOpened(0, a.Searcher, a.Conn, out)
		}
	}
}

// openAndSend opens the connections and sends a sub-request; it returns the attempt.
func openAndSend(d *Dispatcher, s SubRequest, out *Output) grident.AttemptID {
	openAll(d, out)
	out.Reset()
	d.Submit(0, s, out)
	return out.Actions[0].Attempt
}

func countSends(out *Output) (n int) {
	for _, a := range out.Actions {
		if a.Kind == Send {
			n++
		}
	}
	return n
}

// TestWithdrawnNotSent guards against sending a sub-request, from any place at which it can
// wait, after its caller has disconnected.
func TestWithdrawnNotSent(t *testing.T) {
	for place, setUp := range placesOfWaiting {
		for _, withdrawn := range []bool{false, true} {
			var out Output
			d, sub, proceed := setUp(&out)
			sub.Key, sub.Deadline, sub.NonIdempotent = SubRequestKey{Query: 2}, 5000, true
			out.Reset()
			d.Submit(2, sub, &out)
			if countSends(&out) > 0 || len(out.Done) > 0 {
				t.Fatalf("%s: the sub-request does not wait: %+v", place, out)
			}
			if withdrawn {
				d.Withdraw(3, sub.Key, &out)
				if len(out.Done) != 1 || out.Done[0].Kind != NotStarted {
					t.Errorf("%s: withdrawn: %+v, want one NotStarted", place, out.Done)
				}
			}
			out.Reset()
			proceed(4, &out)
			if sent := countSends(&out) > 0; sent == withdrawn {
				t.Errorf("%s: withdrawn %v, sent %v", place, withdrawn, sent)
			}
		}
	}
}
