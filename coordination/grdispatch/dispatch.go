package grdispatch

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

func (l *Dispatcher) enqueue(index int32) {
	l.subs[index].queued = true
	l.queue.Push(index)
}

func (l *Dispatcher) latestQueued() int32 {
	latest := l.queue.Top()
	for _, index := range l.queue.Items() {
		if before(&l.subs[latest], &l.subs[index]) {
			latest = index
		}
	}
	return latest
}

// dispatch sends waiting sub-requests in queue order while a searcher has capacity. A
// hedge without a free searcher does not block the sub-requests behind it, nor does a
// sub-request on hold or one restricted to some searchers.
func (l *Dispatcher) dispatch(now grclock.Millis, out *Output) {
	for l.queue.Len() > 0 {
		index := l.queue.Top()
		s := &l.subs[index]
		if s.Deadline <= now {
			l.expire(now, index, out)
			continue
		}
		if s.onHold(now) {
			l.deferred = append(l.deferred, l.queue.Pop())
			continue
		}
		if l.demoteLate(now, index) {
			continue
		}
		r := l.choose(now, s)
		if r < 0 && s.active == 0 && l.unreachable(now, s) {
			l.finish(now, index, l.doneKind(s, NotStarted), out)
			continue
		}
		if r < 0 && l.WarmConns != nil {
			l.openForWaiting(now, s, out)
		}
		if r < 0 && s.restricted() {
			l.wakeAfterPauses(now)
		}
		if r < 0 && (s.active > 0 || s.restricted()) {
			l.deferred = append(l.deferred, l.queue.Pop())
			continue
		}
		if r < 0 {
			l.wakeAt(s.Deadline)
			l.wakeAfterPauses(now)
			break
		}
		l.queue.Pop()
		s.queued, s.hedgeQueued = false, false
		l.countSend(s)
		l.send(now, index, r, out)
	}
	for _, index := range l.deferred {
		l.wakeAt(l.subs[index].Deadline)
		l.queue.Push(index)
	}
	l.deferred = l.deferred[:0]
}

// demoteLate moves a waiting sub-request whose latency objective has passed behind
// those that can still meet theirs.
func (l *Dispatcher) demoteLate(now grclock.Millis, index int32) bool {
	s := &l.subs[index]
	if s.pastObjective || s.LatencyObjective == 0 || now < s.LatencyObjective {
		return false
	}
	l.queue.Pop()
	s.pastObjective = true
	l.queue.Push(index)
	return true
}

func (l *Dispatcher) countSend(s *pendingRequest) {
	switch {
	case s.active > 0:
		l.Counters.Hedges++
	case !s.dispatched:
		l.Counters.FirstAttempts++
	case s.sent == 0:
		l.Counters.Resent++
	default:
		l.Counters.Retries++
	}
	s.dispatched = true
}

// wakeAfterPauses schedules a wake-up for the end of each searcher's backoff or
// ejection.
func (l *Dispatcher) wakeAfterPauses(now grclock.Millis) {
	for i := range l.searchers {
		r := &l.searchers[i]
		if r.backoffUntil > now {
			l.wakeAt(r.backoffUntil)
		}
		if r.ejectedUntil > now {
			l.wakeAt(r.ejectedUntil)
		}
	}
}

func (l *Dispatcher) send(now grclock.Millis, index, searcher int32, out *Output) {
	s := &l.subs[index]
	r := &l.searchers[searcher]
	last := len(r.conns.idle) - 1
	conn := r.conns.idle[last].id
	r.conns.idle = r.conns.idle[:last]
	l.recordUse(now, r)
	r.inFlight++
	l.sendCount++
	id := l.newAttempt(attempt{sub: index, subGen: s.gen, searcher: searcher, conn: conn, sentAt: now})
	s.attempts[s.sent], s.sentTo[s.sent] = id, searcher
	s.sent++
	s.active++
	s.triedMask |= 1 << (uint(searcher) % 64)
	l.inFlight.push(id)
	l.wakeAt(now + l.hedgeDelay(s))
	l.wakeAt(now + l.Policy.UnresponsiveTimeout)
	l.emit(out, Send, searcher, conn, id, s.Key, s.Deadline-now)
}

// newAttempt stores the attempt under an id that is never reused: the low 32 bits are
// its index, the high 32 bits count the uses of that index.
func (l *Dispatcher) newAttempt(a attempt) grident.AttemptID {
	var index int32
	if n := len(l.freeAttempts); n > 0 {
		index = l.freeAttempts[n-1]
		l.freeAttempts = l.freeAttempts[:n-1]
	} else {
		index = int32(len(l.attempts))
		l.attempts = append(l.attempts, attempt{id: grident.AttemptID(index)})
	}
	a.id = l.attempts[index].id + 1<<32
	a.live = true
	l.attempts[index] = a
	return a.id
}

func (l *Dispatcher) findAttempt(id grident.AttemptID) *attempt {
	index := uint32(id)
	if int(index) >= len(l.attempts) {
		return nil
	}
	a := &l.attempts[index]
	if !a.live || a.id != id {
		return nil
	}
	return a
}

func (l *Dispatcher) freeAttempt(a *attempt) {
	a.live = false
	l.freeAttempts = append(l.freeAttempts, int32(uint32(a.id)))
}

// expireQueued ends waiting sub-requests whose deadline has passed.
func (l *Dispatcher) expireQueued(now grclock.Millis, out *Output) {
	for l.queue.Len() > 0 {
		index := l.queue.Top()
		if l.subs[index].Deadline > now {
			return
		}
		l.expire(now, index, out)
	}
}

func (l *Dispatcher) expire(now grclock.Millis, index int32, out *Output) {
	l.cancelAttempts(now, index, out)
	l.finish(now, index, l.doneKind(&l.subs[index], Expired), out)
}

// doneKind returns how to report a sub-request without an answer: fallback only if no
// searcher can have executed it.
func (l *Dispatcher) doneKind(s *pendingRequest, fallback DoneKind) DoneKind {
	switch {
	case s.NonIdempotent && (s.mayHaveRun || s.active > 0):
		return Unknown
	case s.snapshotGone:
		return SnapshotGone
	case s.mayHaveRun, s.active > 0:
		return Unknown
	}
	return fallback
}
