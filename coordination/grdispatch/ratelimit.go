package grdispatch

import (
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// RateLimitChange reports that a searcher states another rate limit than before.
type RateLimitChange struct {
	Service  int32 // set by the router
	Searcher grident.SearcherID
	Old, New grratelimit.Statement
}

// AttemptCounts counts the attempts sent to one searcher, by kind.
type AttemptCounts struct{ First, Hedged, Retried, Resent uint64 }

// RateLimitUse describes the use of a searcher that states a rate limit.
type RateLimitUse struct {
	Searcher  grident.SearcherID
	Statement grratelimit.Statement
	Age       grclock.Millis // since the statement was last received
	Attempts  AttemptCounts  // sent by this instance since the searcher first stated a limit
}

// searcherRateLimit is the rate limit that a searcher states.
type searcherRateLimit struct {
	statement grratelimit.Statement
	statedAt  grclock.Millis
	attempts  AttemptCounts
}

// recordRateLimit records what a searcher said about its rate limit.
func (d *Dispatcher) recordRateLimit(now grclock.Millis, r *searcherState, s grratelimit.Statement, out *Output) {
	if s.Kind == grratelimit.Unstated {
		return
	}
	limit := &r.rateLimit
	limit.statedAt = now
	if s == limit.statement {
		return
	}
	if limit.statement.Kind == grratelimit.Limited || s.Kind == grratelimit.Limited {
		out.RateLimitChanges = append(out.RateLimitChanges, RateLimitChange{Searcher: r.ID, Old: limit.statement, New: s})
	}
	limit.statement = s
}

// countLimited counts an attempt sent to a searcher that states a rate limit.
func (l *searcherRateLimit) countLimited(kind attemptKind) {
	if l.statement.Kind != grratelimit.Limited {
		return
	}
	switch kind {
	case firstAttempt:
		l.attempts.First++
	case hedgedAttempt:
		l.attempts.Hedged++
	case resentAttempt:
		l.attempts.Resent++
	case retriedAttempt:
		l.attempts.Retried++
	}
}

// RateLimitUses describes the use of each searcher that states a rate limit.
func (d *Dispatcher) RateLimitUses(now grclock.Millis) []RateLimitUse {
	var list []RateLimitUse
	for i := range d.searchers {
		r := &d.searchers[i]
		if limit := &r.rateLimit; r.present && limit.statement.Kind == grratelimit.Limited {
			list = append(list, RateLimitUse{r.ID, limit.statement, now - limit.statedAt, limit.attempts})
		}
	}
	return list
}
