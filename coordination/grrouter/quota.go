package grrouter

import (
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// A request of an organisation with a quota needs a unit of it before it is routed. Units are
// granted by one instance, as those of searchers' rate limits are; groups need none.

// QuotaDecision is how a request's quota was decided on.
type QuotaDecision uint8

// The decisions.
const (
	NoQuota      QuotaDecision = iota // the request needs no unit
	QuotaGranted                      // it has a unit of the allocator
	QuotaOwnPart                      // it has one without the allocator, of the reserve or of this instance's own part
	QuotaDenied                       // it was rejected
)

// String returns the name of the decision for logs and metrics.
func (d QuotaDecision) String() string {
	return [...]string{"none", "granted", "own_part", "denied"}[d]
}

// QuotaUse describes a request's use of its organisation's quota, for logs.
type QuotaUse struct {
	Decision QuotaDecision
	Units    int // units left when the request was decided on
}

// quotaAccount is the account of one organisation and the requests that wait for a unit of it.
type quotaAccount struct {
	grratelimit.Account
	name    grident.Organisation
	waiting []*quotaWait // in the order of arrival
	reserve reserveSearch
}

// quotaWait is a request that waits for a unit.
type quotaWait struct {
	q       *query
	request RouteRequest
	account *quotaAccount
	until   grclock.Millis
}

// quotaState is the state of all quotas on one instance.
type quotaState struct {
	accounts       map[grident.Organisation]*quotaAccount
	waits          map[grident.QueryID]*quotaWait
	sweepAt        grclock.Millis // 0: there is nothing to check
	handovers      map[grident.Organisation]*handover
	currentView    memberView     // instances that can allocate
	pastViews      []memberView   // before recent changes, oldest first
	forgottenUntil grclock.Millis // end of the newest view that is no longer in pastViews
	startedAt      grclock.Millis
	knownGrew      bool           // since membersGrewAt was set
	membersGrewAt  grclock.Millis // when more instances became known
	closed         map[grident.Organisation]closedAllocator
	pausedAt       grclock.Millis // when a suspension of this process was noticed last; 0: never
	inTable        bool           // the newest table has quotas
	asksLeft       int            // requests for confirmation that may be sent until asksRefillAt
	asksRefillAt   grclock.Millis
	reserves       map[grident.Organisation]*grratelimit.Reserve
	reserveFrom    grclock.Millis                        // time from which this instance hands out units of reserves
	recent         map[grident.InstanceID]grclock.Millis // other members, with the time when they ended; 0: they have not
}

func (s *quotaState) init() {
	s.accounts = make(map[grident.Organisation]*quotaAccount)
	s.waits = make(map[grident.QueryID]*quotaWait)
	s.handovers = make(map[grident.Organisation]*handover)
	s.closed = make(map[grident.Organisation]closedAllocator)
	s.reserves = make(map[grident.Organisation]*grratelimit.Reserve)
	s.recent = make(map[grident.InstanceID]grclock.Millis)
}

// Timing of quotas.
const (
	quotaSweepInterval = 100 * grclock.Millisecond // between the checks of all accounts
	recentRefusalTime  = 10 * grclock.Second       // a rejection counts as recent for this time
	// quotaWaitShare is the part of the latency objective for which a request waits for a unit.
	quotaWaitShare = 0.25
	// quotaStartTime is the time after the start in which no allocator may be able to grant.
	quotaStartTime = 3 * grclock.Second
	// settleTime is the time without new members after which the members count as known.
	settleTime = 300 * grclock.Millisecond
)

// setQuotas records whether the table has quotas. The sweep runs then, as it notices a suspension
// of this process, after which units of others may be in use.
func (r *Router) setQuotas(now grclock.Millis, t *grroutes.Table) {
	r.quotas.inTable = slices.ContainsFunc(t.Organisations, func(o grroutes.Organisation) bool { return o.Quota.Limited() })
	if r.quotas.inTable {
		r.armSweep(now)
	}
}

// needsUnit reports whether the request needs a unit of a quota.
func needsUnit(req *RouteRequest) bool {
	return !req.IsGroup && req.Organisation != nil && req.Organisation.Quota.Limited()
}

// takeUnit takes a unit for the request and reports whether it can be routed now. If not, it
// waits or was rejected.
func (r *Router) takeUnit(now grclock.Millis, q *query, req *RouteRequest, out *Output) bool {
	if !needsUnit(req) {
		return true
	}
	r.checkPause(now)
	a := r.accountOf(now, req)
	a.Want(now)
	if len(a.waiting) == 0 && r.tryUnit(now, a, q) {
		r.askQuota(now, a, out)
		return true
	}
	w := &quotaWait{q, *req, a, min(now+r.quotaWaitTime(req), q.deadline)}
	a.waiting = append(a.waiting, w)
	r.quotas.waits[q.id] = w
	r.deadlines.Push(timer{w.until, q.id})
	if at := now + grratelimit.OwnPartDelay; at < w.until {
		r.deadlines.Push(timer{at, q.id})
	}
	r.askQuota(now, a, out)
	r.serveQuota(now, a, out)
	return false
}

// quotaWaitTime returns how long a request may wait for a unit.
func (r *Router) quotaWaitTime(req *RouteRequest) grclock.Millis {
	return grclock.Millis(quotaWaitShare * float64(req.Route.LatencyObjective))
}

// tryUnit takes a unit for the request, if there is one.
func (r *Router) tryUnit(now grclock.Millis, a *quotaAccount, q *query) bool {
	u, ok := a.Take(now, r.place(now))
	if !ok {
		return false
	}
	q.quotaAccount, q.unit = a, u
	q.quota = QuotaUse{Decision: QuotaGranted, Units: a.Units(now)}
	if u.Own {
		q.quota.Decision = QuotaOwnPart
	}
	r.Counters.countQuota(q.quota.Decision)
	return true
}

// accountOf returns the account of the request's organisation.
func (r *Router) accountOf(now grclock.Millis, req *RouteRequest) *quotaAccount {
	o := req.Organisation
	a := r.quotas.accounts[o.Name]
	if a == nil {
		a = &quotaAccount{name: o.Name}
		a.Bound, a.Random = r.quotaBound(), grident.Random{State: r.random.Uint64()}
		r.quotas.accounts[o.Name] = a
	}
	if r.quotas.sweepAt == 0 {
		r.quotas.sweepAt = now + quotaSweepInterval
	}
	a.SetTerms(now, grratelimit.QuotaTerms{Quota: o.Quota, Version: max(req.Table.Version, 1)})
	return a
}

// quotaBound returns the bound of all quotas.
func (r *Router) quotaBound() grratelimit.QuotaBound {
	b := r.QuotaBound
	if b.Window == 0 {
		b.Window = defaultQuotaWindow
	}
	return b
}

// defaultQuotaWindow is the window of the bound if none is set.
const defaultQuotaWindow = 5 * grclock.Second

// askQuota requests units for the account, if that is due.
func (r *Router) askQuota(now grclock.Millis, a *quotaAccount, out *Output) {
	request, ok := a.Ask(now, len(a.waiting))
	if !ok {
		return
	}
	r.rateLimitAsks = append(r.rateLimitAsks, grdispatch.RateLimitAsk{Organisation: a.name, AskedAt: now, Request: request})
	r.sendRateLimitAsks(now, out)
}

// HandleQuotaGrant processes the answer to a request for units of an organisation's quota.
func (r *Router) HandleQuotaGrant(now grclock.Millis, name grident.Organisation, g *grdispatch.RateLimitGrant, out *Output) {
	r.checkPause(now)
	if g.Confirm {
		r.handleConfirmation(now, name, g)
		return
	}
	a := r.quotas.accounts[name]
	if a == nil {
		return
	}
	switch {
	case g.Reserve:
		a.reserve.answered(now, a, g)
	case g.Failed:
		a.Failed(now)
	default:
		a.Granted(now, g.AskedAt, g.Grant)
	}
	r.serveQuota(now, a, out)
}

// serveQuota routes the waiting requests for which there are units, requests units of the reserve
// if no allocator answers, and rejects those for which none comes in time.
func (r *Router) serveQuota(now grclock.Millis, a *quotaAccount, out *Output) {
	r.serveUnits(now, a, out)
	if r.askReserve(now, a, out) {
		r.serveUnits(now, a, out)
	}
}

// serveUnits routes the waiting requests for which there are units, and rejects those for which
// none comes in time.
func (r *Router) serveUnits(now grclock.Millis, a *quotaAccount, out *Output) {
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		if !r.tryUnit(now, a, w.q) {
			break
		}
		a.waiting = a.waiting[1:]
		delete(r.quotas.waits, w.q.id)
		w.request.ElapsedSinceArrival += now - w.q.startedAt
		r.runRoute(now, w.q, &w.request, out)
	}
	place := r.place(now)
	for i := len(a.waiting) - 1; i >= 0 && a.Denied(now, place, i, a.waiting[i].until-now); i-- {
		r.rejectWaiting(now, a.waiting[i], out)
	}
}

