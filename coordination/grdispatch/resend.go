package grdispatch

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Resend reports that a sub-request that is not idempotent will be sent again, and the
// attempt whose outcome is taken as proof that no searcher has started it.
type Resend struct {
	Service  int32 // set by the router
	Key      SubRequestKey
	Searcher grident.SearcherID
	Conn     ConnID
	Attempt  grident.AttemptID
	Outcome  ReplyKind
	Age      grclock.Millis // of the attempt
}

func (d *Dispatcher) reportResend(now grclock.Millis, s *pendingRequest, ended *attempt, outcome ReplyKind, out *Output) {
	if !s.NonIdempotent {
		return
	}
	out.Resends = append(out.Resends, Resend{
		Key: s.Key, Searcher: d.searchers[ended.searcher].ID, Conn: ended.conn, Attempt: ended.id, Outcome: outcome, Age: now - ended.sentAt,
	})
}
