package grconnlimit

import (
	"cmp"
	"slices"

	"geraniumrouter/state/grident"
)

// UsableDivisor sets the part of a searcher's connection limit that all instances together
// use. The rest is for connections of instances that lost power, which a searcher counts
// until it notices, and for the time in which instances have different views of the members.
const UsableDivisor = 2

// Usable returns the part of a connection limit that all instances together may use.
func Usable(limit int) int { return limit / UsableDivisor }

// Fits reports whether each of the instances may hold a connection to a searcher. If not,
// only some of them hold any.
func Fits(limit, instances int) bool { return Usable(limit) >= instances }

// ReachablePart returns the part of the usable connections that the instances that reach each
// other may hold together. Those that they do not reach may be running and hold the rest. More
// than half of all may hold one in any case: no other side can be as large.
func ReachablePart(usable, reachable, all int) int {
	part := usable * reachable / max(reachable, all, 1)
	if usable > 0 && 2*reachable > all {
		part = max(part, 1)
	}
	return part
}

// OwnerPart returns the connections that the instance self may hold to a searcher of a shard,
// out of total for all instances. The owners of the searcher's failure domain hold up to most
// each, those of other domains one each, for hedges.
func OwnerPart(total, most int, local, remote []grident.InstanceID, self grident.InstanceID) int {
	if len(local) == 0 {
		local, remote = remote, nil
	}
	if i := slices.Index(remote, self); i >= 0 {
		return min(1, max(0, total-len(local)-i))
	}
	i := slices.Index(local, self)
	if i < 0 {
		return 0
	}
	spare := total - min(len(remote), max(0, total-len(local)))
	part := spare / len(local)
	if i < spare%len(local) {
		part++
	}
	return min(part, max(most, 1))
}

// Instance is an instance that may hold connections.
type Instance struct {
	ID     grident.InstanceID
	Domain grident.FailureDomain
}

// Target is a searcher of a service, with the connections that all instances may hold to it.
type Target struct {
	ID     grident.SearcherID
	Domain grident.FailureDomain
	Total  int
}

// Assign returns for each instance the indexes of the searchers to which it may hold one
// connection each. The instances choose in turn, each the searcher of its own failure domain
// or else of the highest rank that has connections left, until none is left. All instances
// compute the same result from the same members, whatever their order.
func Assign(instances []Instance, searchers []Target) map[grident.InstanceID][]int {
	order := slices.Clone(instances)
	slices.SortFunc(order, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(grident.Hash(a.ID), grident.Hash(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	left := make([]int, len(searchers))
	for i := range searchers {
		left[i] = searchers[i].Total
	}
	held := make(map[grident.InstanceID][]int, len(order))
	for range searchers {
		for _, in := range order {
			if best := choose(in, searchers, left, held[in.ID]); best >= 0 {
				held[in.ID] = append(held[in.ID], best)
				left[best]--
			}
		}
	}
	return held
}

// choose returns the index of the next searcher of an instance, or -1.
func choose(in Instance, searchers []Target, left, held []int) int {
	best, bestRank := -1, uint64(0)
	for i := range searchers {
		if left[i] <= 0 || slices.Contains(held, i) {
			continue
		}
		rank := grident.Mix(grident.Hash(in.ID)^grident.Hash(searchers[i].ID))>>1 | 1
		if searchers[i].Domain == in.Domain {
			rank |= 1 << 63
		}
		if rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}
