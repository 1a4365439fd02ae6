package grdispatch

import "geraniumrouter/state/grclock"

// minHedgeSamples is the number of latency samples from which on the quantile is used.
const minHedgeSamples = 20

// initialHedgeDelay is the hedge delay until there are enough samples for the
// quantile.
const initialHedgeDelay = 50 * grclock.Millisecond

// policyHedgeDelay returns the age of an attempt at which a hedge is sent, by the
// policy.
func (l *Dispatcher) policyHedgeDelay() grclock.Millis {
	p := &l.Policy
	switch {
	case p.HedgeDelay > 0:
		return p.HedgeDelay
	case p.HedgeQuantile <= 0:
		return grclock.Never / 2
	case l.latency.Count() < minHedgeSamples:
		return initialHedgeDelay
	}
	longest := grclock.Millis(maxHedgeRatio * l.typicalLatency.Value(1))
	return max(p.MinHedgeDelay, min(longest, l.latency.At(p.HedgeQuantile))+1)
}

// maxHedgeRatio is the maximum hedge delay ÷ typical latency. It keeps a searcher that
// is slow for a long time from raising the delay without bound.
const maxHedgeRatio = 4

// checkInFlight checks the attempts, oldest first. It removes ended ones, closes
// unresponsive connections, queues hedges, cancels slow attempts that have a hedge,
// and closes the connections of abandoned attempts.
func (l *Dispatcher) checkInFlight(now grclock.Millis, out *Output) {
	policyDelay := l.policyHedgeDelay()
	for l.inFlight.size > 0 && l.findAttempt(l.inFlight.at(0)) == nil {
		l.inFlight.popFront()
	}
	for i := 0; i < l.inFlight.size; i++ {
		a := l.findAttempt(l.inFlight.at(i))
		if a == nil {
			continue
		}
		age := now - a.sentAt
		if age >= l.Policy.UnresponsiveTimeout {
			l.endUnresponsive(now, a, out)
			continue
		}
		threshold := l.hedgeDelayOf(a, policyDelay)
		if age < threshold && !a.cancelled {
			l.wakeAt(a.sentAt + threshold)
			continue
		}
		switch {
		case a.cancelled:
			l.closeAbandoned(now, a, out)
		case !a.hedged:
			l.hedge(now, a, age)
		case age >= l.cancelAge(threshold):
			l.cancelHedged(now, a, out)
		default:
			l.wakeAt(a.sentAt + l.cancelAge(threshold))
		}
	}
	if l.inFlight.size > 0 {
		if a := l.findAttempt(l.inFlight.at(0)); a != nil {
			l.wakeAt(a.sentAt + l.Policy.UnresponsiveTimeout)
		}
	}
}

// LowerHedgeDelay lowers the hedge delay of the sub-request to the given age of an attempt, if
// that is lower.
func (l *Dispatcher) LowerHedgeDelay(now grclock.Millis, key SubRequestKey, age grclock.Millis, out *Output) {
	index, ok := l.byKey[key]
	if !ok {
		return
	}
	s := &l.subs[index]
	if s.HedgeDelay > 0 && s.HedgeDelay <= age {
		return
	}
	s.HedgeDelay = age
	l.checkInFlight(now, out)
	l.dispatch(now, out)
}

// onHold reports whether the sub-request must not be sent at present, because the
// requesting instance may have bypassed this one.
func (s *pendingRequest) onHold(now grclock.Millis) bool {
	return s.HoldFrom > 0 && now >= s.HoldFrom
}

// EndHold ends the hold of a sub-request.
func (l *Dispatcher) EndHold(now grclock.Millis, key SubRequestKey, out *Output) {
	index, ok := l.byKey[key]
	if !ok {
		return
	}
	l.subs[index].HoldFrom = 0
	l.checkInFlight(now, out)
	l.dispatch(now, out)
}

