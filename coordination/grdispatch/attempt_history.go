package grdispatch

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// AttemptHistory tells which attempts of a sub-request were sent and how they ended, to
// explain a missing answer.
type AttemptHistory struct {
	Sent         int                // attempts sent that may have started
	Waiting      bool               // waiting for a searcher with capacity
	Searcher     grident.SearcherID // of the oldest attempt in flight, or else of the last that ended
	InFlightAge  grclock.Millis     // age of the oldest attempt in flight in ms; 0: none in flight
	AttemptEnded bool               // an attempt ended without an answer, with outcome LastKind
	LastKind     ReplyKind
	RateLimited  bool // a rate limit kept it from a searcher
	Refused      bool // every searcher has asked for no attempts for a time
}

// AttemptHistory returns the attempt history of a sub-request that has not ended.
func (d *Dispatcher) AttemptHistory(now grclock.Millis, key SubRequestKey) AttemptHistory {
	index, ok := d.byKey[key]
	if !ok {
		return AttemptHistory{}
	}
	return d.historyOf(now, &d.subs[index])
}

func (d *Dispatcher) historyOf(now grclock.Millis, s *pendingRequest) AttemptHistory {
	h := AttemptHistory{Sent: int(s.sent), Waiting: s.queued, Searcher: s.lastSearcher, AttemptEnded: s.attemptEnded, LastKind: s.lastKind, RateLimited: s.heldBack, Refused: s.refused}
	for _, id := range s.attempts[:s.sent] {
		a := d.findAttempt(id)
		if a == nil || now-a.sentAt < h.InFlightAge {
			continue
		}
		h.InFlightAge, h.Searcher = max(now-a.sentAt, 1), d.searchers[a.searcher].ID
	}
	return h
}

// String returns the name of the outcome in logs.
func (k ReplyKind) String() string {
	return [...]string{
		OK: "ok", Shed: "shed", Draining: "draining", Behind: "behind", Gone: "gone", Failed: "failed",
		Cancelled: "cancelled", Refused: "refused", LostReply: "lost_reply", Dropped: "dropped",
		Withheld: "withheld", UnprovenRefusal: "unproven_refusal",
	}[k]
}
