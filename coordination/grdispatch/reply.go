package grdispatch

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// HandleReply processes the outcome of an attempt. Outcomes of attempts that have already
// ended are only counted, so late and duplicate replies have no effect.
func (l *Dispatcher) HandleReply(now grclock.Millis, reply Reply, out *Output) {
	a := l.findAttempt(reply.Attempt)
	if a == nil {
		l.Counters.LateReplies++
		return
	}
	l.settleSearcher(now, a, reply, out)
	ended := *a
	l.freeAttempt(a)
	s := &l.subs[ended.sub]
	if s.live && s.gen == ended.subGen {
		s.active--
		l.settleRequest(now, &ended, reply, out)
	}
	l.dispatch(now, out)
}

// settleSearcher updates the searcher's statistics and backoff from the reply and
// releases the connection.
func (l *Dispatcher) settleSearcher(now grclock.Millis, a *attempt, reply Reply, out *Output) {
	r := &l.searchers[a.searcher]
	r.inFlight--
	if reply.ReusableConn {
		r.conns.failures = 0
	}
	l.recordLoad(now, r, reply.Load)
	span := now - a.sentAt
	if reply.Kind == OK || a.cancelled {
		l.latency.Add(span)
	}
	l.recordOutcome(now, r, reply.Kind)
	switch reply.Kind {
	case OK:
		l.recordSuccess(r)
		r.backoffStep = 0
		l.recordLatency(now, r, span)
		if reply.Load.Known && reply.Load.Queued > r.Slots {
			l.shrinkWindow(r)
		} else {
			l.growWindow(r)
		}
	case Shed:
		l.Counters.Sheds++
		l.shrinkWindow(r)
		l.backOff(now, r)
	case Draining:
		r.draining = true
	case Failed:
		l.recordFailure(now, r)
	case LostReply, Refused:
		l.recordFailure(now, r)
		l.backOff(now, r)
	}
	if !reply.ReusableConn && (reply.Kind == LostReply || reply.Kind == Refused) {
		l.recordConnFailure(now, r)
	}
	l.releaseConn(now, a.searcher, a.conn, reply.ReusableConn, out)
	l.openToTarget(now, a.searcher, out)
}

// settleRequest applies the reply to the sub-request: it ends it, queues it again, or
// leaves it to the other attempts.
func (l *Dispatcher) settleRequest(now grclock.Millis, ended *attempt, reply Reply, out *Output) {
	index := ended.sub
	s := &l.subs[index]
	s.attemptEnded, s.lastKind, s.lastSearcher = true, reply.Kind, l.searchers[ended.searcher].ID
	switch reply.Kind {
	case OK:
		l.recordAnswer(now, ended.sentAt)
		l.cancelAttempts(now, index, out)
		l.answer(index, &reply, out)
		return
	case Gone:
		s.snapshotGone = true
	case Failed, LostReply, Dropped:
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
	if !l.mayRetry(now, s, reply.Kind) {
		l.finish(now, index, l.doneKind(s, NotStarted), out)
		return
	}
	l.enqueue(index)
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
func (l *Dispatcher) mayRetry(now grclock.Millis, s *pendingRequest, kind ReplyKind) bool {
	if kind.notStarted() {
		return (!s.mayHaveRun || !s.NonIdempotent) && l.permitResend(now, kind)
	}
	if kind == Cancelled {
		return int(s.sent) < attemptLimit && l.RetryBudget.Allow(now)
	}
	if s.NonIdempotent && s.mayHaveRun || int(s.sent) >= l.maxAttempts(s) || !l.hasUntried(s) {
		return false
	}
	if !l.RetryBudget.Allow(now) {
		l.Counters.RetriesDenied++
		return false
	}
	return true
}

// permitResend reports whether an attempt that did not start may be resent, and
// charges the retry budget where the policy counts such attempts as extra work. An
// attempt of which no byte was sent never reached a searcher and is not charged.
func (l *Dispatcher) permitResend(now grclock.Millis, kind ReplyKind) bool {
	if kind == Refused || !l.Policy.ChargeResends || l.RetryBudget.Allow(now) {
		return true
	}
	l.Counters.RetriesDenied++
	return false
}

func (l *Dispatcher) hasUntried(s *pendingRequest) bool {
	for i := range l.searchers {
		if l.searchers[i].usable() && l.allows(s, int32(i)) && s.triedMask&(1<<(uint(i)%64)) == 0 {
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

func (l *Dispatcher) recordAnswer(now, sentAt grclock.Millis) {
	span := now - sentAt
	l.typicalLatency.Add(float64(span), typicalLatencyWeight)
	if l.queue.Len() > 0 && l.lastAnswerAt > 0 {
		l.answerInterval.Add(float64(now-l.lastAnswerAt), answerIntervalWeight)
	}
	l.lastAnswerAt = now
}
