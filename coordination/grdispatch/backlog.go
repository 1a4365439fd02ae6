package grdispatch

import (
	"math"

	"geraniumrouter/state/grclock"
)

// Parameters of the estimate of the backlog.
const (
	backlogMemory     = grclock.Second // time in which what was observed loses all but 1/e of its weight
	minSaturatedTime  = 200.0          // ms of recent saturation; shorter queues are peaks, and tell no rate
	minBacklogAnswers = 4.0            // recent answers; fewer tell no rate
	shedMemory        = grclock.Second // time for which a searcher that shed counts as having no spare capacity
)

// backlog tracks the time in which sub-requests wait because every searcher is at capacity,
// and the rate of answers in it. How long answers take has no part in it.
type backlog struct {
	saturated bool
	since     grclock.Millis // start of the saturation
	updatedAt grclock.Millis // time up to which the sums are counted
	answers   float64        // recent answers while saturated
	span      float64        // recent time of saturation, in ms
}

// record records whether sub-requests wait for capacity.
func (b *backlog) record(now grclock.Millis, saturated bool) {
	if saturated || b.saturated {
		b.advance(now)
	}
	if saturated && !b.saturated {
		b.since = now
	}
	b.saturated = saturated
}

func (b *backlog) recordAnswer(now grclock.Millis) {
	if b.saturated {
		b.advance(now)
		b.answers++
	}
}

func (b *backlog) advance(now grclock.Millis) {
	elapsed := float64(now - b.updatedAt)
	kept := math.Exp(-elapsed / float64(backlogMemory))
	b.answers, b.span, b.updatedAt = b.answers*kept, b.span*kept, now
	if b.saturated {
		b.span += elapsed
	}
}

// SaturatedSince returns since when sub-requests have been waiting without interruption
// because every searcher is at capacity. ok is false if none waits for that reason.
func (d *Dispatcher) SaturatedSince() (since grclock.Millis, ok bool) {
	return d.backlog.since, d.backlog.saturated
}

// WorkOffTime estimates how long the searchers need to begin what waits and one sub-request
// more. It is 0 without evidence of a queue: if nothing waits, if a searcher has spare capacity
// or connections to it are being opened, or if the rate of answers is not known yet.
func (d *Dispatcher) WorkOffTime(now grclock.Millis) grclock.Millis {
	b := &d.backlog
	if !b.saturated {
		return 0
	}
	b.advance(now)
	if b.span < minSaturatedTime || b.answers < minBacklogAnswers {
		return 0
	}
	waiting := 1
	for _, index := range d.queue.Items() {
		if s := &d.subs[index]; s.active == 0 && !s.onHold(now) {
			waiting++
		}
	}
	return grclock.Millis(float64(waiting) * b.span / b.answers)
}

// Waits reports whether the sub-request waits for a searcher and no attempt of it is in flight.
func (d *Dispatcher) Waits(key SubRequestKey) bool {
	index, ok := d.byKey[key]
	return ok && d.subs[index].queued && d.subs[index].active == 0
}

// allAtCapacity reports whether no searcher that may get work could take more than it has.
func (d *Dispatcher) allAtCapacity(now grclock.Millis) bool {
	known := false
	for i := range d.searchers {
		r := &d.searchers[i]
		if !r.accepts(now) || r.NotHolder && r.conns.total == 0 {
			continue
		}
		if r.ejectedUntil > now || !d.atCapacity(now, r) {
			return false
		}
		known = true
	}
	return known
}

// atCapacity reports whether the searcher takes no more work. A window that can still grow, a
// connection that can still be opened and a rate limit are other reasons to wait.
func (d *Dispatcher) atCapacity(now grclock.Millis, r *searcherState) bool {
	switch shed := r.shedAt > 0 && now-r.shedAt < shedMemory; {
	case r.rateLimit.Limited():
		return false
	case shed && (r.backoffUntil > now || r.inFlight >= int(r.window)):
		return true
	case r.inFlight >= int(r.window):
		return d.Policy.FixedWindow || r.window > d.maxWindow(r)-1
	}
	return r.inFlight > 0 && r.conns.opening == 0 && r.conns.total >= d.connLimit(r) && len(r.conns.idle) == 0
}
