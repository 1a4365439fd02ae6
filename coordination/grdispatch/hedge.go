package grdispatch

import "geraniumrouter/state/grclock"

// minHedgeSamples is the number of latency samples from which on the quantile is used.
const minHedgeSamples = 20

// initialHedgeDelay is the hedge delay until there are enough samples for the
// quantile.
const initialHedgeDelay = 50 * grclock.Millisecond

// policyHedgeDelay returns the age of an attempt at which a hedge is sent, by the
// policy.
func (d *Dispatcher) policyHedgeDelay() grclock.Millis {
	p := &d.Policy
	switch {
	case p.HedgeDelay > 0:
		return p.HedgeDelay
	case p.HedgeQuantile <= 0:
		return grclock.Never / 2
	case d.latency.Count() < minHedgeSamples:
		return initialHedgeDelay
	}
	longest := grclock.Millis(maxHedgeRatio * d.typicalLatency.Value(1))
	return max(p.MinHedgeDelay, min(longest, d.latency.At(p.HedgeQuantile))+1)
}

// maxHedgeRatio is the maximum hedge delay ÷ typical latency. It keeps a searcher that
// is slow for a long time from raising the delay without bound.
const maxHedgeRatio = 4

// checkInFlight checks the attempts, oldest first. It removes ended ones, closes
// unresponsive connections, queues hedges, cancels slow attempts that have a hedge,
// and closes the connections of abandoned attempts.
func (d *Dispatcher) checkInFlight(now grclock.Millis, out *Output) {
	policyDelay := d.policyHedgeDelay()
	for d.inFlight.size > 0 && d.findAttempt(d.inFlight.at(0)) == nil {
		d.inFlight.popFront()
	}
	for i := 0; i < d.inFlight.size; i++ {
		a := d.findAttempt(d.inFlight.at(i))
		if a == nil {
			continue
		}
		age := now - a.sentAt
		if age >= d.Policy.UnresponsiveTimeout {
			d.endUnresponsive(now, a, out)
			continue
		}
		threshold := d.hedgeDelayOf(a, policyDelay)
		if age < threshold && !a.cancelled {
			d.wakeAt(a.sentAt + threshold)
			continue
		}
		switch {
		case a.cancelled:
			d.closeAbandoned(now, a, out)
		case !a.hedged:
			d.hedge(now, a, age)
		case age >= d.cancelAge(threshold):
			d.cancelHedged(now, a, out)
		default:
			d.wakeAt(a.sentAt + d.cancelAge(threshold))
		}
	}
	if d.inFlight.size > 0 {
		if a := d.findAttempt(d.inFlight.at(0)); a != nil {
			d.wakeAt(a.sentAt + d.Policy.UnresponsiveTimeout)
		}
	}
}

// LowerHedgeDelay lowers the hedge delay of the sub-request to the given age of an
// attempt, if that is lower.
func (d *Dispatcher) LowerHedgeDelay(now grclock.Millis, key SubRequestKey, age grclock.Millis, out *Output) {
	index, ok := d.byKey[key]
	if !ok {
		return
	}
	s := &d.subs[index]
	if s.HedgeDelay > 0 && s.HedgeDelay <= age {
		return
	}
	s.HedgeDelay = age
	d.checkInFlight(now, out)
	d.dispatch(now, out)
}

// onHold reports whether the sub-request must not be sent at present, because the
// requesting instance may have bypassed this one.
func (s *pendingRequest) onHold(now grclock.Millis) bool {
	return s.HoldFrom > 0 && now >= s.HoldFrom
}

// EndHold ends the hold of a sub-request.
func (d *Dispatcher) EndHold(now grclock.Millis, key SubRequestKey, out *Output) {
	index, ok := d.byKey[key]
	if !ok {
		return
	}
	d.subs[index].HoldFrom = 0
	d.checkInFlight(now, out)
	d.dispatch(now, out)
}

