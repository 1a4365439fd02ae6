package grratelimit

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grroutes"
)

// A cold upstream tolerates few requests until it has warmed up. Requests to it need units that
// its Allocator grants with the terms of a quota, in addition to those of a limit that it states.

// ColdWindow is the window of the bound on the requests to a cold upstream.
const ColdWindow = grclock.Second

// ColdTerms returns the terms of the units for a cold upstream that tolerates the given rate.
// The burst permits the units of one lease time more in each window, so that the rate itself can
// be used up; it stays within the overshoot.
func (b *QuotaBound) ColdTerms(rate Rate, version grroutes.Version) QuotaTerms {
	burst := min(rate.per(b.LeaseTime()), b.Overshoot*float64(rate))
	return QuotaTerms{Quota: grroutes.Quota{PerSecond: float64(rate), Burst: burst}, Version: max(version, 1)}
}

// ColdHandoverTime returns the time from a change of the members until an instance grants units
// for a cold upstream. No window then holds units of the previous allocator.
func (b *QuotaBound) ColdHandoverTime() grclock.Millis { return b.HandoverTime() + b.Window }

// HasUnits reports whether a share of the units of one window is at least one.
func (b *QuotaBound) HasUnits(q grroutes.Quota, share float64) bool {
	return b.windowUnits(q)*share >= 1
}

// ColdAllowance is the part of the units for a cold upstream that one instance holds. SetTerms
// must be called first.
type ColdAllowance struct{ allowance Allowance }

// SetTerms sets the terms of the units.
func (a *ColdAllowance) SetTerms(now grclock.Millis, t QuotaTerms, lease grclock.Millis) {
	a.allowance.terms, a.allowance.leaseTime = t, lease
	a.allowance.record.Update(now, Statement{Kind: Limited, Rate: Rate(t.Quota.PerSecond)}, 0)
}

// Want records that one more request is for this upstream.
func (a *ColdAllowance) Want(now grclock.Millis) { a.allowance.Want(now) }

// Permits reports whether a request may be sent.
func (a *ColdAllowance) Permits(now grclock.Millis) bool { return a.allowance.Units(now) > 0 }

// Denied reports whether no units can be requested at present, since too few were granted to
// the last request.
func (a *ColdAllowance) Denied(now grclock.Millis) bool { return a.allowance.Denied(now) }

// Use takes a unit for a request. Permits must have allowed it. The request must not be sent
// after the time returned.
func (a *ColdAllowance) Use(now grclock.Millis) (sendBy grclock.Millis) {
	a.allowance.dropExpired(now)
	if len(a.allowance.leases) == 0 {
		return now
	}
	sendBy = a.allowance.leases[0].until
	a.allowance.leases[0].units--
	return sendBy
}

// Ask returns a request for units, if one is due; see Allowance.Ask.
func (a *ColdAllowance) Ask(now grclock.Millis, waiting bool) (Request, bool) {
	a.allowance.dropExpired(now)
	request, ok := a.allowance.Ask(now, waiting)
	if !ok {
		return Request{}, false
	}
	request.Statement, request.Age = Statement{}, 0
	request.Terms = a.allowance.terms
	request.Unused, a.allowance.unused = a.allowance.unused, 0
	return request, true
}

// AskAt returns the time from which on units may be requested.
func (a *ColdAllowance) AskAt() grclock.Millis { return a.allowance.AskAt() }

// Granted records the answer to the request that was made at askedAt. One that arrives after the
// lease of its units has no effect.
func (a *ColdAllowance) Granted(now, askedAt grclock.Millis, g Grant) {
	if now >= askedAt+a.allowance.lease() {
		return
	}
	g.Statement = Statement{}
	a.allowance.Granted(now, askedAt, g)
}

// Failed records that the request for units got no answer.
func (a *ColdAllowance) Failed(now grclock.Millis) { a.allowance.Failed(now) }

// Wait returns the expected time until a unit is left for a request that is sent after the given
// number of others.
func (a *ColdAllowance) Wait(now grclock.Millis, ahead int) grclock.Millis {
	return a.allowance.Wait(now, ahead)
}

// Units returns the units that are left.
func (a *ColdAllowance) Units(now grclock.Millis) int { return a.allowance.Units(now) }
