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
	return max(p.HedgeMin, l.latency.At(p.HedgeQuantile)+1)
}

// checkInFlight walks the attempts from the oldest: it drops those that ended,
// replaces silent connections and sends second copies.
func (l *Leaf) checkInFlight(now grclock.Millis, out *Out) {
	threshold := l.hedgeAfter()
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
		if age < threshold {
			l.wakeAt(a.sentAt + threshold)
			break
		}
		if !a.hedged && !a.cancelled {
			l.hedge(now, a, age, out)
		}
	}
	if l.inFlight.size > 0 {
		if a := l.find(l.inFlight.at(0)); a != nil {
			l.wakeAt(a.sentAt + l.Policy.SilentLimit)
		}
	}
}

// hedge sends a second copy if the sub-request may be repeated, nothing waits
// in front of it, the budget pays and another searcher has room.
func (l *Leaf) hedge(now grclock.Millis, a *attempt, age grclock.Millis, out *Out) {
	l.noteSlow(now, &l.replicas[a.replica], age)
	s := &l.subs[a.sub]
	if s.Once || int(s.sent) >= l.Policy.MaxAttempts || s.queued {
		a.hedged = true
		return
	}
	if l.queue.Len() > 0 {
		l.wakeAt(now + hedgeRecheck)
		return
	}
	if !l.hedges.Can() {
		a.hedged = true
		l.Counters.HedgesDenied++
		return
	}
	r := l.choose(now, s)
	if r < 0 {
		l.wakeAt(now + hedgeRecheck)
		return
	}
	a.hedged = true
	l.hedges.Spend()
	l.Counters.Hedges++
	l.send(now, a.sub, r, out)
}

// hedgeRecheck is the pause before a second copy that found no room is tried
// again.
const hedgeRecheck = 2 * grclock.Millisecond

// endSilent replaces a connection on which an attempt got no answer. The
// searcher is not blamed: new connections to it may work.
func (l *Leaf) endSilent(now grclock.Millis, a *attempt, out *Out) {
	l.Counters.SilentConns++
	l.Reply(now, Reply{Attempt: a.id, Kind: LostReply}, out)
}
