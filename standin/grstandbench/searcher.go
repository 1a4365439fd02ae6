package grstandbench

import (
	"fmt"
	"math"
	"slices"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grsnapshot"
)

// queueFactor times the slots is the number of searches that wait at a
// searcher; more are shed.
const queueFactor = 2

// searcher is a fake searcher with slots and a bounded queue.
type searcher struct {
	world   *world
	id      grid.SearcherID
	service int
	factor  float64 // of the time of each search
	conns   map[*conn]bool
	most    int
	running int
	active  []*job // hold slots
	queue   []*job
}

// job is a sub-request at a searcher.
type job struct {
	in       *instance
	leaf     int32
	conn     *conn
	attempt  grid.AttemptID
	query    grid.QueryID
	asked    *asked
	shard    grsnapshot.Range
	snapshot grsnapshot.Snapshot
	deadline grclock.Millis
	on       bool // holds a slot
	done     bool
}

func logOf(x float64) float64 { return math.Log(x) }

// accept takes a connection within the limit.
func (s *searcher) accept(c *conn) bool {
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.conns[c] = true
	c.open = true
	s.most = max(s.most, len(s.conns))
	if len(s.conns) > s.world.config.ConnLimit {
		s.world.violate("connections: %s holds %d of %d", s.id, len(s.conns), s.world.config.ConnLimit)
	}
	return true
}

func (s *searcher) close(c *conn) {
	delete(s.conns, c)
	c.open = false
}

// take receives a sub-request.
func (s *searcher) take(j *job) {
	c := &s.world.config
	switch {
	case !j.conn.open:
		s.answer(j, grleaf.LostReply)
	case j.snapshot.Index < s.world.oldest:
		s.answer(j, grleaf.Gone)
	case s.running < c.Slots:
		s.start(j)
	case len(s.queue) >= queueFactor*c.Slots:
		s.answer(j, grleaf.Shed)
	default:
		s.queue = append(s.queue, j)
	}
}

func (s *searcher) start(j *job) {
	w := s.world
	s.running++
	s.active = append(s.active, j)
	j.on = true
	j.asked.ran++
	if j.asked.once && j.asked.ran > 1 {
		w.violate("at most once: request %d ran %d times", j.query, j.asked.ran)
	}
	span := float64(w.config.Search) * (0.6 - 0.4*logOf(1-w.random.Float()))
	span *= s.factor
	if w.config.Stragglers == SlowAtRandomTimes && w.random.Below(slowOneIn) == 0 {
		span *= slowFactor
	}
	w.after(w.rounded(span), func() { s.end(j, grleaf.OK) })
}

// end frees the slot and answers, unless the job was cancelled before.
func (s *searcher) end(j *job, kind grleaf.ReplyKind) {
	if j.done {
		return
	}
	j.done = true
	if j.on {
		s.running--
		s.active = slices.DeleteFunc(s.active, func(other *job) bool { return other == j })
		s.next()
	}
	s.answer(j, kind)
}

// next starts the first job that waits and is not late.
func (s *searcher) next() {
	for len(s.queue) > 0 && s.running < s.world.config.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.done {
			continue
		}
		if j.deadline <= s.world.now {
			j.done = true
			s.answer(j, grleaf.Cancelled)
			continue
		}
		s.start(j)
	}
}

func (s *searcher) cancel(in *instance, attempt grid.AttemptID) {
	for _, list := range [][]*job{s.active, s.queue} {
		for _, j := range list {
			if j.in == in && j.attempt == attempt && !j.done {
				s.end(j, grleaf.Cancelled)
				return
			}
		}
	}
}

// answer sends a reply, subject to the faults.
func (s *searcher) answer(j *job, kind grleaf.ReplyKind) {
	w := s.world
	f := &w.config.Faults
	reply := grleaf.Reply{
		Attempt: j.attempt, Kind: kind, KeepConn: j.conn.open && kind != grleaf.LostReply,
		Load: grleaf.Load{Known: true, Busy: s.running, Queued: len(s.queue)},
	}
	if kind == grleaf.OK && w.config.Check {
		reply.Records = w.records(j)
	}
	delay := w.config.OneWay
	switch {
	case w.chance(f.Drop):
		return
	case w.chance(f.Cut):
		s.close(j.conn)
		reply = grleaf.Reply{Attempt: j.attempt, Kind: grleaf.LostReply}
	case w.chance(f.Delay):
		delay += grclock.Millis(w.random.Below(int(f.DelayBy) + 1))
	}
	send := func(wait grclock.Millis) {
		w.after(wait, func() {
			if j.conn.open || reply.Kind == grleaf.LostReply {
				j.in.reply(j.leaf, reply)
			}
		})
	}
	send(delay)
	if w.chance(f.Duplicate) {
		send(delay + grclock.Millis(w.random.Below(int(f.DelayBy)+1)))
	}
}

// records returns one record that tells what it answers.
func (w *world) records(j *job) []grsnapshot.Record {
	index, query := j.snapshot.Index, j.query
	switch {
	case w.config.Plant == WrongVersion && w.random.Below(20) == 0:
		index++
	case w.config.Plant == WrongRequest && w.random.Below(20) == 0:
		query++
	}
	id := fmt.Sprintf("%d", query)
	return []grsnapshot.Record{{Key: j.shard.From, ID: id, Body: fmt.Sprintf("%d", index)}}
}

func (w *world) chance(p float64) bool { return p > 0 && w.random.Float() < p }