// quotaWaitEnded handles the end of the time that a request may wait for a unit.
func (r *Router) quotaWaitEnded(now grclock.Millis, w *quotaWait, out *Output) {
	r.serveUnits(now, w.account, out)
	if r.quotas.waits[w.q.id] == w {
		r.rejectWaiting(now, w, out)
	}
}

// rejectWaiting rejects a waiting request.
func (r *Router) rejectWaiting(now grclock.Millis, w *quotaWait, out *Output) {
	a := w.account
	ahead := slices.Index(a.waiting, w)
	r.removeWait(w)
	longest := w.request.LongestReturn
	if longest == 0 {
		longest = w.q.deadline - now
	}
	w.q.quota = QuotaUse{Decision: QuotaDenied, Units: a.Units(now)}
	r.Counters.countQuota(QuotaDenied)
	r.endUnrouted(now, w.q, grerror.QuotaExceeded, a.Refuse(now, r.place(now), ahead, longest), out)
}

// cancelWait ends a waiting request whose caller has disconnected.
func (r *Router) cancelWait(now grclock.Millis, w *quotaWait, out *Output) {
	r.removeWait(w)
	r.Counters.Cancelled++
	r.endUnrouted(now, w.q, grerror.CallerLeft, 0, out)
}

func (r *Router) removeWait(w *quotaWait) {
	w.account.waiting = slices.DeleteFunc(w.account.waiting, func(o *quotaWait) bool { return o == w })
	delete(r.quotas.waits, w.q.id)
}

