package grdispatch

import (
	"math"

	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Searcher describes one searcher of the service.
type Searcher struct {
	ID             grident.SearcherID
	Address        grident.Address // a searcher that has moved counts as restarted
	Domain         grident.FailureDomain
	Slots          int
	ConnLimit      int                 // limit of connections from this instance
	OwnerConnLimit int                 // the limit if this instance is an owner that sends for all instances of the domain; 0: as ConnLimit
	TotalConns     int                 // connections that all instances together may hold, if not all may hold one; 0: all may
	NotHolder      bool                // this instance may hold no connection
	Leaving        bool                // accepts no new work
	Evacuated      bool                // Leaving because its failure domain is evacuated; the end begins a slow start
	Incarnation    grident.Incarnation // changes when the searcher restarts; a new run begins with a slow start
	ColdStatedAt   grclock.Millis      // when this instance learned what its entry says of a cold time; 0: it says nothing
	ColdUntil      grclock.Millis      // end of that time
}

// searcherState is the dispatcher's state of one searcher.
type searcherState struct {
	Searcher
	tag grident.SearcherTag
	availability
	inFlight      int     // attempts in flight
	window        float64 // concurrency window: limit on inFlight
	latency       grstat.EWMA
	latencyAt     grclock.Millis // time of the last change of latency
	slowdown      slowdownTracker
	slowStreak    int            // consecutive times that it was slow; attempts in flight together count once
	lastSlowAt    grclock.Millis // time of the last increment of slowStreak
	load          Load
	loadAt        grclock.Millis
	slowStartAt   grclock.Millis // start of the slow start
	failureRate   grstat.EWMA    // decaying fraction of attempts that failed
	failureRateAt grclock.Millis // time of the last change of failureRate
	shedAt        grclock.Millis // last time it shed an attempt
	conns         connPool
	rateLimit     searcherRateLimit
	cold          searcherCold
}

// Parameters of the load balancing.
const (
	latencyWeight       = 0.3                       // of the newest sample in the moving average
	latencyHalfLife     = 400 * grclock.Millisecond // half-life of a searcher's excess latency while unused, after a single slow spell
	maxSlowSteps        = 3                         // maximum doublings of that half-life for a searcher that was slow again at each try
	loadHalfLife        = 50 * grclock.Millisecond  // half-life of a load report
	slowRatio           = 3                         // expected latency ÷ age of an attempt that is still unanswered
	slowStartFloor      = 0.1                       // weight of a searcher at the start of its slow start
	failureRateWeight   = 0.15                      // of the newest attempt in the failure rate
	failureRatePenalty  = 40                        // expected wait × (1 + this × failure rate), since a failure costs another attempt from the budget
	failureRateHalfLife = 2 * grclock.Second        // half-life of the failure rate while the searcher is unused
)

// SetSearchers replaces the list of searchers. Searchers no longer listed get no new
// work, and their idle connections are closed.
func (d *Dispatcher) SetSearchers(now grclock.Millis, list []Searcher, out *Output) {
	for i := range d.searchers {
		d.searchers[i].present = false
	}
	for _, s := range list {
		known := len(d.searchers)
		r := d.stateFor(now, s)
		old := r.Searcher
		if s.Incarnation != r.Incarnation || s.Address != r.Address {
			r.draining, r.refusedUntil, r.slowStartAt = false, 0, now
			r.rateLimit = searcherRateLimit{}
			r.conns.retryAt, r.conns.reopenStep, r.conns.trial = min(r.conns.retryAt, now), 0, 0
		}
		if r.Evacuated && !s.Evacuated {
			r.slowStartAt = now
		}
		r.Searcher = s
		r.present = true
		d.noteListed(now, r, &old, len(d.searchers) > known, out)
		r.window = min(max(r.window, 1), d.maxWindow(r))
	}
	d.hasSearcherList = true
	if !d.hasSearchers && len(list) > 0 {
		d.hasSearchers, d.searchersSince = true, now
	}
	d.maintainConns(now, out)
	d.dispatch(now, out)
}

// Searchers returns all searchers listed so far, by the index used in actions.
func (d *Dispatcher) Searchers() []Searcher {
	list := make([]Searcher, len(d.searchers))
	for i := range d.searchers {
		list[i] = d.searchers[i].Searcher
	}
	return list
}

// SearcherAt returns the searcher with the index used in actions.
func (d *Dispatcher) SearcherAt(index int32) Searcher { return d.searchers[index].Searcher }

func (d *Dispatcher) stateFor(now grclock.Millis, s Searcher) *searcherState {
	for i := range d.searchers {
		if d.searchers[i].ID == s.ID {
			return &d.searchers[i]
		}
	}
	first := len(d.searchers) == 0 || d.latency.Count() == 0
	r := searcherState{Searcher: s, tag: grident.TagOf(s.ID), window: float64(max(s.Slots, 1))}
	r.conns.target = d.warmTarget(&r)
	r.slowStartAt = now
	if first {
		r.slowStartAt = now - d.Policy.SlowStart
	}
	d.searchers = append(d.searchers, r)
	return &d.searchers[len(d.searchers)-1]
}

func (d *Dispatcher) maxWindow(r *searcherState) float64 {
	return max(1, float64(r.Slots)*d.Policy.WindowPerSlot)
}

// HasSearcherIn reports whether any searcher in the failure domain accepts new work.
func (d *Dispatcher) HasSearcherIn(domain grident.FailureDomain) bool {
	for i := range d.searchers {
		if r := &d.searchers[i]; r.Domain == domain && r.usable() {
			return true
		}
	}
	return false
}

// choose returns the index of the searcher for the next attempt of s, or -1 when none
// has capacity. Searchers that already received an attempt are ranked last. Those with
// an attempt in flight are skipped unless every searcher has one, and those whose rate
// limit or cold time permits no attempt until units are granted.
func (d *Dispatcher) choose(now grclock.Millis, s *pendingRequest, out *Output) int32 {
	best, bestScore := int32(-1), math.Inf(1)
	held := heldBackChoice{best: -1, rank: math.Inf(1), score: math.Inf(1)}
	for i := range d.searchers {
		r := &d.searchers[i]
		if !d.hasRoom(now, r, s) || !d.allows(s, int32(i)) || d.hasAttempt(s, int32(i)) && !d.allHaveAttempt(s) {
			continue
		}
		score := d.score(now, r, i)
		if d.sharesDomain(s, r) {
			score *= domainPenalty
		}
		if s.triedMask&(1<<(uint(i)%64)) != 0 {
			score += triedPenalty
		}
		switch {
		case !d.permits(now, r, out):
			held.consider(int32(i), score, d.denied(now, r))
		case score < bestScore:
			best, bestScore = int32(i), score
		}
	}
	if held.score < bestScore {
		d.holdBack(now, s, held.best, best < 0, out)
	}
	return best
}

// triedPenalty exceeds every score, so that untried searchers rank first.
const triedPenalty = 1e12

// domainPenalty makes a hedge prefer another failure domain than that of the attempts
// in flight, unless the searchers there are clearly slower.
const domainPenalty = 1.5

// sharesDomain reports whether an attempt of s is in flight in the searcher's failure
// domain.
func (d *Dispatcher) sharesDomain(s *pendingRequest, r *searcherState) bool {
	if s.active == 0 || r.Domain == "" {
		return false
	}
	for _, id := range s.attempts[:s.sent] {
		if a := d.findAttempt(id); a != nil && !a.cancelled && d.searchers[a.searcher].Domain == r.Domain {
			return true
		}
	}
	return false
}

func (d *Dispatcher) hasAttempt(s *pendingRequest, r int32) bool {
	for _, id := range s.attempts[:s.sent] {
		if a := d.findAttempt(id); a != nil && a.searcher == r && !a.cancelled {
			return true
		}
	}
	return false
}

// allHaveAttempt reports whether every searcher that s may be sent to has an attempt
// in flight. A further attempt then goes to one of them.
func (d *Dispatcher) allHaveAttempt(s *pendingRequest) bool {
	for i := range d.searchers {
		if d.searchers[i].usable() && d.allows(s, int32(i)) && !d.hasAttempt(s, int32(i)) {
			return false
		}
	}
	return true
}

// score ranks the searchers by the load balancing algorithm; the lowest score is
// chosen.
func (d *Dispatcher) score(now grclock.Millis, r *searcherState, index int) float64 {
	switch d.Policy.LoadBalancing {
	case Random:
		return d.Random.Float64()
	case RoundRobin:
		return float64((index + len(d.searchers) - d.sendCount%len(d.searchers)) % len(d.searchers))
	}
	jitter := 1 + 0.05*d.Random.Float64()
	return d.expectedWait(now, r) * jitter
}

// expectedWait estimates the time in ms to an answer, including the penalties for
// failures and for remote searchers. It is longer during the slow start.
func (d *Dispatcher) expectedWait(now grclock.Millis, r *searcherState) float64 {
	slots := float64(max(r.Slots, 1))
	ahead := float64(r.inFlight) + d.othersLoad(now, r)
	wait := d.expectedLatency(now, r) * (1 + ahead/slots) * (1 + failureRatePenalty*r.decayedFailureRate(now))
	if r.Domain != d.Domain {
		wait += d.Policy.RemoteCost * d.typicalLatency.Value(1)
	}
	return wait / d.slowStartWeight(now, r)
}

// expectedLatency decays to the typical latency of the service while the searcher is
// unused, so that a searcher that was slow is tried again.
func (d *Dispatcher) expectedLatency(now grclock.Millis, r *searcherState) float64 {
	typical := max(d.typicalLatency.Value(1), 0.5)
	estimate := r.latency.Value(typical) * r.slowdown.change()
	if estimate > typical {
		age := float64(now-r.latencyAt) / float64(r.latencyHalfLife())
		estimate = typical + (estimate-typical)*math.Exp2(-age)
	}
	return max(estimate, 0.5)
}

// latencyHalfLife returns the half-life of the searcher's excess latency. It grows
// with each consecutive slow try: such a searcher is slow for long and not just paused
// for once.
func (r *searcherState) latencyHalfLife() grclock.Millis {
	return latencyHalfLife << min(max(r.slowStreak-1, 0), maxSlowSteps)
}

// othersLoad is the work of other instances at the searcher by its last load report,
// decaying with the report's age.
func (d *Dispatcher) othersLoad(now grclock.Millis, r *searcherState) float64 {
	if !r.load.Known {
		return 0
	}
	age := float64(now-r.loadAt) / float64(loadHalfLife)
	return float64(r.load.Busy+r.load.Queued) * math.Exp2(-age)
}

// slowStartWeight rises from slowStartFloor to 1 over the slow start.
func (d *Dispatcher) slowStartWeight(now grclock.Millis, r *searcherState) float64 {
	if d.Policy.SlowStart <= 0 {
		return 1
	}
	age := float64(now-r.slowStartAt) / float64(d.Policy.SlowStart)
	return min(1, max(slowStartFloor, age))
}

func (d *Dispatcher) recordLatency(now grclock.Millis, r *searcherState, span grclock.Millis) {
	if float64(span) < slowRatio*d.typicalLatency.Value(1) {
		r.slowStreak = 0
	}
	r.latency.Add(float64(max(span, 1)), latencyWeight)
	r.latencyAt = now
}

// recordSlow raises a searcher's latency to the estimate for an unanswered attempt of
// that age. Attempts in flight at the same time extend the slow streak only once,
// since they have one cause.
func (d *Dispatcher) recordSlow(now grclock.Millis, r *searcherState, age grclock.Millis) {
	if now-age >= r.lastSlowAt {
		r.slowStreak++
		r.lastSlowAt = now
	}
	estimate := d.expectedLatency(now, r)
	r.latency = grstat.EWMA{}
	r.latency.Add(max(estimate, slowRatio*float64(age)), 1)
	r.slowdown.restart()
	r.latencyAt = now
}

// recordOutcome updates the failure rate. It covers searchers that fail a part of
// their attempts and so never reach the number of consecutive failures for ejection.
func (d *Dispatcher) recordOutcome(now grclock.Millis, r *searcherState, kind ReplyKind) {
	failed := 0.0
	switch kind {
	case OK:
	case Failed, LostReply, Shed, UnprovenRefusal:
		failed = 1
	default:
		return
	}
	rate := r.decayedFailureRate(now)
	r.failureRate = grstat.EWMA{}
	r.failureRate.Add(rate+failureRateWeight*(failed-rate), 1)
	r.failureRateAt = now
}

// decayedFailureRate decays to 0 while the searcher is unused, so that it is tried
// again.
func (r *searcherState) decayedFailureRate(now grclock.Millis) float64 {
	return r.failureRate.Value(0) * math.Exp2(-float64(now-r.failureRateAt)/float64(failureRateHalfLife))
}

func (d *Dispatcher) recordLoad(now grclock.Millis, r *searcherState, load Load) {
	if !load.Known {
		return
	}
	others := max(load.Busy+load.Queued-r.inFlight, 0)
	r.load = Load{Known: true, Busy: others}
	r.loadAt = now
}

func (d *Dispatcher) shrinkWindow(r *searcherState) {
	if !d.Policy.FixedWindow {
		r.window = max(1, r.window*0.7)
	}
}

func (d *Dispatcher) growWindow(r *searcherState) {
	if !d.Policy.FixedWindow {
		r.window = min(d.maxWindow(r), r.window+1/r.window)
	}
}
