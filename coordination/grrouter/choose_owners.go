package grrouter

import (
	"slices"

	"geraniumrouter/state/grident"
)

// candidate is an instance of a failure domain that can own blocks.
type candidate struct {
	id        grident.InstanceID
	hash      uint64
	preferred bool
	limit     int   // blocks that it may own
	blocks    []int // that it owns
}

// chooseOwners returns the owners of each block of a failure domain, the first in rank first.
// The result does not depend on the order of the members.
//
// Members with at least half of the largest capacity come before the others, since an owner
// sends the sub-requests of many requests; among equals the rank is that of rendezvous hashing.
// No member owns more blocks than its limit: of those that rank it among their first it owns
// those for which its rank is highest, and the others go to their next. The loss of a member
// moves its own blocks, and where limits are reached a few others. All ranks are of pairs of a
// block and a member, so exactly one assignment is stable, in whatever order blocks choose.
func chooseOwners(members []Peer, blocks int) [][]grident.InstanceID {
	c := newOwnerChoice(members, blocks)
	for len(c.open) > 0 {
		block := c.open[len(c.open)-1]
		c.open = c.open[:len(c.open)-1]
		c.fill(block)
	}
	owners := make([][]grident.InstanceID, blocks)
	for block := range owners {
		for _, i := range c.owners[block] {
			owners[block] = append(owners[block], c.candidates[i].id)
		}
	}
	return owners
}

// ownerChoice is the state of the choice of the owners of a failure domain's blocks.
type ownerChoice struct {
	candidates []candidate
	owners     [][]int // candidates that own each block, in the order of their ranks
	tried      [][]int // candidates that each block has chosen so far
	open       []int   // blocks that may lack an owner
}

func newOwnerChoice(members []Peer, blocks int) *ownerChoice {
	c := &ownerChoice{candidates: make([]candidate, len(members)), owners: make([][]int, blocks), tried: make([][]int, blocks)}
	capacities := ownerCapacities(members)
	largest, equal := grident.Millicores(0), true
	total := 0
	for _, capacity := range capacities {
		largest = max(largest, capacity)
		equal = equal && capacity == capacities[0]
		total += int(capacity)
	}
	for i, m := range members {
		c.candidates[i] = candidate{id: m.ID, hash: grident.Hash(m.ID), preferred: 2*int(capacities[i]) >= int(largest), limit: blocks}
		if !equal {
			c.candidates[i].limit = ownerLimit(int(capacities[i]), total, blocks)
		}
	}
	for block := range blocks {
		c.open = append(c.open, block)
	}
	return c
}

// ownerCapacities returns the capacities of the members. An unknown one, of an instance of an
// older build, counts as the smallest known one.
func ownerCapacities(members []Peer) []grident.Millicores {
	smallest := grident.Millicores(0)
	for _, m := range members {
		if m.Capacity > 0 && (smallest == 0 || m.Capacity < smallest) {
			smallest = m.Capacity
		}
	}
	list := make([]grident.Millicores, len(members))
	for i, m := range members {
		list[i] = m.Capacity
		if m.Capacity <= 0 {
			list[i] = smallest
		}
	}
	return list
}

// An instance may own twice its share of the owner places of its domain, so that the
// few largest instances of many do not own all blocks, and always minOwnerLimit blocks.
const (
	ownerLimitFactor = 2
	minOwnerLimit    = 2
)

// ownerLimit returns the number of blocks that a member may own.
func ownerLimit(capacity, total, blocks int) int {
	share := ownerLimitFactor * capacity * blocks * OwnersPerDomain
	return max(minOwnerLimit, (share+total-1)/total)
}

// fill lets a block choose candidates until it has all its owners or none is left.
func (c *ownerChoice) fill(block int) {
	for len(c.owners[block]) < OwnersPerDomain {
		best := c.best(block)
		if best < 0 {
			return
		}
		c.tried[block] = append(c.tried[block], best)
		c.owners[block] = append(c.owners[block], best)
		chosen := &c.candidates[best]
		chosen.blocks = append(chosen.blocks, block)
		if len(chosen.blocks) > chosen.limit {
			c.release(best)
		}
	}
}

// best returns the candidate of the highest rank that the block has not chosen yet, or -1.
func (c *ownerChoice) best(block int) int {
	best := -1
	for i := range c.candidates {
		if (best < 0 || c.ranksBefore(block, i, best)) && !slices.Contains(c.tried[block], i) {
			best = i
		}
	}
	return best
}

// ranksBefore reports whether candidate i comes before candidate j for a block.
func (c *ownerChoice) ranksBefore(block, i, j int) bool {
	a, b := &c.candidates[i], &c.candidates[j]
	if a.preferred != b.preferred {
		return a.preferred
	}
	if rankA, rankB := a.rank(block), b.rank(block); rankA != rankB {
		return rankA > rankB
	}
	return a.id > b.id
}

// release takes from a candidate the block for which its rank is lowest.
func (c *ownerChoice) release(i int) {
	owner := &c.candidates[i]
	block := slices.MinFunc(owner.blocks, func(a, b int) int {
		if owner.rank(a) < owner.rank(b) {
			return -1
		}
		return 1
	})
	owner.blocks = slices.DeleteFunc(owner.blocks, func(b int) bool { return b == block })
	c.owners[block] = slices.DeleteFunc(c.owners[block], func(k int) bool { return k == i })
	c.open = append(c.open, block)
}

func (c *candidate) rank(block int) uint64 { return rankFor(c.hash, uint64(block)) }
