package grleaf

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Reply takes the end of an attempt. Ends of attempts that are not out any
// more are counted and dropped, so that late and doubled replies change
// nothing.
func (l *Leaf) Reply(now grclock.Millis, reply Reply, out *Out) {
	a := l.find(reply.Attempt)
	if a == nil {
		l.Counters.LateReplies++
		return
	}
	l.settleReplica(now, a, reply, out)
	ended := *a
	l.forget(a)
	s := &l.subs[ended.sub]
	if s.live && s.gen == ended.subGen {
		s.active--
		l.settleSub(now, &ended, reply, out)
	}
	l.dispatch(now, out)
}

// settleReplica takes what the reply says of the searcher and frees the
// connection.
func (l *Leaf) settleReplica(now grclock.Millis, a *attempt, reply Reply, out *Out) {
	r := &l.replicas[a.replica]
	r.busy--
	if reply.KeepConn {
		r.conns.refused = 0
	}
	l.noteLoad(now, r, reply.Load)
	span := now - a.sentAt
	if reply.Kind == OK || a.cancelled {
		l.latency.Add(span)
	}
	l.noteOutcome(now, r, reply.Kind)
	switch reply.Kind {
	case OK:
		l.noteSuccess(r)
		r.restStep = 0
		l.noteLatency(now, r, span)
		if reply.Load.Known && reply.Load.Queued > r.Slots {
			l.narrow(r)
		} else {
			l.widen(r)
		}
	case Shed:
		l.Counters.Sheds++
		l.narrow(r)
		l.rest(now, r)
	case Draining:
		r.drained = true
	case Failed:
		l.noteFailure(now, r)
	case LostReply, Refused:
		l.noteFailure(now, r)
		l.rest(now, r)
	}
	if !reply.KeepConn && (reply.Kind == LostReply || reply.Kind == Refused) {
		l.noteBroken(now, r)
	}
	l.giveBack(now, a.replica, a.conn, reply.KeepConn, out)
	l.openWanted(now, a.replica, out)
}

// settleSub takes what the reply means for the sub-request.
func (l *Leaf) settleSub(now grclock.Millis, ended *attempt, reply Reply, out *Out) {
	index := ended.sub
	s := &l.subs[index]
	s.ended, s.last, s.lastFrom = true, reply.Kind, l.replicas[ended.replica].ID
	switch reply.Kind {
	case OK:
		l.noteAnswer(now, ended.sentAt)
		l.cancelAttempts(now, index, out)
		l.answer(index, &reply, out)
		return
	case Gone:
		s.gone = true
	case Failed, LostReply, Dropped:
		s.started = true
	}
	if reply.Answer != nil {
		s.failure = reply.Answer
	}
	if reply.Kind.notStarted() {
		s.forget(reply.Attempt)
	}
	if s.active > 0 || s.queued {
		return
	}
	if !l.mayRetry(now, s, reply.Kind) {
		l.finish(now, index, l.endOf(s, NotStarted), out)
		return
	}
	l.enqueue(index)
}

// forget takes back an attempt that did not start, so that it does not count.
func (s *sub) forget(id grid.AttemptID) {
	for i := range s.attempts[:s.sent] {
		if s.attempts[i] == id {
			s.sent--
			s.attempts[i], s.sentTo[i] = s.attempts[s.sent], s.sentTo[s.sent]
			return
		}
	}
}

// mayRetry decides whether the sub-request is sent again. One that did not
// start is, for as long as its deadline allows: the pause of the searcher that
// shed it bounds the extra work. Others are paid from the budget, and one that
// is not idempotent is not sent again once it may have started.
func (l *Leaf) mayRetry(now grclock.Millis, s *sub, kind ReplyKind) bool {
	if kind.notStarted() {
		return (!s.started || !s.Once) && l.payResend(now, kind)
	}
	if kind == Cancelled {
		return int(s.sent) < maxCopies && l.Retries.Allow(now)
	}
	if s.Once && s.started || int(s.sent) >= l.maxAttempts(s) || !l.hasUntried(s) {
		return false
	}
	if !l.Retries.Allow(now) {
		l.Counters.RetriesDenied++
		return false
	}
	return true
}

// payResend pays for a copy in place of one that did not start, where arrivals
// that searchers turn away count as extra work. One of which no byte was sent
// never arrived.
func (l *Leaf) payResend(now grclock.Millis, kind ReplyKind) bool {
	if kind == Refused || !l.Policy.PayResends || l.Retries.Allow(now) {
		return true
	}
	l.Counters.RetriesDenied++
	return false
}

func (l *Leaf) hasUntried(s *sub) bool {
	for i := range l.replicas {
		if l.replicas[i].usable() && l.allows(s, int32(i)) && s.tried&(1<<(uint(i)%64)) == 0 {
			return true
		}
	}
	return false
}

// Weights of the statistics of a whole service.
const (
	typicalWeight = 0.05
	gapWeight     = 0.05
)

func (l *Leaf) noteAnswer(now, sentAt grclock.Millis) {
	span := now - sentAt
	l.typical.Add(float64(span), typicalWeight)
	if l.queue.Len() > 0 && l.lastDone > 0 {
		l.gap.Add(float64(now-l.lastDone), gapWeight)
	}
	l.lastDone = now
}
