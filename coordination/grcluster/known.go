package grcluster

import "geraniumrouter/state/grident"

// SeedsRead reports whether the addresses of all instances registered at the platform were
// added.
func (c *Cluster) SeedsRead() bool { return c.seedsRead }

// KnownInstances returns the number of instances that may be running, this one included:
// members that are not gone, and seeds of which nothing else is known. It bounds quotas, so it
// must not be too small; the number that divides connections forgets such seeds after a while.
func (c *Cluster) KnownInstances() int {
	known := make(map[grident.Address]bool)
	c.items.All(func(item Item) {
		if item.Value.Kind == MemberKind {
			known[item.Value.Member.PeerAddress] = true
		}
	})
	n := max(len(c.Members()), 1)
	for _, seed := range c.Seeds {
		if !known[seed] && !c.refusedSeeds[seed] && seed != c.Self.PeerAddress {
			known[seed] = true
			n++
		}
	}
	return n
}

// Isolated reports whether nothing is heard of any other member: this instance may be cut off.
func (c *Cluster) Isolated() bool { return c.isolated && len(c.Members()) > 1 }
