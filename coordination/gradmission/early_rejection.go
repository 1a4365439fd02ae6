package gradmission

import "geraniumrouter/state/grclock"

// Parameters of EarlyRejection.
const (
	rejectingTime   = 5 * grclock.Second        // time for which requests may be rejected after the last evidence of a queue
	probeInterval   = grclock.Second            // longest time without an admission
	starvedDecrease = 0.6                       // factor of the limit after admitted requests starved
	limitIncrease   = 1.02                      // factor of the limit after a controlWindow in which none did
	starvedShare    = 0.1                       // share of starved requests above which the limit is lowered
	controlSamples  = 8                         // ended requests between two changes of the limit, so that one that starved proves nothing
	minLimitFactor  = 0.2                       // smallest limit ÷ time until the deadline
	controlWindow   = 100 * grclock.Millisecond // shortest time between two changes of the limit
	lessUrgentLimit = 0.6                       // limit of less urgent requests ÷ that of the others
	aheadLimit      = 0.3                       // the same while they are admitted more often than more urgent ones
	overShareLimit  = 0.1                       // limit of sources over their share ÷ time left within the objective
	overShareFill   = 0.5                       // requests in flight ÷ the most permitted, above which these are rejected
)

// EarlyRejection decides which requests to a set of services are admitted while work waits
// that cannot be begun by its deadline. It rejects nothing without evidence of a queue: the
// latency of requests is not known to it. Sources are told apart by K. The zero value is usable.
type EarlyRejection[K comparable] struct {
	shares         FairShare[K]
	priorities     PriorityShare
	rejectingUntil grclock.Millis
	fullUntil      grclock.Millis // end of the time in which sources over their share leave room after too many requests were in flight
	lowered        float64        // 1 - factor of the limit
	changedAt      grclock.Millis // last change of the factor
	ended, starved int            // admitted requests that ended since then
	lastAdmittedAt grclock.Millis
}

// Arrival describes a request that arrives.
type Arrival[K comparable] struct {
	Source        K
	Priority      int            // 0 is the most urgent
	WorkOff       grclock.Millis // time until the searchers begin what waits and this request; 0: there is no evidence of a queue
	ObjectiveLeft grclock.Millis // time left for an answer within the objective
	DeadlineLeft  grclock.Millis // time left for any answer
	InFlight      float64        // requests in flight ÷ the most permitted
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted   bool
	OverShare  bool           // its source has used more than its fair share
	RetryAfter grclock.Millis // if it was rejected: when a request like it is expected to be admitted
}

// CountSourcesIn counts the sources held in a count that others share, which limits them
// together. It must be called before Decide.
func (e *EarlyRejection[K]) CountSourcesIn(held *SourceCount) { e.shares.Held = held }

// DropIdleSources drops the sources that have sent nothing for SourceIdle.
func (e *EarlyRejection[K]) DropIdleSources(now grclock.Millis) { e.shares.dropIdle(now) }

// Release drops all sources. It must be called when the state is no longer used.
func (e *EarlyRejection[K]) Release() { e.shares.clear() }

// Decide decides on a request.
func (e *EarlyRejection[K]) Decide(now grclock.Millis, a Arrival[K]) Verdict {
	v := Verdict{Admitted: true, OverShare: e.shares.Exceeds(now, a.Source)}
	if a.WorkOff > max(a.DeadlineLeft, a.ObjectiveLeft, 0) { // A short deadline alone is no evidence.
		e.rejectingUntil = now + rejectingTime
	}
	if a.InFlight >= 1 {
		e.fullUntil = now + rejectingTime
	}
	e.adjust(now)
	if e.Rejecting(now) && now-e.lastAdmittedAt < probeInterval {
		limit := e.limit(now, &a, v.OverShare)
		v.Admitted = a.WorkOff <= limit
		v.RetryAfter = max(0, a.WorkOff-limit)
	}
	if a.InFlight >= 1 || v.OverShare && now < e.fullUntil && a.InFlight >= overShareFill {
		v.Admitted = false
	}
	e.record(now, &a, v)
	if a.InFlight >= 1 {
		v.OverShare = false // Everybody is rejected, whatever its use.
	}
	return v
}

// RecordEnd records the end of an admitted request. It starved if it ended without an answer
// because it waited for searchers at capacity from its start to its deadline.
func (e *EarlyRejection[K]) RecordEnd(now grclock.Millis, starved bool) {
	e.ended++
	if starved {
		e.rejectingUntil = now + rejectingTime
		e.starved++
	}
}

// Rejecting reports whether requests may be rejected for a queue.
func (e *EarlyRejection[K]) Rejecting(now grclock.Millis) bool { return now < e.rejectingUntil }

// record records the decision. A rejection shows that work still waits.
func (e *EarlyRejection[K]) record(now grclock.Millis, a *Arrival[K], v Verdict) {
	if v.Admitted {
		e.lastAdmittedAt = now
		e.shares.RecordAdmission(now, a.Source)
	} else {
		if a.WorkOff > 0 {
			e.rejectingUntil = now + rejectingTime
		}
		e.shares.RecordRejection(now, a.Source)
	}
	if v.Admitted || !v.OverShare { // A rejection for its source is not one for its priority.
		e.priorities.Record(now, a.Priority, v.Admitted)
	}
}

// adjust lowers the limit while a part of the admitted requests starves although the estimate
// let them in, and raises it otherwise.
func (e *EarlyRejection[K]) adjust(now grclock.Millis) {
	if !e.Rejecting(now) {
		e.lowered, e.ended, e.starved, e.changedAt = 0, 0, 0, now
		return
	}
	if now-e.changedAt < controlWindow || e.ended < controlSamples {
		return
	}
	factor := 1 - e.lowered
	if float64(e.starved) > starvedShare*float64(e.ended) {
		factor = max(minLimitFactor, factor*starvedDecrease)
	} else {
		factor = min(1, factor*limitIncrease)
	}
	e.lowered, e.ended, e.starved, e.changedAt = 1-factor, 0, 0, now
}

// limit returns the longest time to work off what waits with which the request is admitted.
func (e *EarlyRejection[K]) limit(now grclock.Millis, a *Arrival[K], overShare bool) grclock.Millis {
	limit := max(float64(a.DeadlineLeft)*(1-e.lowered), float64(a.ObjectiveLeft))
	switch e.priorities.StandingOf(now, a.Priority) {
	case LessUrgent:
		limit *= lessUrgentLimit
	case Ahead:
		limit *= aheadLimit
	}
	if overShare {
		limit = min(limit, overShareLimit*float64(max(a.ObjectiveLeft, 0)))
	}
	return grclock.Millis(limit)
}
