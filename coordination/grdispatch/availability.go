package grdispatch

import (
	"slices"

	"geraniumrouter/state/grclock"
)

// availability tells from when a searcher may get attempts.
type availability struct {
	present             bool           // in the current list of searchers
	draining            bool           // said that it leaves, or another searcher has its address
	refusedUntil        grclock.Millis // end of the time for which it asked for no attempts
	backoffUntil        grclock.Millis // end of the backoff after it shed or lost a connection
	backoffStep         int            // doublings of the backoff
	ejectedUntil        grclock.Millis
	ejections           int
	consecutiveFailures int
}

// Parameters of backoff, ejection and refusals.
const (
	initialBackoff   = 4 * grclock.Millisecond // first backoff after a searcher shed or lost a connection
	maxBackoffStep   = 8                       // maximum doublings of the backoff
	maxEjectSteps    = 5                       // maximum doublings of the ejection time
	refusalJitter    = 10                      // divisor of the time of a refusal to the longest jitter added to it
	maxRefusalJitter = 500 * grclock.Millisecond
)

// usable reports whether the searcher is listed and does not leave.
func (r *searcherState) usable() bool { return r.present && !r.Leaving && !r.draining }

// refuses reports whether the searcher has asked for no attempts at this time.
func (a *availability) refuses(now grclock.Millis) bool { return a.refusedUntil > now }

// accepts reports whether the searcher takes new attempts, apart from backoff and ejection.
func (r *searcherState) accepts(now grclock.Millis) bool { return r.usable() && !r.refuses(now) }

// hasRoom reports whether the searcher can take an attempt of s now.
func (d *Dispatcher) hasRoom(now grclock.Millis, r *searcherState, s *pendingRequest) bool {
	if !r.accepts(now) || r.conns.idleFor(s.Correlation) < 0 {
		return false
	}
	if r.backoffUntil > now || r.inFlight >= int(r.window) {
		return false
	}
	return r.ejectedUntil <= now || d.allEjected(now)
}

// allEjected reports whether every searcher that accepts attempts is ejected. Ejections are then
// ignored.
func (d *Dispatcher) allEjected(now grclock.Millis) bool {
	for i := range d.searchers {
		if r := &d.searchers[i]; r.accepts(now) && r.ejectedUntil <= now {
			return false
		}
	}
	return true
}

// wakeAfterPauses schedules a wake-up for the end of each pause of a searcher.
func (d *Dispatcher) wakeAfterPauses(now grclock.Millis) {
	for i := range d.searchers {
		a := &d.searchers[i].availability
		for _, until := range []grclock.Millis{a.refusedUntil, a.backoffUntil, a.ejectedUntil} {
			if until > now {
				d.wakeAt(until)
			}
		}
	}
}

// recordRefusal records that a searcher asked in its answer to the attempt for no further ones
// for a time. Of answers to attempts that were in flight together the longest time counts. The
// jitter keeps the instances that it refused together from returning together, and the slow start
// from then on is as long as that time, but no longer than that of a new searcher.
func (d *Dispatcher) recordRefusal(now grclock.Millis, r *searcherState, a *attempt, span grclock.Millis) {
	if span <= 0 || a.run != r.Incarnation {
		return
	}
	d.Counters.Refusals++
	jitter := min(span/refusalJitter, maxRefusalJitter)
	until := now + span + grclock.Millis(d.Random.IntN(int(jitter)+1))
	r.refusedUntil = max(r.refusedUntil, until)
	r.slowStartAt = max(r.slowStartAt, r.refusedUntil-max(d.Policy.SlowStart-span, 0))
}

// endUnservable ends the waiting sub-requests that cannot be sent in time any more, wherever they
// wait in the queue, if every searcher refuses attempts.
func (d *Dispatcher) endUnservable(now grclock.Millis, out *Output) {
	if d.RefusedFor(now) == 0 {
		return
	}
	for _, index := range slices.Clone(d.queue.Items()) {
		if s := &d.subs[index]; d.unservable(now, s, 0) {
			d.finish(now, index, d.doneKind(s, NotStarted), out)
		}
	}
}

// SearcherRefusesFor returns the time for which a searcher has asked for no attempts; 0: it has not.
func (d *Dispatcher) SearcherRefusesFor(now grclock.Millis, searcher int32) grclock.Millis {
	return max(d.searchers[searcher].refusedUntil-now, 0)
}

// RefusedFor returns the time until some searcher takes attempts again, if all that accept work
// and that this instance may connect to have asked for none; else 0.
func (d *Dispatcher) RefusedFor(now grclock.Millis) grclock.Millis {
	return d.refusedFor(now, func(int32) bool { return true })
}

// refusedFor is RefusedFor for the searchers that are allowed.
func (d *Dispatcher) refusedFor(now grclock.Millis, allowed func(searcher int32) bool) grclock.Millis {
	soonest := grclock.Millis(0)
	for i := range d.searchers {
		r := &d.searchers[i]
		if !r.usable() || !allowed(int32(i)) || r.NotHolder && r.conns.total == 0 {
			continue
		}
		if !r.refuses(now) {
			return 0
		}
		if wait := r.refusedUntil - now; soonest == 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest
}

// recordFailure ejects the searcher after several consecutive failures, unless fewer than half of
// those that accept attempts would then remain.
func (d *Dispatcher) recordFailure(now grclock.Millis, r *searcherState) {
	r.consecutiveFailures++
	if r.consecutiveFailures < d.Policy.EjectAfter || r.ejectedUntil > now {
		return
	}
	accepting, notEjected := 0, 0
	for i := range d.searchers {
		if !d.searchers[i].accepts(now) {
			continue
		}
		accepting++
		if d.searchers[i].ejectedUntil <= now {
			notEjected++
		}
	}
	if (notEjected-1)*2 < accepting {
		return
	}
	step := min(r.ejections, maxEjectSteps)
	r.ejectedUntil = now + d.Policy.EjectFor<<step
	r.ejections++
	r.consecutiveFailures = 0
	r.slowStartAt = r.ejectedUntil
	d.Counters.Ejections++
}

func (d *Dispatcher) recordSuccess(r *searcherState) { r.consecutiveFailures, r.ejections = 0, 0 }

// backOff pauses new work to the searcher. The pause doubles each time until the
// searcher answers, and is jittered between half and all of its length.
func (d *Dispatcher) backOff(now grclock.Millis, r *searcherState) {
	pause := min(d.Policy.BackoffMax, initialBackoff<<r.backoffStep)
	r.backoffUntil = now + pause/2 + grclock.Millis(d.Random.IntN(int(pause/2)+1))
	r.backoffStep = min(r.backoffStep+1, maxBackoffStep)
}
