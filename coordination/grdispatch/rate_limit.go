package grdispatch

import (
	"slices"

	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// A searcher that states a rate limit gets an attempt only with a unit of the limit, which
// this instance has to request (package grratelimit). Without one, the sub-request goes to
// another searcher, waits for a unit, or ends if none can come in time.

// RateLimitChange reports that another rate limit of a searcher is known than before.
type RateLimitChange struct {
	Service  int32 // set by the router
	Searcher grident.SearcherID
	Run      grident.Incarnation // of the searcher
	Old, New grratelimit.Statement
	Learned  bool // from another instance
}

// RateLimitAsk requests units of a searcher's rate limit from the instance that allocates
// it.
type RateLimitAsk struct {
	Service     int32 // set by the router
	Searcher    grident.SearcherID
	Domain      grident.FailureDomain // of the searcher
	Incarnation grident.Incarnation   // of the searcher
	AskedAt     grclock.Millis
	Request     grratelimit.Request
	// Organisation is set by the router if the units are of its quota; nothing is known of a
	// searcher then. With Confirm, it asks the previous allocator whether it has ceased to be one.
	Organisation grident.Organisation
	Confirm      bool
	Cold         bool // the units are those that a cold searcher needs
}

// RateLimitGrant answers a RateLimitAsk. Without an answer Failed is set.
type RateLimitGrant struct {
	Searcher    grident.SearcherID
	Incarnation grident.Incarnation
	AskedAt     grclock.Millis
	Failed      bool
	Confirm     bool               // as in the request
	Reserve     bool               // as in the request
	Cold        bool               // as in the request
	From        grident.InstanceID // that answered, of a quota
	Grant       grratelimit.Grant
}

// AttemptCounts counts the attempts sent to one searcher, by kind, and the sub-requests
// that would have been sent to it without its rate limit.
type AttemptCounts struct{ First, Hedged, Retried, Resent, HeldBack uint64 }

// RateLimitUse describes the use of a searcher that states a rate limit.
type RateLimitUse struct {
	Searcher  grident.SearcherID
	Statement grratelimit.Statement
	Age       grclock.Millis // since the statement was received by some instance
	PerSecond float64        // units that were granted to this instance recently, per second
	Units     int            // of these, not used yet
	Attempts  AttemptCounts  // of this instance since the searcher first stated a limit
}

// searcherRateLimit is this instance's part of the rate limit that a searcher states.
type searcherRateLimit struct {
	grratelimit.Allowance
	attempts AttemptCounts
}

// recordRateLimit records what a searcher said about its rate limit.
func (d *Dispatcher) recordRateLimit(now grclock.Millis, r *searcherState, s grratelimit.Statement, out *Output) {
	old := r.rateLimit.Record().Statement()
	if r.rateLimit.State(now, s) {
		reportRateLimit(r, old, false, out)
	}
}

// reportRateLimit reports a changed statement, unless no limit was and is in force.
func reportRateLimit(r *searcherState, old grratelimit.Statement, learned bool, out *Output) {
	if old.Kind != grratelimit.Limited && !r.rateLimit.Limited() {
		return
	}
	change := RateLimitChange{Searcher: r.ID, Run: r.Incarnation, Old: old, New: r.rateLimit.Record().Statement(), Learned: learned}
	out.RateLimitChanges = append(out.RateLimitChanges, change)
}

// useRateLimit takes a unit for an attempt of the sub-request and counts the attempt.
func (d *Dispatcher) useRateLimit(now grclock.Millis, s *pendingRequest, searcher int32, kind attemptKind, out *Output) {
	limit := &d.searchers[searcher].rateLimit
	if !limit.Limited() {
		return
	}
	limit.attempts.count(kind)
	d.wantUnit(now, s, searcher)
	limit.Use(now)
	d.askForUnits(now, searcher, false, out)
}

func (c *AttemptCounts) count(kind attemptKind) {
	switch kind {
	case firstAttempt:
		c.First++
	case hedgedAttempt:
		c.Hedged++
	case resentAttempt:
		c.Resent++
	case retriedAttempt:
		c.Retried++
	}
}

// heldBackChoice finds the searcher to request units of, among those that only a rate limit
// keeps from taking a sub-request: the best one, but those that were just denied units last.
type heldBackChoice struct {
	best  int32
	rank  float64
	score float64 // lowest score of all these searchers
}

func (h *heldBackChoice) consider(searcher int32, score float64, denied bool) {
	h.score = min(h.score, score)
	rank := score
	if denied {
		rank += deniedPenalty
	}
	if rank < h.rank {
		h.best, h.rank = searcher, rank
	}
}

// deniedPenalty exceeds every score, that of a searcher that was tried included.
const deniedPenalty = 2 * triedPenalty

// holdBack records that the searcher would get the sub-request if there were a unit of its
// rate limit, and requests units. waiting tells that no other searcher can take it.
func (d *Dispatcher) holdBack(now grclock.Millis, s *pendingRequest, searcher int32, waiting bool, out *Output) {
	r := &d.searchers[searcher]
	if d.wantUnit(now, s, searcher) {
		if !r.rateLimit.Permits(now) {
			r.rateLimit.attempts.HeldBack++
			d.Counters.RateLimited++
		}
		if !d.coldPermits(now, r) {
			r.cold.heldBack++
			d.Counters.ColdHeldBack++
		}
	}
	s.heldBack = true
	if s.UsefulUntil > now {
		d.wakeAt(s.UsefulUntil)
	}
	if !r.rateLimit.Permits(now) {
		d.askForUnits(now, searcher, waiting, out)
	}
	if !d.coldPermits(now, r) {
		d.askForColdUnits(now, searcher, waiting, out)
	}
}

// wantUnit counts the sub-request in the demand for the searcher, once. It reports whether
// it was not counted before.
func (d *Dispatcher) wantUnit(now grclock.Millis, s *pendingRequest, searcher int32) bool {
	bit := uint64(1) << (uint(searcher) % 64)
	if s.wantedMask&bit != 0 {
		return false
	}
	s.wantedMask |= bit
	r := &d.searchers[searcher]
	r.rateLimit.Want(now)
	if d.isCold(now, r) {
		r.cold.units.Want(now)
	}
	return true
}

func (d *Dispatcher) askForUnits(now grclock.Millis, searcher int32, waiting bool, out *Output) {
	r := &d.searchers[searcher]
	request, ok := r.rateLimit.Ask(now, waiting)
	if !ok {
		if waiting {
			d.wakeAt(r.rateLimit.AskAt())
		}
		return
	}
	out.RateLimitAsks = append(out.RateLimitAsks, RateLimitAsk{
		Searcher: r.ID, Domain: r.Domain, Incarnation: r.Incarnation, AskedAt: now, Request: request,
	})
	d.wakeAt(r.rateLimit.AskAt())
}

// HandleRateLimitGrant processes the answer to a RateLimitAsk.
func (d *Dispatcher) HandleRateLimitGrant(now grclock.Millis, g *RateLimitGrant, out *Output) {
	r := d.searcherRun(g.Searcher, g.Incarnation)
	if r == nil {
		return
	}
	old := r.rateLimit.Record().Statement()
	switch {
	case g.Cold:
		d.handleColdGrant(now, r, g)
	case g.Failed:
		r.rateLimit.Failed(now)
	case r.rateLimit.Granted(now, g.AskedAt, g.Grant):
		reportRateLimit(r, old, true, out)
	}
	d.dispatch(now, out)
}

// LearnRateLimit records a rate limit that a searcher stated to another instance.
func (d *Dispatcher) LearnRateLimit(now grclock.Millis, id grident.SearcherID, run grident.Incarnation, s grratelimit.Statement, out *Output) {
	r := d.searcherRun(id, run)
	if r == nil {
		return
	}
	old := r.rateLimit.Record().Statement()
	if r.rateLimit.Learn(now, s) {
		reportRateLimit(r, old, true, out)
		d.dispatch(now, out)
	}
}

// RateLimitOf returns the newest statement of a searcher about its rate limit and its age.
func (d *Dispatcher) RateLimitOf(now grclock.Millis, id grident.SearcherID, run grident.Incarnation) (grratelimit.Statement, grclock.Millis) {
	r := d.searcherRun(id, run)
	if r == nil {
		return grratelimit.Statement{}, 0
	}
	record := r.rateLimit.Record()
	return record.Statement(), record.Age(now)
}

func (d *Dispatcher) searcherRun(id grident.SearcherID, run grident.Incarnation) *searcherState {
	for i := range d.searchers {
		if r := &d.searchers[i]; r.ID == id && r.Incarnation == run {
			return r
		}
	}
	return nil
}

// RateLimitWait returns the expected time until a sub-request that is submitted now can be
// sent within the rate limits of the searchers, after those that wait and those with which
// rejected callers return before; 0 if some searcher has no limit.
func (d *Dispatcher) RateLimitWait(now grclock.Millis) grclock.Millis {
	for len(d.returns) > 0 && d.returns[0] <= now {
		d.returns = d.returns[1:]
	}
	everySearcher := func(int32) bool { return true }
	units := d.expectedUnits(now, everySearcher)
	wait := units.skip(d.queue.Len())
	for returning := 0; returning < len(d.returns) && d.returns[returning] <= now+wait; returning++ {
		wait = units.skip(0)
	}
	return wait
}

// ReserveReturn returns RateLimitWait for a caller that is rejected and told to return
// after it. If the caller waits for so long, later ones wait behind it.
func (d *Dispatcher) ReserveReturn(now, longestWait grclock.Millis) grclock.Millis {
	wait := d.RateLimitWait(now)
	if wait > 0 && wait <= longestWait && len(d.returns) < d.Policy.MaxQueue {
		at, _ := slices.BinarySearch(d.returns, now+wait)
		d.returns = slices.Insert(d.returns, at, now+wait)
	}
	return wait
}

// expectedUnits tells when units of the rate limits of some searchers are expected, soonest
// first. It is empty if some of them has no limit, or there are none.
type expectedUnits struct {
	now      grclock.Millis
	limits   []unitSource
	consumed []int // units of each that were skipped
}

// expectedUnits returns the units of the searchers that are allowed and accept attempts.
func (d *Dispatcher) expectedUnits(now grclock.Millis, allowed func(searcher int32) bool) expectedUnits {
	units := expectedUnits{now: now}
	for i := range d.searchers {
		r := &d.searchers[i]
		if !r.accepts(now) || !allowed(int32(i)) {
			continue
		}
		if !d.limited(now, r) {
			return expectedUnits{}
		}
		units.limits = append(units.limits, d.unitSource(now, r))
	}
	units.consumed = make([]int, len(units.limits))
	return units
}

// skip skips a number of units and takes the next one. It returns the expected time until
// then, or 0 if there are no limits.
func (u *expectedUnits) skip(n int) grclock.Millis {
	wait := grclock.Millis(0)
	for range n + 1 {
		best := -1
		for i := range u.limits {
			if next := u.limits[i].wait(u.now, u.consumed[i]); best < 0 || next < wait {
				best, wait = i, next
			}
		}
		if best < 0 {
			return 0
		}
		u.consumed[best]++
	}
	return wait
}

// unservable reports whether the waiting sub-request cannot be sent in time: every searcher
// refuses attempts for longer, which is recorded, or no unit of a rate limit is expected. It has the
// given number of others ahead of it.
func (d *Dispatcher) unservable(now grclock.Millis, s *pendingRequest, ahead int) bool {
	if s.active > 0 {
		return false
	}
	usefulUntil := s.Deadline
	if s.UsefulUntil > 0 {
		usefulUntil = max(s.UsefulUntil, now)
	}
	allowed := func(searcher int32) bool { return d.allows(s, searcher) }
	if wait := d.refusedFor(now, allowed); wait > 0 {
		s.refused = now+wait > usefulUntil
		return s.refused
	}
	units := d.expectedUnits(now, allowed)
	return now+units.skip(ahead) > usefulUntil
}

// heldBackTooLong reports whether rate limits kept the sub-request waiting until an answer
// was no longer of full use. Behind newer ones it would hardly get a unit.
func (d *Dispatcher) heldBackTooLong(now grclock.Millis, s *pendingRequest) bool {
	return s.heldBack && s.active == 0 && s.UsefulUntil > 0 && now >= s.UsefulUntil && d.allLimited(now, s)
}

// allLimited reports whether each searcher that the sub-request may be sent to states a
// rate limit or is cold.
func (d *Dispatcher) allLimited(now grclock.Millis, s *pendingRequest) bool {
	for i := range d.searchers {
		if r := &d.searchers[i]; r.accepts(now) && d.allows(s, int32(i)) && !d.limited(now, r) {
			return false
		}
	}
	return true
}

// endIfUnservable ends a sub-request that has just joined the queue if it cannot be sent in time.
func (d *Dispatcher) endIfUnservable(now grclock.Millis, key SubRequestKey, out *Output) {
	index, ok := d.byKey[key]
	if ok && d.subs[index].queued && d.unservable(now, &d.subs[index], d.queue.Len()-1) {
		d.finish(now, index, d.doneKind(&d.subs[index], NotStarted), out)
	}
}

// RateLimitUses describes the use of each searcher that states a rate limit.
func (d *Dispatcher) RateLimitUses(now grclock.Millis) []RateLimitUse {
	var list []RateLimitUse
	for i := range d.searchers {
		r := &d.searchers[i]
		if limit := &r.rateLimit; r.present && limit.Limited() {
			list = append(list, RateLimitUse{
				Searcher: r.ID, Statement: limit.Record().Statement(), Age: limit.Record().Age(now),
				PerSecond: limit.GrantedPerSecond(now), Units: limit.Units(now), Attempts: limit.attempts,
			})
		}
	}
	return list
}