// hedge queues a hedge of the sub-request if it is idempotent and the budget permits.
// The early deadline places it before newer sub-requests in the queue.
func (d *Dispatcher) hedge(now grclock.Millis, a *attempt, age grclock.Millis) {
	d.recordSlow(now, &d.searchers[a.searcher], age)
	s := &d.subs[a.sub]
	if s.onHold(now) {
		return
	}
	if s.NonIdempotent || int(s.sent) >= d.maxAttempts(s) || s.queued {
		a.hedged = true
		return
	}
	if !d.HedgeBudget.AllowAbove(now, d.reserveForRetries()) {
		d.Counters.HedgesDenied++
		d.wakeAt(now + hedgeRecheckInterval)
		return
	}
	a.hedged = true
	s.hedgeQueued = true
	d.enqueue(a.sub)
}

// retryReserve is the number of units that hedges leave in a budget shared with
// retries: a sub-request whose attempt failed has no other attempt in flight, while
// one that is merely slow does.
const retryReserve = 1

func (d *Dispatcher) reserveForRetries() float64 {
	if d.HedgeBudget == d.RetryBudget {
		return retryReserve
	}
	return 0
}

// cancelAge returns the age at which an attempt is cancelled in favour of its hedge.
func (d *Dispatcher) cancelAge(threshold grclock.Millis) grclock.Millis {
	return grclock.Millis(d.Policy.CancelRatio * float64(threshold))
}

// cancelHedged cancels a slow attempt whose hedge is in flight. Otherwise slow
// attempts could occupy the slots of all searchers while their hedges wait for each
// other's slots.
func (d *Dispatcher) cancelHedged(now grclock.Millis, a *attempt, out *Output) {
	s := &d.subs[a.sub]
	if d.Policy.CancelRatio <= 0 || s.queued || s.active < 2 {
		return
	}
	d.cancel(now, a, s.Key, out)
}

// closeAbandoned closes the connection of an abandoned attempt once it has had time to
// end by itself: opening a new connection costs more than the rest of a short search.
func (d *Dispatcher) closeAbandoned(now grclock.Millis, a *attempt, out *Output) {
	if d.Policy.CloseAbandonedAfter <= 0 {
		return
	}
	if now-a.cancelAt < d.Policy.CloseAbandonedAfter {
		d.wakeAt(a.cancelAt + d.Policy.CloseAbandonedAfter)
		return
	}
	d.Counters.AbandonedConnsClosed++
	d.HandleReply(now, Reply{Attempt: a.id, Kind: Dropped}, out)
}

// hedgeDelayOf returns the age at which the attempt counts as slow and is hedged.
func (d *Dispatcher) hedgeDelayOf(a *attempt, policyDelay grclock.Millis) grclock.Millis {
	s := &d.subs[a.sub]
	if s.live && s.gen == a.subGen && s.HedgeDelay > 0 {
		return s.HedgeDelay
	}
	return policyDelay
}

// hedgeDelay returns the age at which attempts of the sub-request are hedged.
func (d *Dispatcher) hedgeDelay(s *pendingRequest) grclock.Millis {
	if s.HedgeDelay > 0 {
		return s.HedgeDelay
	}
	return d.policyHedgeDelay()
}

// maxAttempts returns the maximum number of attempts of the sub-request, including the
// first.
func (d *Dispatcher) maxAttempts(s *pendingRequest) int {
	if s.MaxAttempts > 0 {
		return min(s.MaxAttempts, attemptLimit)
	}
	return d.Policy.MaxAttempts
}

// hedgeRecheckInterval is the wait before a hedge that the budget denied is tried
// again.
const hedgeRecheckInterval = 2 * grclock.Millisecond

// endUnresponsive ends an attempt that got no answer as LostReply and closes its
// connection, since new connections to the searcher may work.
func (d *Dispatcher) endUnresponsive(now grclock.Millis, a *attempt, out *Output) {
	d.Counters.UnresponsiveConns++
	d.HandleReply(now, Reply{Attempt: a.id, Kind: LostReply}, out)
}