// hedge queues a hedge of the sub-request if it is idempotent and the budget permits.
// The early deadline places it before newer sub-requests in the queue.
func (l *Dispatcher) hedge(now grclock.Millis, a *attempt, age grclock.Millis) {
	l.recordSlow(now, &l.searchers[a.searcher], age)
	s := &l.subs[a.sub]
	if s.onHold(now) {
		return
	}
	if s.NonIdempotent || int(s.sent) >= l.maxAttempts(s) || s.queued {
		a.hedged = true
		return
	}
	if !l.HedgeBudget.AllowAbove(now, l.reserveForRetries()) {
		l.Counters.HedgesDenied++
		l.wakeAt(now + hedgeRecheckInterval)
		return
	}
	a.hedged = true
	s.hedgeQueued = true
	l.enqueue(a.sub)
}

// retryReserve is the number of units that hedges leave in a budget shared with
// retries: a sub-request whose attempt failed has no other attempt in flight, while
// one that is merely slow does.
const retryReserve = 1

func (l *Dispatcher) reserveForRetries() float64 {
	if l.HedgeBudget == l.RetryBudget {
		return retryReserve
	}
	return 0
}

// cancelAge returns the age at which an attempt is cancelled in favour of its hedge.
func (l *Dispatcher) cancelAge(threshold grclock.Millis) grclock.Millis {
	return grclock.Millis(l.Policy.CancelRatio * float64(threshold))
}

// cancelHedged cancels a slow attempt whose hedge is in flight. Otherwise slow
// attempts could occupy the slots of all searchers while their hedges wait for each
// other's slots.
func (l *Dispatcher) cancelHedged(now grclock.Millis, a *attempt, out *Output) {
	s := &l.subs[a.sub]
	if l.Policy.CancelRatio <= 0 || s.queued || s.active < 2 {
		return
	}
	l.cancel(now, a, s.Key, out)
}

// closeAbandoned closes the connection of an abandoned attempt once it has had time to
// end by itself: opening a new connection costs more than the rest of a short search.
func (l *Dispatcher) closeAbandoned(now grclock.Millis, a *attempt, out *Output) {
	if l.Policy.CloseAbandonedAfter <= 0 {
		return
	}
	if now-a.cancelAt < l.Policy.CloseAbandonedAfter {
		l.wakeAt(a.cancelAt + l.Policy.CloseAbandonedAfter)
		return
	}
	l.Counters.AbandonedConnsClosed++
	l.HandleReply(now, Reply{Attempt: a.id, Kind: Dropped}, out)
}

// hedgeDelayOf returns the age at which the attempt counts as slow and is hedged.
func (l *Dispatcher) hedgeDelayOf(a *attempt, policyDelay grclock.Millis) grclock.Millis {
	s := &l.subs[a.sub]
	if s.live && s.gen == a.subGen && s.HedgeDelay > 0 {
		return s.HedgeDelay
	}
	return policyDelay
}

// hedgeDelay returns the age at which attempts of the sub-request are hedged.
func (l *Dispatcher) hedgeDelay(s *pendingRequest) grclock.Millis {
	if s.HedgeDelay > 0 {
		return s.HedgeDelay
	}
	return l.policyHedgeDelay()
}

// maxAttempts returns the maximum number of attempts of the sub-request, including the
// first.
func (l *Dispatcher) maxAttempts(s *pendingRequest) int {
	if s.MaxAttempts > 0 {
		return min(s.MaxAttempts, attemptLimit)
	}
	return l.Policy.MaxAttempts
}

// hedgeRecheckInterval is the wait before a hedge that the budget denied is tried
// again.
const hedgeRecheckInterval = 2 * grclock.Millisecond

// endUnresponsive ends an attempt that got no answer as LostReply and closes its
// connection, since new connections to the searcher may work.
func (l *Dispatcher) endUnresponsive(now grclock.Millis, a *attempt, out *Output) {
	l.Counters.UnresponsiveConns++
	l.HandleReply(now, Reply{Attempt: a.id, Kind: LostReply}, out)
}