// endUnrouted ends a request that was not routed.
func (r *Router) endUnrouted(now grclock.Millis, q *query, code grerror.Code, retryAfter grclock.Millis, out *Output) {
	r.Counters.NotRun++
	r.Counters.Rejected++
	out.Results = append(out.Results, Result{
		ID: q.id, Outcome: NotRun, Code: code, Generation: q.generation, RetryAfter: retryAfter,
		Duration: now - q.startedAt, EndedAt: now, Quota: q.quota,
	})
	r.freeQueries = append(r.freeQueries, q)
}

// returnUnit returns the unit of a request that ended without having run.
func (q *query) returnUnit(now grclock.Millis) {
	if q.quotaAccount != nil {
		q.quotaAccount.Return(now, q.unit)
	}
}

// sweepQuotas asks again for waiting requests, tells allocators that demand has ended, and drops
// idle accounts.
func (r *Router) sweepQuotas(now grclock.Millis, out *Output) {
	r.checkPause(now)
	r.quotas.sweepAt = 0
	r.removeIdleAllocators(now)
	for name, a := range r.quotas.accounts {
		if a.Idle(now) && len(a.waiting) == 0 {
			delete(r.quotas.accounts, name)
			continue
		}
		r.askQuota(now, a, out)
		r.serveQuota(now, a, out)
	}
	r.confirmHandovers(now, out)
	r.removeUnusedReserves(now)
	r.removeClosed(now)
	if len(r.quotas.accounts)+len(r.quotas.handovers)+len(r.quotas.reserves)+len(r.quotas.closed) > 0 || r.hasQuotaAllocator() || r.quotas.inTable {
		r.quotas.sweepAt = now + quotaSweepInterval
	}
}

// RefusedOrganisations returns the number of organisations with a rejected request recently.
func (r *Router) RefusedOrganisations(now grclock.Millis) int {
	n := 0
	for _, a := range r.quotas.accounts {
		if a.RefusedAt() > 0 && now-a.RefusedAt() < recentRefusalTime {
			n++
		}
	}
	return n
}

// place returns this instance's place among the members, as far as quotas depend on it.
func (r *Router) place(now grclock.Millis) grratelimit.Place {
	return grratelimit.Place{
		Members:  r.knownInstances(),
		Settled:  r.membership.Settled && now-r.quotas.membersGrewAt >= settleTime,
		Starting: r.quotas.startedAt > 0 && now-r.quotas.startedAt < quotaStartTime,
		Age:      now - r.quotas.startedAt,
	}
}

// knownInstances returns the number of instances that may be running, this one included.
// Those of which only the address is known count too.
func (r *Router) knownInstances() int {
	return max(r.membership.Known, 1+len(r.peers)+r.membership.Unreachable)
}
