package grcontrol

import (
	"cmp"
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Open tells callers where this instance can be asked, once it can answer. With
// an empty address they are not sent here any more.
func (c *Control) Open(now grclock.Millis, callers grid.Address, out *Out) {
	if c.Self.Callers == callers {
		return
	}
	c.Self.Callers = callers
	c.with(out, func() { c.publishSelf(now) })
}

// publishSelf tells the others what changed about this instance.
func (c *Control) publishSelf(now grclock.Millis) {
	item, _ := c.items.Get(memberKey(c.Self.ID))
	c.put(now, item.Key, after(item.Version, c.own), Value{Kind: MemberKind, Member: c.Self})
}

// refute answers a false word about this instance.
func (c *Control) refute(now grclock.Millis, item Item) {
	if item.Value.Member.ID != c.Self.ID {
		return
	}
	if c.Unproven && runOf(item.Version) > c.Self.Run {
		c.outrun(now, runOf(item.Version))
		return
	}
	state := StateOf(item.Version)
	if runOf(item.Version) == c.Self.Run && state != c.own && (state == Suspect || state == Gone) {
		c.setMember(now, c.Self.ID, c.own)
	}
}

// outrun takes a later run than one that others know under this id. Runs are
// numbered by the machine's date, which may have been set back between them.
func (c *Control) outrun(now grclock.Millis, known grid.Incarnation) {
	c.Self.Run = known + 1
	c.put(now, memberKey(c.Self.ID), versionOf(c.Self.Run, 0, c.own), Value{Kind: MemberKind, Member: c.Self})
}

func (c *Control) setMember(now grclock.Millis, id grid.InstanceID, state State) {
	item, ok := c.items.Get(memberKey(id))
	if ok && StateOf(item.Version) != state {
		c.put(now, item.Key, after(item.Version, state), item.Value)
	}
}

func (c *Control) stateOf(id grid.InstanceID) State {
	item, ok := c.items.Get(memberKey(id))
	if !ok {
		return Gone
	}
	return StateOf(item.Version)
}

// Members returns the entry instances that are not gone, this one included, in
// the order of their hashes.
func (c *Control) Members() []Member {
	c.refresh()
	return c.order
}

// Group returns those of the members that share searchers with this instance.
func (c *Control) Group() []Member {
	c.refresh()
	return c.mates
}

// groupOf returns the group of an instance, which its id decides on.
func (c *Control) groupOf(id grid.InstanceID) uint64 {
	return grid.Hash(id) % uint64(max(c.Groups, 1))
}

func (c *Control) refresh() {
	if !c.stale {
		return
	}
	c.stale = false
	c.order, c.mates = c.order[:0], c.mates[:0]
	c.items.All(func(item Item) {
		if item.Value.Kind == MemberKind && StateOf(item.Version) != Gone {
			c.order = append(c.order, item.Value.Member)
		}
	})
	slices.SortFunc(c.order, byHash)
	own := c.groupOf(c.Self.ID)
	for _, m := range c.order {
		if c.groupOf(m.ID) == own {
			c.mates = append(c.mates, m)
		}
	}
}

func byHash(a, b Member) int {
	if order := cmp.Compare(grid.Hash(a.ID), grid.Hash(b.ID)); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}
