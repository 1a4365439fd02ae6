package grcontrol

import (
	"cmp"
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Entries returns the members that callers may use: live ones, those of the
// asker's failure domain first, then by load. Among equals the order depends on
// the seed, so that callers do not all pick the same.
func (c *Control) Entries(domain grid.FailureDomain, seed uint64) []Member {
	var list []Member
	for _, m := range c.Members() {
		if c.stateOf(m.ID) == Live && m.Callers != "" {
			list = append(list, m)
		}
	}
	rank := func(m Member) uint64 { return grid.Mix(seed ^ grid.Hash(m.ID)) }
	slices.SortStableFunc(list, func(a, b Member) int {
		if near := cmp.Compare(distance(a.Domain, domain), distance(b.Domain, domain)); near != 0 {
			return near
		}
		if load := cmp.Compare(c.loadStep(a.ID), c.loadStep(b.ID)); load != 0 {
			return load
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return list
}

func distance(a, b grid.FailureDomain) int {
	if a == b {
		return 0
	}
	return 1
}

// loadStep is the load of a member, coarse enough that small differences do not
// decide.
func (c *Control) loadStep(id grid.InstanceID) int {
	load := c.loads[id]
	if id == c.Self.ID {
		load = c.Load
	}
	return load / loadStepSize
}

// loadStepSize is the number of queries in flight that make a difference.
const loadStepSize = 50

// MemberStatus is what is known of an entry instance.
type MemberStatus struct {
	Member
	State State
}

// Status returns what is known of every entry instance that is not gone.
func (c *Control) Status() []MemberStatus {
	var list []MemberStatus
	for _, m := range c.Members() {
		list = append(list, MemberStatus{Member: m, State: c.stateOf(m.ID)})
	}
	return list
}

// missing tells since when a run of a member is missing from the platform's
// list.
type missing struct {
	run   grid.Incarnation
	since grclock.Millis
}

// listLag is how long a member must be missing from the platform's list before
// it counts as ended: longer than the list lags behind a start.
const listLag = 10 * grclock.Second

// TakeEntries takes the entry instances in the platform's list. It is the proof
// that a member has ended whose machine is gone, so that nothing refuses a
// connection there any more.
func (c *Control) TakeEntries(now grclock.Millis, ids []grid.InstanceID, out *Out) {
	present := make(map[grid.InstanceID]bool, len(ids))
	for _, id := range ids {
		present[id] = true
	}
	c.with(out, func() {
		for _, m := range slices.Clone(c.Members()) {
			if present[m.ID] || m.ID == c.Self.ID {
				delete(c.missed, m.ID)
				continue
			}
			first, known := c.missed[m.ID]
			if !known || first.run != m.Run {
				c.missed[m.ID] = missing{m.Run, now}
				continue
			}
			if now-first.since >= listLag {
				c.setMember(now, m.ID, Gone)
			}
		}
		c.review(now)
	})
}
