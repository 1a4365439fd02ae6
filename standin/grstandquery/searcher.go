package grstandquery

import (
	"fmt"
	"math"
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsnapshot"
)

// queueFactor is the length of a searcher's queue as a multiple of its slots.
// Further sub-requests are shed.
const queueFactor = 2

// searcher simulates a searcher with slots, a bounded queue and a connection
// limit.
type searcher struct {
	sim       *simulation
	id        grident.SearcherID
	service   int
	slowdown  float64 // factor for the time of a search
	conns     map[*conn]bool
	peakConns int    // highest number of connections
	running   int    // slots in use
	active    []*job // jobs that use a slot
	queue     []*job
}

// job is an attempt at a searcher.
type job struct {
	from       *instance
	dispatcher int32
	conn       *conn
	attempt    grident.AttemptID
	query      grident.QueryID
	pending    *pendingQuery
	shard      grsnapshot.Range
	snapshot   grsnapshot.Snapshot
	deadline   grclock.Millis
	hasSlot    bool // uses a slot
	done       bool // ended or cancelled
}

func ln(x float64) float64 { return math.Log(x) }

// accept opens a connection. More connections than the limit are a violation.
func (s *searcher) accept(c *conn) bool {
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.conns[c] = true
	c.open = true
	s.peakConns = max(s.peakConns, len(s.conns))
	if len(s.conns) > s.sim.config.ConnLimit {
		s.sim.reportViolation("connections: %s has %d open, limit %d", s.id, len(s.conns), s.sim.config.ConnLimit)
	}
	return true
}

func (s *searcher) close(c *conn) {
	delete(s.conns, c)
	c.open = false
}

// handle starts or queues an attempt, or answers at once that it cannot run.
func (s *searcher) handle(j *job) {
	c := &s.sim.config
	switch {
	case !j.conn.open:
		s.reply(j, grdispatch.LostReply)
	case j.snapshot.IndexVersion < s.sim.oldestIndex:
		s.reply(j, grdispatch.Gone)
	case s.running < c.Slots:
		s.start(j)
	case len(s.queue) >= queueFactor*c.Slots:
		s.reply(j, grdispatch.Shed)
	default:
		s.queue = append(s.queue, j)
	}
}

func (s *searcher) start(j *job) {
	sim := s.sim
	s.running++
	s.active = append(s.active, j)
	j.hasSlot = true
	j.pending.runs++
	if j.pending.atMostOnce && j.pending.runs > 1 {
		sim.reportViolation("at most once: request %d ran %d times", j.query, j.pending.runs)
	}
	searchTime := float64(sim.config.SearchTime) * (0.6 - 0.4*ln(1-sim.random.Float64()))
	searchTime *= s.slowdown
	if sim.config.Stragglers == SlowAtRandom && sim.random.IntN(slowOneIn) == 0 {
		searchTime *= slowFactor
	}
	sim.after(sim.roundRandomly(searchTime), func() { s.finish(j, grdispatch.OK) })
}

// finish frees the slot of a job and answers, unless the job has already ended.
func (s *searcher) finish(j *job, kind grdispatch.ReplyKind) {
	if j.done {
		return
	}
	j.done = true
	if j.hasSlot {
		s.running--
		s.active = slices.DeleteFunc(s.active, func(other *job) bool { return other == j })
		s.startNext()
	}
	s.reply(j, kind)
}

// startNext starts queued jobs while slots are free. Jobs past their deadline are
// answered as cancelled.
func (s *searcher) startNext() {
	for len(s.queue) > 0 && s.running < s.sim.config.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.done {
			continue
		}
		if j.deadline <= s.sim.now {
			j.done = true
			s.reply(j, grdispatch.Cancelled)
			continue
		}
		s.start(j)
	}
}

func (s *searcher) cancel(from *instance, attempt grident.AttemptID) {
	for _, list := range [][]*job{s.active, s.queue} {
		for _, j := range list {
			if j.from == from && j.attempt == attempt && !j.done {
				s.finish(j, grdispatch.Cancelled)
				return
			}
		}
	}
}

// reply sends a reply, subject to the faults of the run.
func (s *searcher) reply(j *job, kind grdispatch.ReplyKind) {
	sim := s.sim
	f := &sim.config.Faults
	reply := grdispatch.Reply{
		Attempt: j.attempt, Kind: kind, ReusableConn: j.conn.open && kind != grdispatch.LostReply,
		Load: grdispatch.Load{Known: true, Busy: s.running, Queued: len(s.queue)},
	}
	if kind == grdispatch.OK && sim.config.CheckInvariants {
		reply.Records = sim.records(j)
	}
	delay := sim.config.OneWay
	switch {
	case sim.chance(f.Drop):
		return
	case sim.chance(f.Disconnect):
		s.close(j.conn)
		reply = grdispatch.Reply{Attempt: j.attempt, Kind: grdispatch.LostReply}
	case sim.chance(f.Delay):
		delay += grclock.Millis(sim.random.IntN(int(f.MaxDelay) + 1))
	}
	send := func(wait grclock.Millis) {
		sim.after(wait, func() {
			if j.conn.open || reply.Kind == grdispatch.LostReply {
				j.from.handleReply(j.dispatcher, reply)
			}
		})
	}
	send(delay)
	if sim.chance(f.Duplicate) {
		send(delay + grclock.Millis(sim.random.IntN(int(f.MaxDelay)+1)))
	}
}

// records returns one record, which names the shard, the query and the index
// version.
func (sim *simulation) records(j *job) []grsnapshot.Record {
	index, query := j.snapshot.IndexVersion, j.query
	switch {
	case sim.config.Bug == WrongIndexVersion && sim.random.IntN(20) == 0:
		index++
	case sim.config.Bug == WrongQuery && sim.random.IntN(20) == 0:
		query++
	}
	id := fmt.Sprintf("%d", query)
	return []grsnapshot.Record{{Key: j.shard.From, ID: id, Body: fmt.Sprintf("%d", index)}}
}

// chance returns true with probability p. It draws no random number if p is 0.
func (sim *simulation) chance(p float64) bool { return p > 0 && sim.random.Float64() < p }
