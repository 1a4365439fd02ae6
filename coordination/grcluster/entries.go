package grcluster

import (
	"cmp"
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Entries returns the members that callers may use: the live ones, those of the
// given failure domain (the requester's) first, then by load. Members that are equal
// in both are ordered by the seed, so that not all callers pick the same one.
func (c *Cluster) Entries(domain grident.FailureDomain, seed uint64) []Member {
	var list []Member
	for _, m := range c.Members() {
		if c.stateOf(m.ID) == Live && m.CallerAddress != "" {
			list = append(list, m)
		}
	}
	rank := func(m Member) uint64 { return grident.Mix(seed ^ grident.Hash(m.ID)) }
	slices.SortStableFunc(list, func(a, b Member) int {
		if byDomain := cmp.Compare(domainDistance(a.Domain, domain), domainDistance(b.Domain, domain)); byDomain != 0 {
			return byDomain
		}
		if load := cmp.Compare(c.loadStep(a.ID), c.loadStep(b.ID)); load != 0 {
			return load
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return list
}

func domainDistance(a, b grident.FailureDomain) int {
	if a == b {
		return 0
	}
	return 1
}

// loadStep returns the load of a member, rounded down so that small differences do
// not affect the order.
func (c *Cluster) loadStep(id grident.InstanceID) int {
	load := c.loads[id]
	if id == c.Self.ID {
		load = c.Load
	}
	return load / loadStepSize
}

// loadStepSize is the number of queries in flight per load step.
const loadStepSize = 50

// MemberStatus is the description and state of an entry instance.
type MemberStatus struct {
	Member
	State State
}

// Status returns the description and state of each entry instance that is not gone.
func (c *Cluster) Status() []MemberStatus {
	var list []MemberStatus
	for _, m := range c.Members() {
		list = append(list, MemberStatus{Member: m, State: c.stateOf(m.ID)})
	}
	return list
}

// missingRun records since when a run of a member is absent from the platform's list.
type missingRun struct {
	run   grident.Incarnation
	since grclock.Millis
}

// missingTimeout is how long a member must be absent from the platform's list before
// it counts as gone. It is longer than the delay with which the list shows a started
// instance.
const missingTimeout = 10 * grclock.Second

// UpdateInstances processes the platform's list of entry instances. Absence from the
// list is the only proof that a member has ended if its machine is gone, because
// connections to it then time out instead of being refused.
func (c *Cluster) UpdateInstances(now grclock.Millis, ids []grident.InstanceID, out *Output) {
	present := make(map[grident.InstanceID]bool, len(ids))
	for _, id := range ids {
		present[id] = true
	}
	c.runStep(now, out, func() {
		for _, m := range slices.Clone(c.Members()) {
			if present[m.ID] || m.ID == c.Self.ID {
				delete(c.missingRuns, m.ID)
				continue
			}
			first, known := c.missingRuns[m.ID]
			if !known || first.run != m.Incarnation {
				c.missingRuns[m.ID] = missingRun{m.Incarnation, now}
				continue
			}
			if now-first.since >= missingTimeout {
				c.setMember(now, m.ID, Gone)
			}
		}
		c.updateDivisor(now)
	})
}
