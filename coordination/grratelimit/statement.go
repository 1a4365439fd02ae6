// Package grratelimit keeps the requests to each upstream within the rate limit that it
// states, over all instances together, even if they learn of the limit at different times.
//
// An upstream states its limit in its answers, for as long as it is in need; a Record keeps
// the newest Statement, which an instance receives itself or learns from another. One instance allocates the limit: its Allocator hands out units, each
// good for one request within LeaseTime, at the stated rate. Every instance, that one
// included, asks for units when it has requests for the upstream and keeps what it gets in
// an Allowance. Without a unit no request is sent, whatever its kind: first attempts,
// retries and hedges use units alike.
//
// So the sum depends on one instance only, not on how many there are or how their demand is
// divided, and a limit below one request per second for each instance can still be used up.
// If another instance takes over the allocation, it grants nothing for HandoverTime, until
// the units of the previous one have expired.
//
//	allowance.State(now, statement)
//	if request, ok := allowance.Ask(now, true); ok {
//		allowance.Granted(now, now, allocator.Grant(now, "entry-1", request, 1))
//	}
//	if allowance.Permits(now) {
//		allowance.Use(now)
//	}
package grratelimit

import (
	"strconv"

	"geraniumrouter/state/grclock"
)

// Rate is a number of requests per second.
type Rate float64

// per returns the number of requests in a time span.
func (r Rate) per(span grclock.Millis) float64 {
	return float64(r) * float64(span) / float64(grclock.Second)
}

// interval returns the time between two requests.
func (r Rate) interval() float64 { return float64(grclock.Second) / float64(r) }

// StatementKind tells what an answer says about the rate limit of its upstream.
type StatementKind uint8

// Kinds of statements.
const (
	Unstated  StatementKind = iota // the answer does not say whether there is a limit
	Unlimited                      // there is no limit
	Limited                        // there is a limit of Rate
)

// Statement is what an answer says about the rate limit of its upstream.
type Statement struct {
	Kind StatementKind
	Rate Rate // with Limited only; not negative and not infinite
}

// String returns the statement for logs: the rate, or the kind if there is none.
func (s Statement) String() string {
	switch s.Kind {
	case Limited:
		return strconv.FormatFloat(float64(s.Rate), 'f', -1, 64)
	case Unlimited:
		return "unlimited"
	}
	return "unstated"
}

// Record keeps the newest statement of one upstream. The zero value has none.
type Record struct {
	statement Statement
	at        grclock.Millis
}

// Update records a statement that was received the given time ago, by this instance or
// another. It reports whether it replaces a different one; older statements and those that
// are Unstated have no effect.
func (r *Record) Update(now grclock.Millis, s Statement, age grclock.Millis) (changed bool) {
	at := now - max(age, 0)
	if s.Kind == Unstated || r.statement.Kind != Unstated && at < r.at {
		return false
	}
	changed = s != r.statement
	r.statement, r.at = s, at
	return changed
}

// Statement returns the newest statement.
func (r *Record) Statement() Statement { return r.statement }

// Age returns the time since the newest statement was received.
func (r *Record) Age(now grclock.Millis) grclock.Millis { return now - r.at }

// Limited reports whether a limit is in force.
func (r *Record) Limited() bool { return r.statement.Kind == Limited }
