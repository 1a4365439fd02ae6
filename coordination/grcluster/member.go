package grcluster

import (
	"cmp"
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// SetCallerAddress publishes the address at which this instance serves callers, once it
// is ready. An empty address removes it from the entry lists.
func (c *Cluster) SetCallerAddress(now grclock.Millis, address grident.Address, out *Output) {
	if c.Self.CallerAddress == address {
		return
	}
	c.Self.CallerAddress = address
	c.runStep(now, out, func() {
		c.publishSelf(now)
		if all := c.knownAddresses(); address != "" && len(all) <= maxIntroductions {
			c.items.TakeRecent() // The introduction takes the place of the immediate push.
			c.introduce(now, all)
		}
	})
}

// publishSelf publishes the changed description of this instance.
func (c *Cluster) publishSelf(now grclock.Millis) {
	item, _ := c.items.Get(memberKey(c.Self.ID))
	c.put(now, item.Key, nextVersion(item.Version, c.ownState), Value{Kind: MemberKind, Member: c.Self})
}

// refute corrects an item of this instance in which another instance published a wrong
// state or a later run.
func (c *Cluster) refute(now grclock.Millis, item Item) {
	if item.Value.Member.ID != c.Self.ID {
		return
	}
	if c.UncoordinatedDivisor && runOf(item.Version) > c.Self.Incarnation {
		c.advanceRun(now, runOf(item.Version))
		return
	}
	state := StateOf(item.Version)
	if runOf(item.Version) == c.Self.Incarnation && state != c.ownState && (state == Suspect || state == Gone) {
		c.setMember(now, c.Self.ID, c.ownState)
	}
}

// advanceRun moves this instance to a run number above the one that others know for
// its id. Run numbers are taken from the machine's clock, which may have been set back
// between two runs.
func (c *Cluster) advanceRun(now grclock.Millis, known grident.Incarnation) {
	c.Self.Incarnation = known + 1
	c.put(now, memberKey(c.Self.ID), versionOf(c.Self.Incarnation, 0, c.ownState), Value{Kind: MemberKind, Member: c.Self})
}

func (c *Cluster) setMember(now grclock.Millis, id grident.InstanceID, state State) {
	item, ok := c.items.Get(memberKey(id))
	if ok && StateOf(item.Version) != state {
		c.put(now, item.Key, nextVersion(item.Version, state), item.Value)
	}
}

// stateOf returns the state of a member by what the members publish and, in addition, by what
// this instance itself observes.
func (c *Cluster) stateOf(id grident.InstanceID) State {
	state := c.publishedState(id)
	if state == Live && c.detector.suspects[id] {
		return Suspect
	}
	return state
}

func (c *Cluster) publishedState(id grident.InstanceID) State {
	item, ok := c.items.Get(memberKey(id))
	if !ok {
		return Gone
	}
	return StateOf(item.Version)
}

// Members returns the entry instances that are not gone, this one included, in hash
// order. The slice is valid until the next change of the members.
func (c *Cluster) Members() []Member {
	c.rebuildMembers()
	return c.members
}

// Group returns the members that share searchers with this instance, itself
// included.
func (c *Cluster) Group() []Member {
	c.rebuildMembers()
	return c.groupMembers
}

// groupOf returns the group of an instance, which is derived from its id.
func (c *Cluster) groupOf(id grident.InstanceID) uint64 {
	return grident.Hash(id) % uint64(max(c.GroupCount, 1))
}

func (c *Cluster) rebuildMembers() {
	if !c.membersStale {
		return
	}
	c.membersStale = false
	c.members, c.groupMembers = c.members[:0], c.groupMembers[:0]
	c.items.All(func(item Item) {
		if item.Value.Kind == MemberKind && StateOf(item.Version) != Gone {
			c.members = append(c.members, c.withCapacity(item.Value.Member))
		}
	})
	slices.SortFunc(c.members, byHash)
	own := c.groupOf(c.Self.ID)
	for _, m := range c.members {
		if c.groupOf(m.ID) == own {
			c.groupMembers = append(c.groupMembers, m)
		}
	}
}

func byHash(a, b Member) int {
	if order := cmp.Compare(grident.Hash(a.ID), grident.Hash(b.ID)); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}
