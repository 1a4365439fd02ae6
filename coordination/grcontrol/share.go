package grcontrol

import (
	"slices"

	"geraniumrouter/coordination/grshare"
	"geraniumrouter/coordination/grspread"
	"geraniumrouter/state/grclock"
)

// review lets the divisor follow what is known of the others.
func (c *Control) review(now grclock.Millis) {
	if !c.unreviewed || c.own == Gone || c.Unproven {
		return
	}
	c.unreviewed = false
	counted := c.counted()
	if !slices.Equal(counted, c.holding.Counted) {
		c.recount(now, counted)
	}
	if c.lowered > 0 {
		return
	}
	_, registered := c.shares.Get(registeredKey(c.Self.ID))
	view := grshare.View{
		Self: c.Self.Member, Others: without(counted, c.Self.Member), Holdings: c.holdings(),
		Ended: c.ended, Registered: registered, Read: c.registered,
	}
	next := grshare.Next(c.holding.Divisor, view.Allowed(), len(counted))
	if next != c.holding.Divisor {
		c.holding.Divisor = next
		c.out.Searchers = true
		c.publishHolding(now)
	}
}

// recount takes a new list of members. Where it asks for a larger divisor, the
// connections in use come down first; Lowered tells when they have.
func (c *Control) recount(now grclock.Millis, counted []grshare.Member) {
	c.holding.Counted = counted
	n := len(counted)
	if c.holding.Divisor > 0 && c.holding.Divisor < n {
		c.lowered = n
		c.out.Searchers = true
		return
	}
	if c.lowered == 0 {
		c.publishHolding(now)
	}
}

// Divisor returns what connection limits are divided by, or 0 while no
// connection may be held.
func (c *Control) Divisor() int {
	if c.Unproven {
		return len(c.Members())
	}
	return max(c.holding.Divisor, c.lowered)
}

// Lowering returns the divisor that connections must come down to before the
// others may take more, or 0.
func (c *Control) Lowering() int { return c.lowered }

// Lowered notes that no more connections are held than the divisor allows.
func (c *Control) Lowered(now grclock.Millis, divisor int, out *Out) {
	if c.lowered == 0 || divisor < c.lowered {
		return
	}
	c.with(out, func() {
		c.holding.Divisor = c.lowered
		c.lowered = 0
		c.unreviewed = true
		c.publishHolding(now)
		c.review(now)
	})
}

func (c *Control) publishHolding(now grclock.Millis) {
	if c.Unproven {
		return
	}
	c.holdSeq++
	published := grshare.Holding{Divisor: c.holding.Divisor, Counted: slices.Clone(c.holding.Counted)}
	version := grspread.Version(uint64(c.Self.Run)<<20 + c.holdSeq)
	value := Value{Kind: HoldingKind, Holder: c.Self.Member, Holding: published}
	c.shares.Put(now, Item{Key: holdingKey(c.Self.ID), Version: version, Value: value})
}

// counted lists the runs of the group that are not known to have ended.
func (c *Control) counted() []grshare.Member {
	var list []grshare.Member
	for _, m := range c.Group() {
		list = append(list, m.Member)
	}
	return list
}

// ended reports whether a run of a member is proved to have ended, by proof or
// by a later run under the same id.
func (c *Control) ended(m grshare.Member) bool {
	item, ok := c.items.Get(memberKey(m.ID))
	if !ok {
		return false
	}
	return runOf(item.Version) > m.Run || runOf(item.Version) == m.Run && StateOf(item.Version) == Gone
}

func (c *Control) holdings() map[grshare.Member]grshare.Holding {
	all := make(map[grshare.Member]grshare.Holding)
	for _, m := range c.Group() {
		if item, ok := c.shares.Get(holdingKey(m.ID)); ok {
			all[item.Value.Holder] = item.Value.Holding
		}
	}
	return all
}

func without(list []grshare.Member, m grshare.Member) []grshare.Member {
	return slices.DeleteFunc(slices.Clone(list), func(o grshare.Member) bool { return o == m })
}
