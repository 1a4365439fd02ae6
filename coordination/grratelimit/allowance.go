package grratelimit

import (
	"math"

	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// LeaseTime is the time after the request for units in which they may be used.
const LeaseTime = grclock.Second

// Timing of the requests for units.
const (
	batchTime      = 200 * grclock.Millisecond // units are requested for the demand of this time
	demandHalfLife = 300 * grclock.Millisecond // of the estimated demand
	minAskInterval = 50 * grclock.Millisecond  // between an answer with too few units and the next request
	maxAskInterval = grclock.Second            // the limit may have changed by then
	grantHalfLife  = 4 * grclock.Second        // of the estimated rate of granted units
	answerTimeout  = 500 * grclock.Millisecond // from a request without an answer to the next one
)

// Request asks an allocator for units.
type Request struct {
	Statement Statement // newest known to the requester
	Age       grclock.Millis
	Wanted    int
	Terms     QuotaTerms // of a quota; the statement is empty then
	Unused    int        // of a quota: units of the last grant that were not used
	Used      int        // of a quota: units of the reserve that were used since the last request
	Reserve   bool       // of a quota: units of the reserve are requested
	Ceded     float64    // of a quota, with Reserve: units of the requester's own part that it leaves to the holder
	Steady    bool       // of a quota: further requests follow within reserveAfter, or one that is not steady
}

// Grant answers a Request.
type Grant struct {
	Units     int
	NextUnit  grclock.Millis // expected time until the requester can get a further unit
	Interval  grclock.Millis // expected time between its units after that
	Statement Statement      // newest known to the allocator
	Age       grclock.Millis
	Refused   bool               // the instance does not allocate the limit
	Allocator grident.InstanceID // with Refused: the instance that allocates it, as far as known
	Opening   bool               // of a quota: the instance does not grant units yet; units are of the reserve
	Handover  Handover           // of a quota, with Refused: what the instance granted before
}

// Allowance is the part of an upstream's rate limit that one instance may use. The zero
// value permits everything, as no limit is known.
type Allowance struct {
	terms     QuotaTerms     // of a quota; none for limits that upstreams state
	leaseTime grclock.Millis // of units of a quota; 0: LeaseTime
	unused    int            // units of a quota that expired or were returned since the last request

	record     Record
	leases     []lease // oldest first
	demand     grstat.EventRate
	granted    grstat.EventRate
	asked      bool // a request awaits its answer
	askedAt    grclock.Millis
	askAgainAt grclock.Millis
	nextUnitAt grclock.Millis // expected time of the next unit
	interval   grclock.Millis // expected time between units after that
}

// lease is a number of units that were granted together.
type lease struct {
	units int
	until grclock.Millis
}

// State records a statement that the upstream just made. It reports whether it differs
// from the one before.
func (a *Allowance) State(now grclock.Millis, s Statement) (changed bool) { return a.update(now, s, 0) }

// update records a statement. Units of a higher limit are dropped.
func (a *Allowance) update(now grclock.Millis, s Statement, age grclock.Millis) (changed bool) {
	old := a.record.Statement()
	changed = a.record.Update(now, s, age)
	if changed && (old.Kind != Limited || s.Kind != Limited || s.Rate < old.Rate) {
		a.leases = nil
	}
	return changed
}

// freshTime is the age up to which an own statement is taken for newer than a learned one.
const freshTime = grclock.Second

// Learn records a statement that another instance received at an unknown time. It has no
// effect if the upstream itself said something recently. It reports whether the statement
// changed by it.
func (a *Allowance) Learn(now grclock.Millis, s Statement) (changed bool) {
	if a.record.Statement().Kind != Unstated && a.record.Age(now) < freshTime {
		return false
	}
	return a.update(now, s, freshTime)
}

// Record returns the newest statement.
func (a *Allowance) Record() *Record { return &a.record }

// Limited reports whether a limit is in force.
func (a *Allowance) Limited() bool { return a.record.Limited() }

// Units returns the units that are left.
func (a *Allowance) Units(now grclock.Millis) int {
	n := 0
	for _, l := range a.leases {
		if l.until > now {
			n += l.units
		}
	}
	return n
}

// Permits reports whether a request may be sent.
func (a *Allowance) Permits(now grclock.Millis) bool { return !a.Limited() || a.Units(now) > 0 }

// Use takes a unit for a request that is sent. Permits must have allowed it.
func (a *Allowance) Use(now grclock.Millis) {
	if !a.Limited() {
		return
	}
	a.dropExpired(now)
	if len(a.leases) > 0 {
		a.leases[0].units--
	}
}

// dropExpired removes the leases without a unit that may be used.
func (a *Allowance) dropExpired(now grclock.Millis) {
	for len(a.leases) > 0 && (a.leases[0].until <= now || a.leases[0].units == 0) {
		a.unused += a.leases[0].units
		a.leases = a.leases[1:]
	}
}

// batchTime returns the time for whose demand units are requested.
func (a *Allowance) batchTime() grclock.Millis {
	if a.leaseTime > 0 {
		return a.leaseTime / 2
	}
	return batchTime
}

// minAskInterval returns the shortest time between an answer with too few units and the next
// request.
func (a *Allowance) minAskInterval() grclock.Millis {
	if a.leaseTime > 0 {
		return a.leaseTime / 10
	}
	return minAskInterval
}

// answerTimeout returns the time from a request without an answer to the next one.
func (a *Allowance) answerTimeout() grclock.Millis {
	if a.leaseTime > 0 {
		return a.leaseTime / 2
	}
	return answerTimeout
}

// lease returns the time after the request for units in which they may be used.
func (a *Allowance) lease() grclock.Millis {
	if a.leaseTime > 0 {
		return a.leaseTime
	}
	return LeaseTime
}

// Want records that one more request is for this upstream, whether or not a unit is left
// for it.
func (a *Allowance) Want(now grclock.Millis) {
	a.demand.Add(now, 1, demandHalfLife)
}

// Ask returns a request for units, if one is due. With waiting set, a request that only
// this upstream can take waits for a unit; otherwise units are requested in advance, if
// the demand suggests that they will be used.
func (a *Allowance) Ask(now grclock.Millis, waiting bool) (Request, bool) {
	if !a.Limited() || now < a.AskAt() {
		return Request{}, false
	}
	demand := Rate(a.demand.PerSecond(now, demandHalfLife))
	wanted := max(1, int(math.Ceil(demand.per(a.batchTime()))))
	if !waiting && (2*a.Units(now) > wanted || demand.per(a.lease()) < 1) {
		return Request{}, false
	}
	a.asked, a.askedAt = true, now
	return Request{Statement: a.record.Statement(), Age: a.record.Age(now), Wanted: wanted}, true
}

// AskAt returns the time from which on units may be requested.
func (a *Allowance) AskAt() grclock.Millis {
	if a.asked {
		return a.askedAt + a.answerTimeout()
	}
	return a.askAgainAt
}

// Denied reports whether no units can be requested at present, since too few were granted
// to the last request.
func (a *Allowance) Denied(now grclock.Millis) bool { return !a.asked && now < a.askAgainAt }

// Granted records the answer to the request that was made at askedAt. It reports whether
// the statement of the upstream changed by it.
func (a *Allowance) Granted(now, askedAt grclock.Millis, g Grant) (changed bool) {
	if g.Refused {
		a.Failed(now)
		return false
	}
	a.asked = false
	// The age does not include the way to the allocator and back, so the statement may be
	// older than one received here meanwhile.
	changed = a.update(askedAt, g.Statement, g.Age)
	if g.Units > 0 {
		a.leases = append(a.leases, lease{g.Units, askedAt + a.lease()})
		a.granted.Add(now, g.Units, grantHalfLife)
	}
	a.askAgainAt, a.nextUnitAt, a.interval = now, now+g.NextUnit, g.Interval
	if g.NextUnit > 0 {
		a.askAgainAt = now + min(max(g.NextUnit, a.minAskInterval()), maxAskInterval)
	}
	return changed
}

// Failed records that the request for units got no answer, or that the instance that got
// it does not allocate the limit.
func (a *Allowance) Failed(now grclock.Millis) {
	a.asked = false
	a.askAgainAt = now + a.answerTimeout()
	a.nextUnitAt = a.askAgainAt
}

// Wait returns the expected time until a unit is left for a request that is sent after
// the given number of others. Once the next unit is due, it is 0 for the first request, so
// that units are requested again.
func (a *Allowance) Wait(now grclock.Millis, ahead int) grclock.Millis {
	left := a.Units(now)
	if !a.Limited() || ahead < left {
		return 0
	}
	return max(a.nextUnitAt-now, 0) + a.interval*grclock.Millis(ahead-left)
}

// GrantedPerSecond returns the recent rate of units that were granted.
func (a *Allowance) GrantedPerSecond(now grclock.Millis) float64 {
	return a.granted.PerSecond(now, grantHalfLife)
}
