package grratelimit

import (
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Place is an instance's place among the members, as far as quotas depend on it.
type Place struct {
	Members  int  // instances that may be running, this one included
	Settled  bool // Members has not grown recently
	Starting bool // the instance was started recently
	Age      grclock.Millis
}

// Unit is the permission for one request within a quota.
type Unit struct {
	Own   bool // of the instance's own part, or of the reserve
	Until grclock.Millis
}

// Account decides on one organisation's requests on one instance: it uses the units that the
// allocator granted and, without an answer of the allocator, the instance's own part of the
// quota. Set Bound and Random before use.
type Account struct {
	Bound  QuotaBound
	Random grident.Random

	allowance   Allowance
	own         ownPart
	reserve     []lease // units of the reserve, oldest first
	unreported  int     // units of the reserve that were used and the allocator does not know of
	reported    int     // of these, stated in the last request
	reserveUsed grclock.Millis
	cededAt     grclock.Millis // when the own part was ceded last
	cededRate   Rate
	ownUsedAt   grclock.Millis
	lost        bool           // the last request for units failed, or the allocator does not grant yet
	lostAt      grclock.Millis // since when; 0: it is not
	grantedOnce bool           // an allocator that grants has answered
	steady      bool           // the last request promised others
	contactAt   grclock.Millis // last steady request that was answered; 0: none
	returnAt    grclock.Millis // when the last rejected caller was told to return
	refusedAt   grclock.Millis
	usedAt      grclock.Millis
}

// silentAfter is the time without an allocator after which half of the own part is used.
const silentAfter = 200 * grclock.Millisecond

// OwnPartDelay is the time without an answer after which the own part and the reserve are used.
const OwnPartDelay = 10 * grclock.Millisecond

// SetTerms sets the limits by a routing table. Those of an older one have no effect.
func (a *Account) SetTerms(now grclock.Millis, t QuotaTerms) {
	old := a.allowance.terms
	if t.Version < old.Version {
		return
	}
	a.allowance.terms, a.allowance.leaseTime = t, a.Bound.LeaseTime()
	a.allowance.record.Update(now, Statement{Kind: Limited, Rate: Rate(t.Quota.PerSecond)}, 0)
	if t.Quota.PerSecond < old.Quota.PerSecond || t.Quota.Burst < old.Quota.Burst {
		a.allowance.leases = nil
	}
}

// Want records that a request of the organisation arrived.
func (a *Account) Want(now grclock.Millis) {
	a.usedAt = now
	a.allowance.Want(now)
}

// Take uses a unit and reports whether there was one.
func (a *Account) Take(now grclock.Millis, p Place) (Unit, bool) {
	a.allowance.dropExpired(now)
	if len(a.allowance.leases) > 0 {
		u := Unit{Until: a.allowance.leases[0].until}
		a.allowance.Use(now)
		return u, true
	}
	if a.takeReserve(now) {
		return Unit{Own: true}, true
	}
	if !a.unanswered(now) || a.cedes(now) || !a.own.take(now, a.ownRate(now, p), a.longestIdle(), &a.Random) {
		return Unit{}, false
	}
	a.ownUsedAt = now
	return Unit{Own: true}, true
}

// Return takes back the unit of a request that ended without having run.
func (a *Account) Return(now grclock.Millis, u Unit) {
	switch {
	case u.Own:
	case u.Until > now:
		a.allowance.leases = append([]lease{{1, u.Until}}, a.allowance.leases...)
	default:
		a.allowance.unused++
	}
}

// takeReserve uses a unit of the reserve and reports whether there was one.
func (a *Account) takeReserve(now grclock.Millis) bool {
	a.reserve = slices.DeleteFunc(a.reserve, func(l lease) bool { return l.units == 0 || l.until <= now })
	if len(a.reserve) == 0 {
		return false
	}
	a.reserve[0].units--
	a.unreported++
	a.reserveUsed = now
	return true
}

// WantsReserve reports whether units of the reserve may be requested: no allocator that grants
// units answers.
func (a *Account) WantsReserve(now grclock.Millis) bool {
	return a.allowance.terms.Version > 0 && a.unanswered(now)
}

// Cede returns the units of the own part that accrued since it was used or ceded last. A holder of
// the reserve may hand them out, to this instance or to others, from the time on at which the
// allocator counts as lost.
func (a *Account) Cede(now grclock.Millis, p Place) float64 {
	if a.lostAt == 0 || now-a.lostAt < silentAfter {
		return 0
	}
	rate := a.ownRate(now, p)
	least := min(rate, a.cededRate)
	if !a.cedes(now) {
		least = rate
	}
	from := max(a.lostAt+silentAfter, a.cededAt, a.ownUsedAt, now-poolTime, a.rateSince(now))
	a.cededAt, a.cededRate = now, rate
	return least.per(now - from)
}

// rateSince returns the time since which the rate of the own part is at least the present one.
func (a *Account) rateSince(now grclock.Millis) grclock.Millis {
	cautious := a.Bound.cautiousTime(a.allowance.terms.Quota)
	since := grclock.Millis(0)
	for _, at := range []grclock.Millis{a.lostAt + cautious, a.contactAt + ownPartAfter, a.contactAt + cautious} {
		if at <= now {
			since = max(since, at)
		}
	}
	return since
}

// cedes reports whether a holder of the reserve hands out this instance's own part.
func (a *Account) cedes(now grclock.Millis) bool { return a.cededAt > 0 && now-a.cededAt < poolTime }

// GrantedReserve records the answer to a request for units of the reserve that was made at
// askedAt. The units are an allocator's if the one that answered is one.
func (a *Account) GrantedReserve(now, askedAt grclock.Millis, g Grant) {
	until := askedAt + a.allowance.lease()
	switch {
	case g.Units <= 0 || now >= until:
	case g.Opening:
		a.reserve = append(a.reserve, lease{g.Units, until})
	default:
		a.allowance.leases = append(a.allowance.leases, lease{g.Units, until})
	}
}

// ReserveRequest returns a request to a holder of the reserve for units of it, which cedes the own
// part. The holder may be the allocator, so what the last request promised it is repeated.
func (a *Account) ReserveRequest(now grclock.Millis, p Place, wanted int) Request {
	return Request{Terms: a.allowance.terms, Wanted: wanted, Reserve: true, Ceded: a.Cede(now, p), Steady: a.steady}
}

// unanswered reports whether no allocator that grants units answers.
func (a *Account) unanswered(now grclock.Millis) bool {
	return a.lost || a.allowance.asked && now >= a.allowance.askedAt+OwnPartDelay
}

// ownRate returns the rate of the own part. It is the whole part if the allocator has reserved
// it, and half of it if no allocator can grant units yet since the instances were just started,
// as the members that are known then may lack some that start at the same time, or if the
// allocator has not answered for a while: it may still grant units to others. It is 0 while members
// become known. After a start or a loss the window may hold all units that can be granted in one,
// so the part is smaller until they leave it.
func (a *Account) ownRate(now grclock.Millis, p Place) Rate {
	part := Rate(a.allowance.terms.Quota.PerSecond / float64(max(p.Members, 1)))
	silence := now - a.contactAt
	reserved := a.contactAt > 0 && silence >= ownPartAfter && silence < contactTime
	cautious := a.Bound.cautiousTime(a.allowance.terms.Quota)
	lossPart := min(a.Bound.lossRate(a.allowance.terms.Quota)/Rate(max(p.Members, 1)), part/2)
	switch {
	case reserved && silence < cautious:
		return lossPart
	case reserved:
		return part
	case !p.Settled:
		return 0
	case p.Starting && !a.grantedOnce && p.Age < cautious:
	case a.lostAt > 0 && now-a.lostAt >= silentAfter && now-a.lostAt < cautious:
		return lossPart
	case p.Starting && !a.grantedOnce, a.lostAt > 0 && now-a.lostAt >= silentAfter:
		return part / 2
	}
	return a.Bound.ownRate(a.allowance.terms.Quota) / Rate(max(p.Members, 1))
}

// longestIdle returns the interval of the own part up to which a slot may be used after a
// pause: the requests of one slot of all instances are then a part of the overshoot.
func (a *Account) longestIdle() grclock.Millis {
	return grclock.Millis(a.Bound.Overshoot * float64(a.Bound.Window) / 2)
}

// Ask returns a request for units, if one is due for the waiting requests, for the demand to
// come, or to tell the allocator that no more will follow.
func (a *Account) Ask(now grclock.Millis, waiting int) (Request, bool) {
	a.allowance.dropExpired(now)
	steady := Rate(a.allowance.demand.PerSecond(now, demandHalfLife)).per(a.allowance.lease()) >= 1
	overdue, overdueSince := a.allowance.asked, a.allowance.askedAt
	request, ok := a.allowance.Ask(now, waiting > 0)
	if !ok && a.fades(now, steady) {
		a.allowance.asked, a.allowance.askedAt = true, now
		request, ok = Request{}, true
	} else if ok {
		request.Wanted = max(request.Wanted, waiting)
	}
	if !ok {
		return Request{}, false
	}
	request.Statement, request.Age = Statement{}, 0
	request.Terms, request.Steady = a.allowance.terms, steady
	request.Unused, a.allowance.unused = a.allowance.unused, 0
	if overdue {
		a.setLost(overdueSince, true)
	}
	if now-a.reserveUsed > a.Bound.Window {
		a.unreported = 0
	}
	request.Used, a.reported = a.unreported, a.unreported
	if a.steady = steady; !steady {
		a.contactAt = 0
	}
	return request, true
}

// fades reports whether the allocator has to be told that the demand has ended.
func (a *Account) fades(now grclock.Millis, steady bool) bool {
	return a.steady && !steady && now >= a.allowance.AskAt() && !a.lost
}

// Granted records the answer to the request that was made at askedAt. An answer that arrives
// after the lease of its units says nothing of the present.
func (a *Account) Granted(now, askedAt grclock.Millis, g Grant) {
	if now >= askedAt+a.allowance.lease() {
		return
	}
	g.Statement = Statement{}
	a.allowance.Granted(now, askedAt, g)
	a.setLost(now, g.Refused || g.Opening)
	if !g.Refused {
		a.unreported, a.reported = max(a.unreported-a.reported, 0), 0
	}
	if a.lost {
		a.allowance.askAgainAt = min(a.allowance.askAgainAt, now+a.allowance.answerTimeout())
		return
	}
	a.grantedOnce = true
	if a.steady {
		a.contactAt = askedAt
	}
}

// Failed records that the request for units got no answer.
func (a *Account) Failed(now grclock.Millis) {
	a.allowance.Failed(now)
	a.setLost(now, true)
}

// setLost records whether an allocator that grants answers, and since when none does.
func (a *Account) setLost(since grclock.Millis, lost bool) {
	a.lost = lost
	switch {
	case !lost:
		a.lostAt = 0
	case a.lostAt == 0:
		a.lostAt = since
	}
}

// Wait returns the expected time until a request gets a unit that comes after the given number
// of others.
func (a *Account) Wait(now grclock.Millis, p Place, ahead int) grclock.Millis {
	if a.unanswered(now) {
		answer := max(a.allowance.nextUnitAt, a.allowance.AskAt()) - now
		if answer <= 0 {
			answer = a.allowance.answerTimeout()
		}
		return min(a.own.wait(now, a.ownRate(now, p)), answer)
	}
	return a.allowance.Wait(now, ahead)
}

// Denied reports whether it is known that no unit comes within the given time.
func (a *Account) Denied(now grclock.Millis, p Place, ahead int, within grclock.Millis) bool {
	if a.allowance.asked || a.unanswered(now) {
		return false
	}
	return a.allowance.Denied(now) && a.Wait(now, p, ahead) > within
}

// Refuse records that a request is rejected, and returns the time after which a unit is
// expected for it. Callers that return within longest are told different times.
func (a *Account) Refuse(now grclock.Millis, p Place, ahead int, longest grclock.Millis) grclock.Millis {
	a.refusedAt = now
	wait := a.Wait(now, p, ahead)
	if wait <= 0 {
		wait = max(a.allowance.interval, 1) // The unit that was due went to another instance.
	}
	behind := max(now+wait, a.returnAt+max(a.allowance.interval, 1))
	if behind-now > longest {
		return wait
	}
	a.returnAt = behind
	return behind - now
}

// Units returns the granted units that are left.
func (a *Account) Units(now grclock.Millis) int { return a.allowance.Units(now) }

// RefusedAt returns the time of the last rejected request; 0 if there was none.
func (a *Account) RefusedAt() grclock.Millis { return a.refusedAt }

// Idle reports whether the account may be dropped: no request came for a time after which
// neither the allocator nor a caller counts on it.
func (a *Account) Idle(now grclock.Millis) bool { return now-a.usedAt > grclock.Minute }
