package grdispatch

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

func (d *Dispatcher) enqueue(index int32) {
	d.subs[index].queued = true
	d.queue.Push(index)
}

func (d *Dispatcher) latestQueued() int32 {
	latest := d.queue.Top()
	for _, index := range d.queue.Items() {
		if before(&d.subs[latest], &d.subs[index]) {
			latest = index
		}
	}
	return latest
}

// dispatch sends waiting sub-requests in queue order while a searcher has capacity. A
// hedge without a free searcher does not block the sub-requests behind it, nor does a
// sub-request on hold or one restricted to some searchers. Without a lease on the list of
// searchers, all wait: which of them are left is not known.
func (d *Dispatcher) dispatch(now grclock.Millis, out *Output) {
	if d.View.expired(now) {
		d.awaitView(now, out)
		return
	}
	waits := false
	for d.queue.Len() > 0 {
		index := d.queue.Top()
		s := &d.subs[index]
		if s.Deadline <= now {
			d.expire(now, index, out)
			continue
		}
		if s.onHold(now) {
			d.deferred = append(d.deferred, d.queue.Pop())
			continue
		}
		if d.heldBackTooLong(now, s) {
			d.finish(now, index, d.doneKind(s, NotStarted), out)
			continue
		}
		if d.demoteLate(now, index) {
			continue
		}
		r := d.choose(now, s, out)
		if r < 0 && s.active == 0 && (d.unreachable(now, s) || d.unservable(now, s, 0)) {
			d.finish(now, index, d.doneKind(s, NotStarted), out)
			continue
		}
		if r < 0 && (d.WarmConns != nil || s.Correlation != 0) {
			d.openForWaiting(now, s, out)
		}
		if r < 0 && s.restricted() {
			d.wakeAfterPauses(now)
		}
		if r < 0 && (s.active > 0 || s.restricted()) {
			d.deferred = append(d.deferred, d.queue.Pop())
			continue
		}
		if r < 0 {
			d.wakeAt(s.Deadline)
			d.wakeAfterPauses(now)
			waits = true
			break
		}
		d.queue.Pop()
		s.queued, s.hedgeQueued = false, false
		d.useRateLimit(now, s, r, d.countSend(s), out)
		sendBy := d.useColdUnit(now, s, r, out)
		d.send(now, index, r, sendBy, out)
	}
	for _, index := range d.deferred {
		d.wakeAt(d.subs[index].Deadline)
		d.queue.Push(index)
	}
	d.deferred = d.deferred[:0]
	d.backlog.record(now, waits && d.allAtCapacity(now))
}

// demoteLate moves a waiting sub-request whose latency objective has passed behind
// those that can still meet theirs.
func (d *Dispatcher) demoteLate(now grclock.Millis, index int32) bool {
	s := &d.subs[index]
	if s.pastObjective || s.LatencyObjective == 0 || now < s.LatencyObjective {
		return false
	}
	d.queue.Pop()
	s.pastObjective = true
	d.queue.Push(index)
	return true
}

// attemptKind tells why an attempt is sent.
type attemptKind uint8

// Kinds of attempts.
const (
	firstAttempt   attemptKind = iota
	hedgedAttempt              // while another attempt is in flight
	resentAttempt              // no attempt before it started
	retriedAttempt             // an attempt before it may have started
)

// countSend counts the next attempt of the sub-request and returns its kind.
func (d *Dispatcher) countSend(s *pendingRequest) attemptKind {
	first := !s.dispatched
	s.dispatched = true
	switch {
	case s.active > 0:
		d.Counters.Hedges++
		return hedgedAttempt
	case first:
		d.Counters.FirstAttempts++
		return firstAttempt
	case s.sent == 0:
		d.Counters.Resent++
		return resentAttempt
	}
	d.Counters.Retries++
	return retriedAttempt
}

// send sends an attempt of the sub-request, which must leave by sendBy.
func (d *Dispatcher) send(now grclock.Millis, index, searcher int32, sendBy grclock.Millis, out *Output) {
	s := &d.subs[index]
	r := &d.searchers[searcher]
	conn := r.conns.takeFor(s.Correlation)
	r.conns.recordCarried(conn, s.Correlation)
	d.recordUse(now, r)
	r.inFlight++
	d.sendCount++
	id := d.newAttempt(attempt{sub: index, subGen: s.gen, searcher: searcher, run: r.Incarnation, conn: conn, sentAt: now})
	s.attempts[s.sent], s.sentTo[s.sent] = id, searcher
	s.sent++
	s.active++
	s.triedMask |= 1 << (uint(searcher) % 64)
	d.inFlight.push(id)
	d.wakeAt(now + d.hedgeDelay(s))
	d.wakeAt(now + d.Policy.UnresponsiveTimeout)
	d.emit(out, Send, searcher, conn, id, s.Key, s.Deadline-now)
	sent := &out.Actions[len(out.Actions)-1]
	sent.SendBy = min(sent.SendBy, sendBy)
}

// newAttempt stores the attempt under an id that is never reused: the low 32 bits are
// its index, the high 32 bits count the uses of that index.
func (d *Dispatcher) newAttempt(a attempt) grident.AttemptID {
	var index int32
	if n := len(d.freeAttempts); n > 0 {
		index = d.freeAttempts[n-1]
		d.freeAttempts = d.freeAttempts[:n-1]
	} else {
		index = int32(len(d.attempts))
		d.attempts = append(d.attempts, attempt{id: grident.AttemptID(index)})
	}
	a.id = d.attempts[index].id + 1<<32
	a.live = true
	d.attempts[index] = a
	return a.id
}

func (d *Dispatcher) findAttempt(id grident.AttemptID) *attempt {
	index := uint32(id)
	if int(index) >= len(d.attempts) {
		return nil
	}
	a := &d.attempts[index]
	if !a.live || a.id != id {
		return nil
	}
	return a
}

func (d *Dispatcher) freeAttempt(a *attempt) {
	a.live = false
	d.freeAttempts = append(d.freeAttempts, int32(uint32(a.id)))
}

// expireQueued ends waiting sub-requests whose deadline has passed.
func (d *Dispatcher) expireQueued(now grclock.Millis, out *Output) {
	for d.queue.Len() > 0 {
		index := d.queue.Top()
		if d.subs[index].Deadline > now {
			return
		}
		d.expire(now, index, out)
	}
}

func (d *Dispatcher) expire(now grclock.Millis, index int32, out *Output) {
	d.cancelAttempts(now, index, out)
	d.finish(now, index, d.doneKind(&d.subs[index], Expired), out)
}

// doneKind returns how to report a sub-request without an answer: fallback only if no
// searcher can have executed it.
func (d *Dispatcher) doneKind(s *pendingRequest, fallback DoneKind) DoneKind {
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
