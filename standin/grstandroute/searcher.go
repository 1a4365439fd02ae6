package grstandroute

import (
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// searcher runs sub-requests in its slots, queues up to maxQueue and sheds the
// rest.
type searcher struct {
	sim         *simulation
	id          grident.SearcherID
	service     grident.Service
	domain      grident.FailureDomain
	slowdown    int
	running     int
	held        int // connections
	queue       []*job
	pausedUntil grclock.Millis
	attempts    []attempt
	rateLimits  []RateLimit
	ended       bool // between two runs
	entry       searcherEntry
	listed      searcherEntry // as written
	coldSpans   []coldSpan
}

// job is an attempt at a searcher.
type job struct {
	from       *instance
	dispatcher int32
	attempt    grident.AttemptID
	request    *request
	conn       *conn
}

type attempt struct {
	at    grclock.Millis
	extra bool
}

// maxQueue is the length of a searcher's queue.
const maxQueue = 12

func (s *searcher) pause() {
	sim := s.sim
	s.pausedUntil = sim.now + sim.config.SearcherPause
	if sim.now < sim.config.Duration {
		sim.after(sim.config.SearcherPause+sim.config.SearcherPauseGap/2+grclock.Millis(sim.random.IntN(int(sim.config.SearcherPauseGap))), s.pause)
	}
}

func (s *searcher) handle(j *job) {
	sim := s.sim
	if j.conn.broken {
		return // The connection broke before it arrived.
	}
	req := j.request
	s.attempts = append(s.attempts, attempt{sim.now, req.attempts[s.service] > 0})
	req.countAttempt(s.service)
	sim.report.Attempts++
	if j.from.domain != s.domain {
		sim.report.CrossDomain++
	}
	switch {
	case s.running < sim.config.Slots:
		s.run(j)
	case len(s.queue) < maxQueue:
		s.queue = append(s.queue, j)
	default:
		s.reply(j, grdispatch.Reply{Kind: grdispatch.Shed, ReusableConn: true})
	}
}

func (s *searcher) run(j *job) {
	sim := s.sim
	if j.conn.closed {
		s.startNext()
		return
	}
	s.running++
	req := j.request
	req.ranOn[s.service] = append(req.ranOn[s.service], s)
	if req.outcome == notRun {
		sim.reportViolation("request %d runs after the caller was told that it did not run", req.number)
	}
	searchTime := req.drawSearchTime(sim) * grclock.Millis(s.slowdown) * sim.slowFactor()
	if s.pausedUntil > sim.now {
		searchTime += s.pausedUntil - sim.now
	}
	sim.after(searchTime, func() { s.finish(j) })
}

func (s *searcher) finish(j *job) {
	sim := s.sim
	s.running--
	reply := grdispatch.Reply{Kind: grdispatch.OK, ReusableConn: true, Answer: &granswer.Answer{
		Status: 200, Signature: string(s.service) + "#" + j.request.key(), Body: []byte(s.service),
	}}
	switch random := sim.random.Float64(); {
	case random < sim.config.LostShare:
		reply = grdispatch.Reply{Kind: grdispatch.LostReply}
	case random < sim.config.LostShare+sim.config.FailedShare:
		reply.Kind, reply.Answer.Status = grdispatch.Failed, 500
	}
	s.reply(j, reply)
	s.startNext()
}

func (s *searcher) startNext() {
	if len(s.queue) > 0 && s.running < s.sim.config.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.run(j)
	}
}

func (s *searcher) reply(j *job, reply grdispatch.Reply) {
	reply.Attempt = j.attempt
	reply.RateLimit = s.statement()
	if s.sim.config.Bug == LostReplyAsNotSent && reply.Kind == grdispatch.LostReply {
		reply.Kind = grdispatch.Refused
	}
	s.sim.after(oneWay, func() {
		if !j.conn.closed {
			j.conn.attempt = 0
			j.from.process(j.from.replyTime(), func() { j.from.handleReply(j.dispatcher, reply) })
		}
	})
}
