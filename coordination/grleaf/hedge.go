package grleaf

import "geraniumrouter/state/grclock"

// hedgeSamples is the number of answers after which the quantile is trusted.
const hedgeSamples = 20

// coldHedge is the delay of a second copy before the quantile is trusted.
const coldHedge = 50 * grclock.Millisecond

// hedgeAfter returns how old an attempt gets before a second copy is sent.
func (l *Leaf) hedgeAfter() grclock.Millis {
	p := &l.Policy
	switch {
	case p.HedgeDelay > 0:
		return p.HedgeDelay
	case p.HedgeQuantile <= 0:
		return grclock.Never / 2
	case l.latency.Count() < hedgeSamples:
		return coldHedge
	}
	longest := grclock.Millis(hedgeCap * l.typical.Value(1))
	return max(p.HedgeMin, min(longest, l.latency.At(p.HedgeQuantile))+1)
}

// hedgeCap times the typical latency is the longest delay of a second copy, so
// that a searcher that is slow for long does not raise the delay without end.
const hedgeCap = 4

// checkInFlight walks the attempts from the oldest: it drops those that ended,
// replaces silent connections and sends second copies.
func (l *Leaf) checkInFlight(now grclock.Millis, out *Out) {
	usual := l.hedgeAfter()
	for l.inFlight.size > 0 && l.find(l.inFlight.at(0)) == nil {
		l.inFlight.popFront()
	}
	for i := 0; i < l.inFlight.size; i++ {
		a := l.find(l.inFlight.at(i))
		if a == nil {
			continue
		}
		age := now - a.sentAt
		if age >= l.Policy.SilentLimit {
			l.endSilent(now, a, out)
			continue
		}
		threshold := l.thresholdOf(a, usual)
		if age < threshold && !a.cancelled {
			l.wakeAt(a.sentAt + threshold)
			continue
		}
		switch {
		case a.cancelled:
			l.dropLate(now, a, out)
		case !a.hedged:
			l.hedge(now, a, age)
		case age >= l.abandonAfter(threshold):
			l.abandonLate(now, a, out)
		default:
			l.wakeAt(a.sentAt + l.abandonAfter(threshold))
		}
	}
	if l.inFlight.size > 0 {
		if a := l.find(l.inFlight.at(0)); a != nil {
			l.wakeAt(a.sentAt + l.Policy.SilentLimit)
		}
	}
}

// Hasten lowers the age at which an attempt of the sub-request is late.
func (l *Leaf) Hasten(now grclock.Millis, key SubKey, age grclock.Millis, out *Out) {
	index, ok := l.byKey[key]
	if !ok {
		return
	}
	s := &l.subs[index]
	if s.HedgeAfter > 0 && s.HedgeAfter <= age {
		return
	}
	s.HedgeAfter = age
	l.checkInFlight(now, out)
	l.dispatch(now, out)
}

// held reports whether no copy of the sub-request may be sent for now: whoever
// asked for it may have gone another way.
func (s *sub) held(now grclock.Millis) bool { return s.HoldAfter > 0 && now >= s.HoldAfter }

// Resume lets copies of a sub-request be sent again.
func (l *Leaf) Resume(now grclock.Millis, key SubKey, out *Out) {
	index, ok := l.byKey[key]
	if !ok {
		return
	}
	l.subs[index].HoldAfter = 0
	l.checkInFlight(now, out)
	l.dispatch(now, out)
}

// hedge queues the sub-request for a second copy if it may be repeated and the
// budget pays. In the queue its early deadline puts it before newer work.
func (l *Leaf) hedge(now grclock.Millis, a *attempt, age grclock.Millis) {
	l.noteSlow(now, &l.replicas[a.replica], age)
	s := &l.subs[a.sub]
	if s.held(now) {
		return
	}
	if s.Once || int(s.sent) >= l.maxAttempts(s) || s.queued {
		a.hedged = true
		return
	}
	if !l.Hedges.AllowAbove(now, l.keptForRetries()) {
		l.Counters.HedgesDenied++
		l.wakeAt(now + hedgeRecheck)
		return
	}
	a.hedged = true
	s.hedging = true
	l.enqueue(a.sub)
}

// retriesKept is the units of a shared budget that second copies leave: a
// sub-request that failed has no other copy on the way.
const retriesKept = 1

func (l *Leaf) keptForRetries() float64 {
	if l.Hedges == l.Retries {
		return retriesKept
	}
	return 0
}

// abandonAfter returns how old an attempt gets before it is cancelled in favour
// of its copy.
func (l *Leaf) abandonAfter(threshold grclock.Millis) grclock.Millis {
	return grclock.Millis(l.Policy.AbandonRatio * float64(threshold))
}

// abandonLate cancels an attempt whose copy is on its way. Otherwise the slots
// of all searchers could be held by late attempts, whose copies wait for each
// other's slots.
func (l *Leaf) abandonLate(now grclock.Millis, a *attempt, out *Out) {
	s := &l.subs[a.sub]
	if l.Policy.AbandonRatio <= 0 || s.queued || s.active < 2 {
		return
	}
	l.cancel(now, a, s.Key, out)
}

// dropLate closes the connection of an attempt that nobody waits for, once it
// has had time to end by itself: a new connection costs more than the rest of a
// short search.
func (l *Leaf) dropLate(now grclock.Millis, a *attempt, out *Out) {
	if l.Policy.DropAfter <= 0 {
		return
	}
	if now-a.cancelAt < l.Policy.DropAfter {
		l.wakeAt(a.cancelAt + l.Policy.DropAfter)
		return
	}
	l.Counters.Dropped++
	l.Reply(now, Reply{Attempt: a.id, Kind: Dropped}, out)
}

// thresholdOf returns the age at which an attempt is late.
func (l *Leaf) thresholdOf(a *attempt, usual grclock.Millis) grclock.Millis {
	s := &l.subs[a.sub]
	if s.live && s.gen == a.subGen && s.HedgeAfter > 0 {
		return s.HedgeAfter
	}
	return usual
}

// hedgeDelay returns the age at which an attempt of the sub-request is late.
func (l *Leaf) hedgeDelay(s *sub) grclock.Millis {
	if s.HedgeAfter > 0 {
		return s.HedgeAfter
	}
	return l.hedgeAfter()
}

// maxAttempts returns how many copies of the sub-request may be sent.
func (l *Leaf) maxAttempts(s *sub) int {
	if s.MaxAttempts > 0 {
		return min(s.MaxAttempts, maxCopies)
	}
	return l.Policy.MaxAttempts
}

// hedgeRecheck is the pause before a second copy that the budget did not pay
// is tried again.
const hedgeRecheck = 2 * grclock.Millisecond

// endSilent replaces a connection on which an attempt got no answer. The
// searcher is not blamed: new connections to it may work.
func (l *Leaf) endSilent(now grclock.Millis, a *attempt, out *Out) {
	l.Counters.SilentConns++
	l.Reply(now, Reply{Attempt: a.id, Kind: LostReply}, out)
}
