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
	Bound   QuotaBound     // with requests for a quota
	Members int            // instances that may be running; with requests for a quota
	// CautiousFrom is the time until which another run or instance may have granted units of a quota
	// that are not known.
	CautiousFrom grclock.Millis

	terms      QuotaTerms // newest that a requester knew; none for limits that upstreams state
	contacts   contacts
	granted    map[grident.InstanceID]int // of a quota: units of the last answer to each requester
	record     Record
	units      float64
	window     slidingWindow // of a quota: units granted
	refilledAt grclock.Millis
	promises   []promise // at most one for each requester
	usedAt     grclock.Millis
	opening    float64 // units at the opening that were not added yet
	opened     bool    // they were added
	// cautiousUntil is the end of the time in which hardly any units are added; 0: there is none.
	cautiousUntil grclock.Millis
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
		if request.Terms.Version > 0 {
			// Nobody has granted units of the quota since OpensAt, or for a long time.
			l.refilledAt = max(now-grclock.Minute, l.OpensAt)
		}
	}
	l.usedAt = now
	l.promises = slices.DeleteFunc(l.promises, func(p promise) bool { return p.due+promiseTime < now })
	if request.Terms.Version > 0 {
		return l.grantQuota(now, from, &request, share)
	}
	l.record.Update(now, request.Statement, request.Age)
	grant := Grant{Statement: l.record.Statement(), Age: l.record.Age(now)}
	if !l.record.Limited() {
		return grant
	}
	rate := max(l.record.Statement().Rate, probeRate) * Rate(share)
	l.refill(now, rate, 1+max(1, rate.per(batchTime)))
	l.grantUnits(now, from, request.Wanted, l.keptForOthers(now, from), rate, &grant)
	return grant
}

// OpenBy brings OpensAt forward, since the previous allocator has ceased to grant.
func (l *Allocator) OpenBy(at grclock.Millis) {
	if at < l.OpensAt {
		l.OpensAt = at
		l.refilledAt = min(l.refilledAt, at)
	}
}

// Handover is what an instance that ceased to allocate a quota tells its successor.
type Handover struct {
	Granted  int  // units within the span of the bound
	Left     int  // units that it could have granted at once
	Complete bool // no other instance granted units within the span
}

// Handover returns what the successor has to know.
func (l *Allocator) Handover(now grclock.Millis) Handover {
	span := l.Bound.span()
	return Handover{Granted: l.window.count(now, span), Left: int(max(l.units, 0)), Complete: now >= l.OpensAt+span && l.usedAt > 0}
}

// TakeOver opens the allocator with what its predecessor told.
func (l *Allocator) TakeOver(now grclock.Millis, h Handover) {
	span := l.Bound.span()
	l.OpensAt, l.CautiousFrom, l.refilledAt = now-span, 0, now
	l.units, l.opening, l.opened, l.cautiousUntil = float64(max(h.Left, 0)), 0, true, 0
	l.window.add(now, span, max(h.Granted, 0))
}

// OpenConfirmed brings OpensAt forward, since every instance that may be running has confirmed
// that it takes this one for the allocator, after a start of all. granted are the units that they
// granted before.
func (l *Allocator) OpenConfirmed(now grclock.Millis, granted int) {
	if now < l.OpensAt {
		l.OpenBy(now)
		l.CautiousFrom = now // Another instance may have granted until now.
		l.opening, l.opened = max(l.Bound.openingUnits(l.terms.Quota)-float64(granted), 0), true
		l.window.add(now, l.Bound.span(), granted)
	}
}

// Reopen stops granting until a time, since another instance may have granted meanwhile.
func (l *Allocator) Reopen(at grclock.Millis) {
	l.OpensAt, l.refilledAt, l.units = at, at, 0
	l.window = slidingWindow{}
	l.opening = 0
	clear(l.granted)
}

// grantQuota answers a request for units of a quota. The parts of steady requesters that have
// become silent are reserved for them.
func (l *Allocator) grantQuota(now grclock.Millis, from grident.InstanceID, request *Request, share float64) Grant {
	if request.Terms.Version >= l.terms.Version {
		l.terms = request.Terms
	}
	if l.contacts == nil {
		l.contacts = make(contacts)
	}
	delete(l.contacts, string(from))
	if request.Steady {
		l.contacts[string(from)] = now
	}
	reserved := float64(l.contacts.silent(now)) / float64(max(l.Members, 1))
	share = max(min(share, 1-reserved), 1/float64(max(l.Members, 1)))
	returned := min(max(request.Unused, 0), l.granted[from])
	l.window.add(now, l.Bound.span(), -returned)
	l.units += float64(returned)
	rate := l.refillQuota(now, share)
	l.window.add(now, l.Bound.span(), min(max(request.Used, 0), maxReported))
	grant := Grant{Opening: now < l.OpensAt}
	wanted := min(request.Wanted, l.leftInWindow(now, share))
	// Units are not kept for requesters that were promised one: their requests have ended by
	// then, and with more promises than units nobody would get any.
	l.grantUnits(now, from, wanted, 0, rate, &grant)
	if wanted < request.Wanted && grant.Units == wanted {
		grant.NextUnit = max(l.promise(now, from, rate), l.window.untilFree(now, l.Bound.span()))
	}
	l.window.add(now, l.Bound.span(), grant.Units)
	l.recordGranted(from, grant.Units)
	return grant
}

