package grcluster

import (
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// sendHeartbeats sends heartbeats to the members that this instance watches, to one member of
// another group, and to the seeds that are not known members yet. Each heartbeat carries the
// recent changes and the digests.
func (c *Cluster) sendHeartbeats(now grclock.Millis) {
	message := c.newMessage(now)
	message.Items = c.items.Push()
	groupMessage := message
	group := c.groupItems.Push()
	if !c.UncoordinatedDivisor {
		groupMessage.GroupItems = &group
	}
	watched := c.watched(now)
	isWatched := func(m Member) bool {
		return slices.ContainsFunc(watched, func(w Member) bool { return w.ID == m.ID })
	}
	watched = append(watched, slices.DeleteFunc(c.toRecheck(now), isWatched)...)
	for i := range watched {
		m := &watched[i]
		c.detector.asked(now, m)
		c.send(m.PeerAddress, m.Incarnation, groupMessage)
	}
	if m, ok := c.randomOutsideGroup(); ok {
		c.send(m.PeerAddress, m.Incarnation, message)
	}
	if s, ok := c.viewSource(); ok && !isWatched(s) {
		c.send(s.PeerAddress, s.Incarnation, message)
	}
	if m, ok := c.memberToAsk(); ok && !isWatched(m) {
		c.send(m.PeerAddress, m.Incarnation, message)
	}
	for _, seed := range c.unknownSeeds() {
		c.send(seed, 0, groupMessage)
	}
	c.items.PushSent()
	c.groupItems.PushSent()
}

// randomOutsideGroup returns a random member of another group, or false if there is
// none.
func (c *Cluster) randomOutsideGroup() (Member, bool) {
	members := c.Members()
	if len(members) == len(c.Group()) {
		return Member{}, false
	}
	for {
		m := members[c.Random.IntN(len(members))]
		if c.groupOf(m.ID) != c.groupOf(c.Self.ID) {
			return m, true
		}
	}
}

// pushChanges sends the changes of this step to a few randomly chosen members.
func (c *Cluster) pushChanges(now grclock.Millis) {
	changes, changed := c.items.TakeRecent()
	group, groupChanged := c.groupItems.TakeRecent()
	if !c.PushImmediately {
		return
	}
	if changed {
		message := c.newMessage(now)
		message.Items = changes
		c.sendToSample(c.Members(), message)
	}
	if groupChanged {
		message := c.newMessage(now)
		message.GroupItems = &group
		message.Items.Digest = c.items.Digest()
		c.sendToSample(c.Group(), message)
	}
}

// sendToSample sends the message to up to pushFanout members, evenly spaced in the
// list from a random start.
func (c *Cluster) sendToSample(members []Member, message Message) {
	n := len(members)
	if n < 2 {
		return
	}
	start, step := c.Random.IntN(n), max(1, n/(pushFanout+1))
	sent := 0
	for i := 0; i < n && sent < pushFanout; i++ {
		m := members[(start+i*step+i*step/n)%n]
		if m.ID != c.Self.ID {
			c.send(m.PeerAddress, m.Incarnation, message)
			sent++
		}
	}
}

func (c *Cluster) send(to grident.Address, run grident.Incarnation, message Message) {
	c.out.Messages = append(c.out.Messages, Outgoing{To: to, Incarnation: run, Message: message})
}

// IsWatcher reports whether this instance watches the platform. The first live member
// of each failure domain in hash order does. If WatcherCount is set, that number of
// members does in total.
func (c *Cluster) IsWatcher() bool {
	if c.WatcherCount > 0 {
		return c.Self.PlatformUnreachable || slices.ContainsFunc(c.watchers(), c.isSelf)
	}
	for _, m := range c.Members() {
		if m.Domain == c.Self.Domain && (c.stateOf(m.ID) == Live || m.ID == c.Self.ID) {
			return m.ID == c.Self.ID
		}
	}
	return true
}

func (c *Cluster) isSelf(m Member) bool { return m.ID == c.Self.ID }

// watchers returns the first WatcherCount live members in hash order that can reach the
// platform, at most one for each failure domain. This instance counts as one that can.
func (c *Cluster) watchers() []Member {
	var list []Member
	domains := make(map[grident.FailureDomain]bool)
	for _, m := range c.Members() {
		if !c.isSelf(m) && (c.stateOf(m.ID) != Live || m.PlatformUnreachable) || domains[m.Domain] {
			continue
		}
		domains[m.Domain] = true
		list = append(list, m)
		if len(list) == c.WatcherCount {
			break
		}
	}
	return list
}

// SetPlatformReachable publishes whether this instance can reach the platform. An
// instance that cannot is not counted as a watcher by the others, but keeps trying.
func (c *Cluster) SetPlatformReachable(now grclock.Millis, reachable bool, out *Output) {
	if !reachable {
		c.items.CompareFrom = min(c.items.CompareFrom, now)
	}
	if c.Self.PlatformUnreachable != reachable {
		return
	}
	c.runStep(now, out, func() {
		c.Self.PlatformUnreachable = !reachable
		c.publishSelf(now)
	})
}
