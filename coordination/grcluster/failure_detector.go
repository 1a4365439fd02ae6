package grcluster

import (
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// An instance takes a member for suspect that has not answered it for SuspectAfter. It publishes
// that only while others answer it: otherwise it may be cut off itself, and members that run
// would have to refute what it published.

// silence tells since when a run of a member has not answered this instance.
type silence struct {
	run     grident.Incarnation
	since   grclock.Millis // first message without an answer
	askedAt grclock.Millis // likewise, but since this instance has been in touch without a break; 0: not asked since
}

// failureDetector tells which members do not answer this instance. Messages are recorded by id;
// what was recorded of an earlier run of a member does not count.
type failureDetector struct {
	silences  map[grident.InstanceID]silence
	suspects  map[grident.InstanceID]bool // as of the last update: silent for SuspectAfter
	changed   bool                        // suspects have changed since the last update
	heardAt   grclock.Millis              // last message or answer of another instance
	reachedAt grclock.Millis              // when the newest message that was answered was sent
	recheck   int                         // members to ask again at once, after this instance was out of touch
}

func (d *failureDetector) init(now grclock.Millis) {
	d.silences = make(map[grident.InstanceID]silence)
	d.suspects = make(map[grident.InstanceID]bool)
	d.heardAt, d.reachedAt, d.recheck = now, now, Neighbours
}

// asked records a message to a member.
func (d *failureDetector) asked(now grclock.Millis, m *Member) {
	s, ok := d.silences[m.ID]
	if !ok || s.run != m.Incarnation {
		s = silence{run: m.Incarnation, since: now}
	}
	if s.askedAt == 0 {
		s.askedAt = now
	}
	d.silences[m.ID] = s
}

// heard records a message or an answer of an instance.
func (d *failureDetector) heard(now grclock.Millis, id grident.InstanceID) {
	d.heardAt = now
	delete(d.silences, id)
	if d.suspects[id] {
		delete(d.suspects, id)
		d.changed = true
	}
}

// answered records that a message which was sent at the time given was answered.
func (d *failureDetector) answered(now, sentAt grclock.Millis) {
	wasInTouch := d.inTouch(now)
	d.reachedAt = max(d.reachedAt, sentAt)
	if wasInTouch || !d.inTouch(now) {
		return
	}
	d.recheck = Neighbours
	for id, s := range d.silences {
		s.askedAt = 0
		d.silences[id] = s
	}
}

// touchTimeout is the age of the newest answered message from which an instance may be cut off. It is
// shorter than SuspectAfter, so that a single lost message from before a cut accuses nobody.
const touchTimeout = 2 * HeartbeatInterval

// inTouch reports whether others answer this instance.
func (d *failureDetector) inTouch(now grclock.Millis) bool { return now-d.reachedAt < touchTimeout }

// isolated reports whether nothing has been heard of any other instance.
func (d *failureDetector) isolated(now grclock.Millis) bool { return now-d.heardAt >= SuspectAfter }

// stopped records that this process stood still. What was measured before tells nothing of
// others.
func (d *failureDetector) stopped(now grclock.Millis) {
	clear(d.silences)
	d.changed = d.changed || len(d.suspects) > 0
	clear(d.suspects)
	d.heardAt, d.reachedAt = now, now
}

// silenceOf returns since when a member has not answered; ok is false if it owes no answer.
func (d *failureDetector) silenceOf(m *Member) (s silence, ok bool) {
	s, ok = d.silences[m.ID]
	return s, ok && s.run == m.Incarnation
}

// update finds the members that are suspect from now on, and reports whether their set has
// changed since the last update.
func (d *failureDetector) update(now grclock.Millis, members []Member) (changed bool) {
	for i := range members {
		m := &members[i]
		s, silent := d.silenceOf(m)
		suspect := silent && now-s.since >= SuspectAfter
		if suspect == d.suspects[m.ID] {
			continue
		}
		d.changed = true
		if suspect {
			d.suspects[m.ID] = true
		} else {
			delete(d.suspects, m.ID)
		}
	}
	changed, d.changed = d.changed, false
	return changed
}

// refuted records that a member has stated that it runs, after it was published as suspect.
func (d *failureDetector) refuted(id grident.InstanceID) { delete(d.silences, id) }

// isProven reports whether a member does not answer although others do.
func (d *failureDetector) isProven(now grclock.Millis, m *Member) bool {
	s, silent := d.silenceOf(m)
	return silent && s.askedAt > 0 && now-s.askedAt >= SuspectAfter && d.inTouch(now)
}

// watchGrowth is how many further members are watched for each one that has not answered yet.
const watchGrowth = 2

// watched returns the members of the group to send heartbeats to: the next ones in hash order, and
// in place of each one that does not answer a further one, so that members behind a run of lost
// ones are watched too. While none answers, their number grows with each heartbeat.
func (c *Cluster) watched(now grclock.Millis) []Member {
	others := c.followers()
	list := slices.Clone(others[:min(Neighbours, len(others))])
	answering, waiting := 0, 0
	for i := range others {
		m := &others[i]
		if c.stateOf(m.ID) == Suspect {
			continue
		}
		s, silent := c.detector.silenceOf(m)
		enough := answering >= max(Neighbours, watchGrowth*waiting)
		switch {
		case silent && now-s.since >= HeartbeatInterval:
			waiting++
		case enough && !silent:
			continue
		default:
			answering++
		}
		if i >= Neighbours {
			list = append(list, *m)
		}
	}
	return list
}

// toRecheck returns members that this instance alone takes for suspect, to find out whether they
// answer again: a few while it is out of touch, and then all of them in growing numbers.
func (c *Cluster) toRecheck(now grclock.Millis) []Member {
	var list []Member
	for _, m := range c.followers() {
		if c.detector.suspects[m.ID] && c.publishedState(m.ID) == Live && !c.detector.isProven(now, &m) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		c.detector.recheck = Neighbours
		return nil
	}
	if !c.detector.inTouch(now) {
		first := c.Random.IntN(len(list))
		list = slices.Concat(list[first:], list[:first])
		return list[:min(Neighbours, len(list))]
	}
	n := min(c.detector.recheck, len(list))
	c.detector.recheck = 2 * n
	return list[:n]
}

// followers returns the other members of the group, from this instance on in hash order.
func (c *Cluster) followers() []Member {
	group := c.Group()
	self := slices.IndexFunc(group, c.isSelf)
	return slices.Concat(group[self+1:], group[:max(self, 0)])
}

// updateSuspects updates the members that this instance takes for suspect, and publishes those
// that do not answer although others do. They keep their share of the connection limits: a
// missing answer does not prove that they have ended.
func (c *Cluster) updateSuspects(now grclock.Millis) {
	if isolated := c.detector.isolated(now); isolated != c.isolated {
		c.isolated, c.out.MembersChanged = isolated, true
	}
	if c.detector.update(now, c.Group()) {
		c.out.MembersChanged = true
	}
	var proven []grident.InstanceID
	for id := range c.detector.suspects {
		item, _ := c.items.Get(memberKey(id))
		if StateOf(item.Version) == Live && c.detector.isProven(now, &item.Value.Member) {
			proven = append(proven, id)
		}
	}
	for _, id := range proven {
		c.setMember(now, id, Suspect)
	}
}
