package grratelimit

import (
	"math"

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

// waitingTime is how long a requester that got too few units counts as waiting.
const waitingTime = 2 * maxAskInterval

// Allocator hands out the units of one upstream's rate limit to all instances. OpensAt is
// set before use.
type Allocator struct {
	OpensAt grclock.Millis // before it nothing is granted

	record     Record
	units      float64
	refilledAt grclock.Millis
	waiting    map[grident.InstanceID]grclock.Millis // when requesters last got too few units
	usedAt     grclock.Millis
}

// Grant answers a request for units. share is the fraction of the limit that may be
// granted; the rest is left to instances that cannot be reached.
func (l *Allocator) Grant(now grclock.Millis, from grident.InstanceID, request Request, share float64) Grant {
	l.usedAt = now
	l.record.Update(now, request.Statement, request.Age)
	grant := Grant{Statement: l.record.Statement(), Age: l.record.Age(now)}
	if !l.record.Limited() {
		return grant
	}
	rate := max(l.record.Statement().Rate, probeRate) * Rate(share)
	l.refill(now, rate)
	if now >= l.OpensAt {
		grant.Units = int(min(float64(max(request.Wanted, 0)), l.units))
		l.units -= float64(grant.Units)
	}
	delete(l.waiting, from)
	if grant.Units < request.Wanted {
		grant.NextUnit = l.nextUnit(now, rate)
		l.waiting[from] = now
	}
	return grant
}

// refill adds the units for the elapsed time, up to those of batchTime, or one.
func (l *Allocator) refill(now grclock.Millis, rate Rate) {
	if l.waiting == nil {
		l.waiting = make(map[grident.InstanceID]grclock.Millis)
		l.refilledAt = max(now, l.OpensAt)
	}
	elapsed := max(now-l.refilledAt, 0)
	l.units = min(l.units+rate.per(elapsed), max(1, rate.per(batchTime)))
	l.refilledAt += elapsed
}

// nextUnit returns the expected time until a further requester gets a unit: half of
// those that wait get one before.
func (l *Allocator) nextUnit(now grclock.Millis, rate Rate) grclock.Millis {
	for id, at := range l.waiting {
		if now-at > waitingTime {
			delete(l.waiting, id)
		}
	}
	missing := max(1-l.units, 0) + float64(len(l.waiting))/2
	opening := max(l.OpensAt-now, 0)
	return opening + grclock.Millis(math.Ceil(rate.interval()*missing))
}

// Idle returns the time since the last request.
func (l *Allocator) Idle(now grclock.Millis) grclock.Millis { return now - l.usedAt }
