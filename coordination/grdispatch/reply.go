package grdispatch

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// HandleReply processes the outcome of an attempt. Outcomes of attempts that have
// already ended are only counted, so late and duplicate replies have no effect.
func (d *Dispatcher) HandleReply(now grclock.Millis, reply Reply, out *Output) {
	a := d.findAttempt(reply.Attempt)
	if a == nil {
		d.Counters.LateReplies++
		return
	}
	d.settleSearcher(now, a, reply, out)
	ended := *a
	d.freeAttempt(a)
	s := &d.subs[ended.sub]
	if s.live && s.gen == ended.subGen {
		s.active--
		d.settleRequest(now, &ended, reply, out)
	}
	if reply.RefusedFor > 0 {
		d.endUnservable(now, out)
	}
	d.dispatch(now, out)
}

// settleSearcher updates the searcher's statistics and backoff from the reply and
// releases the connection.
func (d *Dispatcher) settleSearcher(now grclock.Millis, a *attempt, reply Reply, out *Output) {
	r := &d.searchers[a.searcher]
	r.inFlight--
	if reply.ReusableConn || reply.Kind == OK { // A searcher may close each connection after its answer.
		r.recordConnAnswer(a.conn)
		r.noteConnAnswer(a.conn, a.sentAt)
	}
	d.recordLoad(now, r, reply.Load)
	d.recordRateLimit(now, r, reply.RateLimit, out)
	d.recordColdAnswer(now, r, a.conn, reply.Cold, out)
	d.recordLeaving(r, a, reply.Leaving, out)
	d.recordRefusal(now, r, a, reply.RefusedFor)
	span := now - a.sentAt
	if reply.Kind == OK || a.cancelled {
		d.latency.Add(span)
	}
	d.recordOutcome(now, r, reply.Kind)
	switch reply.Kind {
	case OK:
		d.recordSuccess(r)
		r.backoffStep = 0
		d.recordLatency(now, r, span)
		r.slowdown.record(reply.Load.Slowdown)
		if reply.Load.Known && reply.Load.Queued > r.Slots {
			d.shrinkWindow(r)
		} else {
			d.growWindow(r)
		}
	case Shed:
		d.Counters.Sheds++
		r.shedAt = now
		d.shrinkWindow(r)
		d.backOff(now, r)
	case Draining:
		r.draining = true
	case Withheld:
		d.Counters.Withheld++
	case Failed, UnprovenRefusal:
		d.recordFailure(now, r)
	case LostReply, Refused:
		d.recordFailure(now, r)
		d.backOff(now, r)
	}
	if !reply.ReusableConn && (reply.Kind == LostReply || reply.Kind == Refused) {
		d.recordConnFailure(now, r)
	}
	d.releaseConn(now, a.searcher, a.conn, reply.ReusableConn, out)
	if !reply.ReusableConn && (reply.Kind == LostReply || reply.Kind == Refused) {
		d.noteConnLost(now, r, out)
	}
	d.openToTarget(now, a.searcher, out)
}

// settleRequest applies the reply to the sub-request: it ends it, queues it again, or
// leaves it to the other attempts.
func (d *Dispatcher) settleRequest(now grclock.Millis, ended *attempt, reply Reply, out *Output) {
	index := ended.sub
	s := &d.subs[index]
	s.attemptEnded, s.lastKind, s.lastSearcher = true, reply.Kind, d.searchers[ended.searcher].ID
	switch reply.Kind {
	case OK:
		d.recordAnswer(now, ended.sentAt)
		d.backlog.recordAnswer(now)
		d.cancelAttempts(now, index, out)
		d.answer(index, &reply, out)
		return
	case Gone:
		s.snapshotGone = true
	case Failed, LostReply, Dropped, UnprovenRefusal:
		s.mayHaveRun = true
	}
	if reply.Answer != nil {
		s.lastFailure = reply.Answer
	}
	if reply.Kind.notStarted() {
		s.removeAttempt(reply.Attempt)
	}
	if s.active > 0 || s.queued {
		return
	}
	if s.withdrawn || !d.mayRetry(now, s, reply.Kind) {
		d.finish(now, index, d.doneKind(s, NotStarted), out)
		return
	}
	d.reportResend(now, s, ended, reply.Kind, out)
	d.enqueue(index)
}

// removeAttempt removes an attempt that did not start, so that it does not count
// towards the maximum.
func (s *pendingRequest) removeAttempt(id grident.AttemptID) {
	for i := range s.attempts[:s.sent] {
		if s.attempts[i] == id {
			s.sent--
			s.attempts[i], s.sentTo[i] = s.attempts[s.sent], s.sentTo[s.sent]
			return
		}
	}
}

// mayRetry decides whether the sub-request is sent again. A resend after an attempt
// that did not start is permitted until the deadline, since the backoff of the
// searcher that shed it bounds the extra work, unless the policy charges resends to
// the budget. Retries after any other outcome are charged to the retry budget. A
// sub-request that is not idempotent is not sent again once a searcher may have
// started it.
func (d *Dispatcher) mayRetry(now grclock.Millis, s *pendingRequest, kind ReplyKind) bool {
	if kind.notStarted() {
		return (!s.mayHaveRun || !s.NonIdempotent) && d.permitResend(now, kind)
	}
	if kind == Cancelled {
		return int(s.sent) < attemptLimit && d.RetryBudget.Allow(now)
	}
	if s.NonIdempotent && s.mayHaveRun || int(s.sent) >= d.maxAttempts(s) || !d.hasUntried(now, s) {
		return false
	}
	if !d.RetryBudget.Allow(now) {
		d.Counters.RetriesDenied++
		return false
	}
	return true
}

// permitResend reports whether an attempt that did not start may be resent, and
// charges the retry budget where the policy counts such attempts as extra work. An
// attempt of which no byte was sent never reached a searcher and is not charged.
func (d *Dispatcher) permitResend(now grclock.Millis, kind ReplyKind) bool {
	if kind == Refused || kind == Withheld || !d.Policy.ChargeResends || d.RetryBudget.Allow(now) {
		return true
	}
	d.Counters.RetriesDenied++
	return false
}

func (d *Dispatcher) hasUntried(now grclock.Millis, s *pendingRequest) bool {
	for i := range d.searchers {
		if d.searchers[i].accepts(now) && d.allows(s, int32(i)) && s.triedMask&(1<<(uint(i)%64)) == 0 {
			return true
		}
	}
	return false
}

// Weights of the newest sample in the service-wide moving averages.
const (
	typicalLatencyWeight = 0.05
	answerIntervalWeight = 0.05
)

func (d *Dispatcher) recordAnswer(now, sentAt grclock.Millis) {
	span := now - sentAt
	d.typicalLatency.Add(float64(span), typicalLatencyWeight)
	if d.queue.Len() > 0 && d.lastAnswerAt > 0 {
		d.answerInterval.Add(float64(now-d.lastAnswerAt), answerIntervalWeight)
	}
	d.lastAnswerAt = now
}
