package grcontrol

import (
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// hear notes a message of a member; load is -1 when it said none.
func (c *Control) hear(id grid.InstanceID, load int) {
	delete(c.asked, id)
	if load >= 0 {
		c.loads[id] = load
	}
}

// beat sends heartbeats to neighbours of the group, to one member of another
// group, and to seeds that are no known member yet. Each carries the changes of
// late and the digests.
func (c *Control) beat(now grclock.Millis) {
	outside := Message{From: c.Self.Member, Load: c.Load, Body: c.items.Push()}
	inside := outside
	group := c.shares.Push()
	if !c.Unproven {
		inside.Group = &group
	}
	for _, m := range c.neighbours() {
		if _, waiting := c.asked[m.ID]; !waiting {
			c.asked[m.ID] = now
		}
		c.send(m.Peers, m.Run, inside)
	}
	if m, ok := c.stranger(); ok {
		c.send(m.Peers, m.Run, outside)
	}
	known := make(map[grid.Address]bool)
	for _, m := range c.Members() {
		known[m.Peers] = true
	}
	for _, seed := range c.Seeds {
		if !known[seed] && seed != c.Self.Peers {
			c.send(seed, 0, inside)
		}
	}
	c.items.Pushed()
	c.shares.Pushed()
}

// neighbours returns the members of the group that follow this one.
func (c *Control) neighbours() []Member {
	group := c.Group()
	self := slices.IndexFunc(group, func(m Member) bool { return m.ID == c.Self.ID })
	n := min(Neighbours, len(group)-1)
	list := make([]Member, 0, max(n, 0))
	for i := 1; i <= n; i++ {
		list = append(list, group[(self+i)%len(group)])
	}
	return list
}

// stranger draws a member of another group.
func (c *Control) stranger() (Member, bool) {
	members := c.Members()
	if len(members) == len(c.Group()) {
		return Member{}, false
	}
	for {
		m := members[c.Random.Below(len(members))]
		if c.groupOf(m.ID) != c.groupOf(c.Self.ID) {
			return m, true
		}
	}
}

// pushFresh sends the changes of this step to a few members drawn at random.
func (c *Control) pushFresh() {
	body, changed := c.items.Fresh()
	group, divided := c.shares.Fresh()
	if !c.Push {
		return
	}
	if changed {
		message := Message{From: c.Self.Member, Load: c.Load, Body: body}
		c.sendToSome(c.Members(), message)
	}
	if divided {
		message := Message{From: c.Self.Member, Load: c.Load, Group: &group}
		message.Body.Digest = c.items.Digest()
		c.sendToSome(c.Group(), message)
	}
}

// sendToSome sends the message to members at even steps from a random start.
func (c *Control) sendToSome(members []Member, message Message) {
	n := len(members)
	if n < 2 {
		return
	}
	start, step := c.Random.Below(n), max(1, n/(fanout+1))
	sent := 0
	for i := 0; i < n && sent < fanout; i++ {
		m := members[(start+i*step+i*step/n)%n]
		if m.ID != c.Self.ID {
			c.send(m.Peers, m.Run, message)
			sent++
		}
	}
}

func (c *Control) send(to grid.Address, run grid.Incarnation, message Message) {
	c.out.Messages = append(c.out.Messages, Outgoing{To: to, Run: run, Message: message})
}

// suspectSilent marks neighbours that have not answered for long. They keep
// their part of the connection limits: silence is no proof that they ended.
func (c *Control) suspectSilent(now grclock.Millis) {
	for _, m := range c.neighbours() {
		since, waiting := c.asked[m.ID]
		if !waiting || now-since < SuspectAfter {
			continue
		}
		if c.stateOf(m.ID) == Live {
			c.setMember(now, m.ID, Suspect)
		}
	}
}

// Watches reports whether this instance watches the platform: one live member
// of each failure domain does, the first in the order of hashes. With Watchers
// set so many of all members do.
func (c *Control) Watches() bool {
	if c.Watchers > 0 {
		return c.Self.Blind || c.amongWatchers()
	}
	for _, m := range c.Members() {
		if m.Domain == c.Self.Domain && (c.stateOf(m.ID) == Live || m.ID == c.Self.ID) {
			return m.ID == c.Self.ID
		}
	}
	return true
}

// amongWatchers reports whether this instance is one of the first live members
// that reach the platform, no two of one failure domain.
func (c *Control) amongWatchers() bool {
	taken := make(map[grid.FailureDomain]bool)
	for _, m := range c.Members() {
		if m.ID != c.Self.ID && (c.stateOf(m.ID) != Live || m.Blind) || taken[m.Domain] {
			continue
		}
		if m.ID == c.Self.ID {
			return true
		}
		taken[m.Domain] = true
		if len(taken) >= c.Watchers {
			return false
		}
	}
	return false
}

// Reach tells the others whether this instance reaches the platform. One that
// does not leaves watching to others and goes on trying.
func (c *Control) Reach(now grclock.Millis, reached bool, out *Out) {
	if !reached {
		c.items.RepairFrom = min(c.items.RepairFrom, now)
	}
	if c.Self.Blind != reached {
		return
	}
	c.with(out, func() {
		c.Self.Blind = !reached
		c.publishSelf(now)
	})
}
