package grcontrol

import (
	"cmp"
	"slices"

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

// GoneMembers returns the ids of instances that are known to have ended.
func (c *Control) GoneMembers() []grid.InstanceID {
	var list []grid.InstanceID
	c.items.All(func(item Item) {
		if item.Value.Kind == MemberKind && StateOf(item.Version) == Gone {
			list = append(list, item.Value.Member.ID)
		}
	})
	return list
}
