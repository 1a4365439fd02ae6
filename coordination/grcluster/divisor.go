package grcluster

import (
	"slices"

	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grclock"
)

// updateDivisor updates the divisor after a change of the members or of their published
// divisors.
func (c *Cluster) updateDivisor(now grclock.Millis) {
	if !c.divisorStale || c.ownState == Gone || c.UncoordinatedDivisor {
		return
	}
	c.divisorStale = false
	counted := c.counted()
	if !slices.Equal(counted, c.published.CountedMembers) {
		c.setCounted(now, counted)
	}
	if c.pendingDivisor > 0 {
		return
	}
	_, registered := c.groupItems.Get(registeredKey(c.Self.ID))
	view := grconnlimit.View{
		Self: c.Self.Member, Others: without(counted, c.Self.Member), Published: c.publishedDivisors(),
		HasEnded: c.hasEnded, OnMemberList: registered, ListRead: c.membersRead,
	}
	next := grconnlimit.NextDivisor(c.published.Divisor, view.AllowedDivisor(), len(counted))
	if next != c.published.Divisor {
		c.published.Divisor = next
		c.out.SearchersChanged = true
		c.publishDivisor(now)
	}
}

// setCounted sets the list of counted members. If it requires a larger divisor, surplus
// connections must be closed before the list is published; ConnectionsReduced reports
// that they are.
func (c *Cluster) setCounted(now grclock.Millis, counted []grconnlimit.Member) {
	c.published.CountedMembers = counted
	n := len(counted)
	if c.published.Divisor > 0 && c.published.Divisor < n {
		c.pendingDivisor = n
		c.out.SearchersChanged = true
		return
	}
	if c.pendingDivisor == 0 {
		c.publishDivisor(now)
	}
}

// Divisor returns the divisor of connection limits, or 0 while no connection may be
// open.
func (c *Cluster) Divisor() int {
	if c.UncoordinatedDivisor {
		return len(c.Members())
	}
	return max(c.published.Divisor, c.pendingDivisor)
}

// PendingDivisor returns the larger divisor to which the open connections must be
// reduced before it is published, or 0 if none is pending.
func (c *Cluster) PendingDivisor() int { return c.pendingDivisor }

// ConnectionsReduced records that no more connections are open than the divisor
// allows.
func (c *Cluster) ConnectionsReduced(now grclock.Millis, divisor int, out *Output) {
	if c.pendingDivisor == 0 || divisor < c.pendingDivisor {
		return
	}
	c.runStep(now, out, func() {
		c.published.Divisor = c.pendingDivisor
		c.pendingDivisor = 0
		c.divisorStale = true
		c.publishDivisor(now)
		c.updateDivisor(now)
	})
}

func (c *Cluster) publishDivisor(now grclock.Millis) {
	if c.UncoordinatedDivisor {
		return
	}
	c.divisorSeq++
	published := grconnlimit.PublishedDivisor{Divisor: c.published.Divisor, CountedMembers: slices.Clone(c.published.CountedMembers)}
	version := grgossip.Version(uint64(c.Self.Incarnation)<<20 + c.divisorSeq)
	value := Value{Kind: DivisorKind, Publisher: c.Self.Member, PublishedDivisor: published}
	c.groupItems.Put(now, Item{Key: divisorKey(c.Self.ID), Version: version, Value: value})
}

// counted returns the runs of the group's members that are not known to have ended.
func (c *Cluster) counted() []grconnlimit.Member {
	var list []grconnlimit.Member
	for _, m := range c.Group() {
		list = append(list, m.Member)
	}
	return list
}

// hasEnded reports whether a run of a member is proved to be over: it is marked as
// gone, or a later run of the same id is known.
func (c *Cluster) hasEnded(m grconnlimit.Member) bool {
	item, ok := c.items.Get(memberKey(m.ID))
	if !ok {
		return false
	}
	return runOf(item.Version) > m.Incarnation || runOf(item.Version) == m.Incarnation && StateOf(item.Version) == Gone
}

func (c *Cluster) publishedDivisors() map[grconnlimit.Member]grconnlimit.PublishedDivisor {
	all := make(map[grconnlimit.Member]grconnlimit.PublishedDivisor)
	for _, m := range c.Group() {
		if item, ok := c.groupItems.Get(divisorKey(m.ID)); ok {
			all[item.Value.Publisher] = item.Value.PublishedDivisor
		}
	}
	return all
}

func without(list []grconnlimit.Member, m grconnlimit.Member) []grconnlimit.Member {
	return slices.DeleteFunc(slices.Clone(list), func(o grconnlimit.Member) bool { return o == m })
}
