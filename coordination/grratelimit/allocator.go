package grratelimit

import (
	"math"
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// viewDelay is the time within which instances that can reach each other agree on the
// members.
const viewDelay = 1500 * grclock.Millisecond

// HandoverTime is the time from a change of the members until an instance allocates the
// limit of an upstream that another one may have allocated before.
const HandoverTime = LeaseTime + viewDelay

// probeRate replaces lower limits, 0 included: without any request there would be no
// answer that ends the limit.
const probeRate Rate = 0.1

// promiseTime is how long a promised unit is kept for the requester after it was due.
const promiseTime = 3 * minAskInterval

// Allocator hands out the units of one upstream's rate limit to all instances. A requester
// that gets too few units is promised the next one that nobody else was promised. OpensAt
// is set before use.
type Allocator struct {
	OpensAt grclock.Millis // before it nothing is granted

	record     Record
	units      float64
	refilledAt grclock.Millis
	promises   []promise // at most one for each requester
	usedAt     grclock.Millis
}

// promise is a unit that is kept for a requester.
type promise struct {
	to  grident.InstanceID
	due grclock.Millis
}

// Grant answers a request for units. share is the fraction of the limit that may be
// granted; the rest is left to instances that cannot be reached.
func (l *Allocator) Grant(now grclock.Millis, from grident.InstanceID, request Request, share float64) Grant {
	if l.usedAt == 0 {
		l.refilledAt = max(now, l.OpensAt)
	}
	l.usedAt = now
	l.record.Update(now, request.Statement, request.Age)
	grant := Grant{Statement: l.record.Statement(), Age: l.record.Age(now)}
	if !l.record.Limited() {
		return grant
	}
	rate := max(l.record.Statement().Rate, probeRate) * Rate(share)
	l.refill(now, rate)
	l.promises = slices.DeleteFunc(l.promises, func(p promise) bool { return p.due+promiseTime < now })
	free := max(l.units-float64(l.keptForOthers(now, from)), 0)
	grant.Units = int(min(float64(max(request.Wanted, 0)), free))
	l.units -= float64(grant.Units)
	if grant.Units > 0 {
		l.promises = slices.DeleteFunc(l.promises, func(p promise) bool { return p.to == from })
	}
	grant.Interval = grclock.Millis(math.Ceil(rate.interval() * float64(1+len(l.promises))))
	if grant.Units < request.Wanted {
		grant.NextUnit = l.promise(now, from, rate)
	}
	return grant
}

// refill adds the units for the elapsed time, up to those of batchTime and one more, for
// requesters that come late.
func (l *Allocator) refill(now grclock.Millis, rate Rate) {
	elapsed := max(now-l.refilledAt, 0)
	l.units = min(l.units+rate.per(elapsed), 1+max(1, rate.per(batchTime)))
	l.refilledAt += elapsed
}

// keptForOthers returns the number of units that are kept for other requesters at present.
func (l *Allocator) keptForOthers(now grclock.Millis, from grident.InstanceID) int {
	n := 0
	for _, p := range l.promises {
		if p.to != from && p.due <= now {
			n++
		}
	}
	return n
}

// promise promises the requester the next unit that nobody was promised, unless it has been
// promised one before. It returns the time until the unit is due.
func (l *Allocator) promise(now grclock.Millis, to grident.InstanceID, rate Rate) grclock.Millis {
	for _, p := range l.promises {
		if p.to == to {
			return max(p.due-now, 1)
		}
	}
	missing := max(float64(1+len(l.promises))-l.units, 0)
	wait := max(l.OpensAt-now, 0) + max(grclock.Millis(math.Ceil(rate.interval()*missing)), 1)
	l.promises = append(l.promises, promise{to, now + wait})
	return wait
}

// Idle returns the time since the last request.
func (l *Allocator) Idle(now grclock.Millis) grclock.Millis { return now - l.usedAt }