// refillQuota adds the units for the elapsed time and returns the rate of the next ones. Within a
// span of the opening the window may hold units that a previous allocator granted.
func (l *Allocator) refillQuota(now grclock.Millis, share float64) Rate {
	q := l.terms.Quota
	rate, capacity := l.Bound.grantRate(q)*Rate(share), l.Bound.capacity(q)
	if l.OpensAt > 0 {
		if l.cautiousUntil = 0; l.CautiousFrom > 0 {
			l.cautiousUntil = l.CautiousFrom + l.Bound.cautiousTime(q)
		}
		handoverUntil := max(l.OpensAt+l.Bound.span(), l.cautiousUntil)
		l.refill(min(now, l.cautiousUntil), l.Bound.cautiousRate(q)*Rate(share), capacity)
		l.refill(min(now, handoverUntil), l.Bound.handoverRate(q)*Rate(share), capacity)
		if now < handoverUntil {
			rate = l.Bound.handoverRate(q) * Rate(share)
		}
	}
	l.refill(now, rate, capacity)
	if now >= l.OpensAt {
		if !l.opened && l.OpensAt > 0 && l.OpensAt < l.cautiousUntil {
			l.opening = l.Bound.openingUnits(q)
		}
		l.opened = true
		l.units, l.opening = min(l.units+l.opening*share, capacity), 0
	}
	return rate
}

// maxReported bounds the units that one request may report as used without the allocator.
const maxReported = 1000

// leftInWindow returns the units of a quota that may still be granted within the span.
func (l *Allocator) leftInWindow(now grclock.Millis, share float64) int {
	most := int(min(l.Bound.windowUnits(l.terms.Quota)*share, math.MaxInt32)) // An int cannot hold any number.
	return max(max(most, 1)-l.window.count(now, l.Bound.span()), 0)
}

// recordGranted records the units that a requester may hand back with its next request.
func (l *Allocator) recordGranted(to grident.InstanceID, units int) {
	if l.granted == nil {
		l.granted = make(map[grident.InstanceID]int)
	}
	l.granted[to] = units
}

// grantUnits grants as many of the wanted units as there are beyond those kept for others, and
// promises the next one if there are too few.
func (l *Allocator) grantUnits(now grclock.Millis, from grident.InstanceID, wanted, kept int, rate Rate, grant *Grant) {
	free := max(l.units-float64(kept), 0)
	grant.Units = int(min(float64(max(wanted, 0)), free))
	l.units -= float64(grant.Units)
	if grant.Units > 0 {
		l.promises = slices.DeleteFunc(l.promises, func(p promise) bool { return p.to == from })
	}
	grant.Interval = roundedUp(rate.interval() * float64(1+len(l.promises)))
	if grant.Units < wanted {
		grant.NextUnit = l.promise(now, from, rate)
	}
}

// refill adds the units for the elapsed time, up to the capacity.
func (l *Allocator) refill(now grclock.Millis, rate Rate, capacity float64) {
	elapsed := max(now-l.refilledAt, 0)
	l.units = min(l.units+rate.per(elapsed), capacity)
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
	wait := max(l.OpensAt-now, l.cautiousUntil-now, 0) + max(roundedUp(rate.interval()*missing), 1)
	l.promises = append(l.promises, promise{to, now + wait})
	return wait
}

// maxInterval limits the expected times between units, so that they do not overflow.
const maxInterval = grclock.Hour

// roundedUp returns a number of milliseconds rounded up, at most maxInterval. It is 1 for a
// number that is none.
func roundedUp(milliseconds float64) grclock.Millis {
	if math.IsNaN(milliseconds) {
		return 1
	}
	return grclock.Millis(min(math.Ceil(milliseconds), float64(maxInterval)))
}

// Idle returns the time since the last request.
func (l *Allocator) Idle(now grclock.Millis) grclock.Millis { return now - l.usedAt }
