package grrouter

import (
	"math"
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Delegation is a message to a peer about a group of shards. It requests their partial
// results; with RequestRest set, it requests those that were missing from the peer's
// first answer; with Release set, it tells the peer that the results are no longer needed.
type Delegation struct {
	To              grident.InstanceID
	Query           grident.QueryID
	Group           int32
	Services        []grident.Service
	Reserved        []grident.SearcherTag // for each service, the searcher that the peer must leave to this instance
	PartialDeadline grclock.Millis        // time by which the peer must report the partial results it has
	OnlyReserved    bool                  // the peer sends to the searchers in Reserved only
	Deadline        grclock.Millis
	Remaining       grclock.Millis // remaining time of the caller's timeout when it sent the request; 0: not known
	RequestRest     bool
	RestWanted      int // partial results still needed, with RequestRest
	Release         bool
}

// Parameters of delegation.
const (
	minGroupSize       = 2                         // fewest shards that justify a message to a peer
	responseMargin     = 4 * grclock.Millisecond   // allowance for the peer's response to arrive
	bypassBase         = 500 * grclock.Millisecond // initial time for which an unresponsive peer is bypassed, doubled for each further failure
	maxBypassDoublings = 4                         // limit on the doublings
	restWindow         = 150 * grclock.Millisecond // time after a group's first answer during which the rest can be requested
	peerGrace          = 15 * grclock.Millisecond  // time after the partial-result deadline until a peer counts as unresponsive
	normalLag          = 3 * grclock.Millisecond   // timer delay to expect on an instance that is not overloaded
)

// group is a set of shards that one query delegates to one peer.
type group struct {
	peer          grident.InstanceID
	shards        []int32
	reserved      []grident.SearcherTag // for each shard, the searcher that the peer must leave to this instance
	onlyReserved  bool                  // the peer sends to these searchers only
	open          bool                  // an answer may still arrive
	moreExpected  bool                  // the peer has reported that further partial results may follow
	restRequested bool
}

// delegate assigns the shards that this instance does not own to peers that own them:
// first to peers in the local failure domain, then to those in as few remote domains
// as serve the remaining shards. Shards without a responsive owner are requested by
// this instance.
func (r *Router) delegate(now grclock.Millis, q *query) {
	rs := q.route
	rs.delegated = resizedCleared(rs.delegated, len(q.dispatchers))
	if r.NoDelegation || len(r.peers) == 0 {
		return
	}
	defer r.delegateUnheld(now, q)
	if len(q.dispatchers) < minGroupSize {
		return
	}
	r.bypassOverduePeers(now)
	blocks := blocksOf(len(q.dispatchers))
	for block := range blocks {
		candidates := r.shardsToDelegate(q, block, blocks)
		domains := r.peerDomains()
		for len(candidates) >= minGroupSize && len(domains) > 0 {
			var domain grident.FailureDomain
			domain, domains = r.pickDomain(q, candidates, domains)
			candidates = r.formGroups(now, q, candidates, domain, block)
		}
	}
}

// formGroups delegates the shards that are served in a domain to their owners there,
// and returns the remaining shards. One owner gets all of them, unless they are more
// than one instance can process in time; then they are divided among the owners by capacity.
func (r *Router) formGroups(now grclock.Millis, q *query, candidates []int32, domain grident.FailureDomain, block int) []int32 {
	others, served := r.partitionShards(q, candidates, domain)
	if len(served) < minGroupSize {
		return candidates
	}
	owners := r.responsiveOwners(now, domain, block)
	if len(owners) == 0 {
		return candidates
	}
	if len(served) <= r.maxPartsPerInstance(q) {
		owners = []grident.InstanceID{r.ableOwner(owners)}
	}
	begin := 0
	for i, end := range r.divideShards(len(served), owners) {
		peer, shards := owners[i], served[begin:end]
		begin = end
		if len(shards) == 0 {
			continue
		}
		for _, shard := range shards {
			q.route.delegated[shard] = true
		}
		q.route.groups = append(q.route.groups, group{peer: peer, shards: shards, open: true})
	}
	return others
}

// ableOwner returns the first owner, or one with more than twice its capacity.
func (r *Router) ableOwner(owners []grident.InstanceID) grident.InstanceID {
	best := owners[0]
	for _, id := range owners[1:] {
		if int(r.peer(id).Capacity) > 2*int(r.peer(best).Capacity) {
			best = id
		}
	}
	return best
}

// divideShards divides shards among owners in proportion to their capacities, or equally if one
// is not known. It returns the end of each owner's part.
func (r *Router) divideShards(shards int, owners []grident.InstanceID) (ends []int) {
	weights, total := make([]int, len(owners)), 0
	for i, id := range owners {
		weights[i] = int(r.peer(id).Capacity)
		total += weights[i]
	}
	if slices.Contains(weights, 0) {
		total = len(owners)
		for i := range weights {
			weights[i] = 1
		}
	}
	sum := 0
	for _, w := range weights {
		sum += w
		ends = append(ends, (shards*sum+total-1)/total)
	}
	return ends
}

// shardsToDelegate returns the shards of a block that this instance does not own, and
// those beyond the number that it can process in time.
func (r *Router) shardsToDelegate(q *query, block, blocks int) []int32 {
	owned := r.owns(block)
	kept, most := 0, r.maxPartsPerInstance(q)
	var candidates []int32
	for i, dispatcher := range q.dispatchers {
		if blockOf(q.route.services[i], blocks) != block {
			continue
		}
		if !owned || !r.dispatchers[dispatcher].HasSearcherIn(r.Domain) || kept == most || !r.dispatchers[dispatcher].MayConnect() {
			candidates = append(candidates, int32(i))
			continue
		}
		kept++
	}
	return candidates
}

// readShare is the fraction of the latency objective that an instance may spend
// reading the partial results of a request.
const readShare = 0.2

// maxPartsPerInstance returns the number of partial results of a request that one
// instance can process in time.
func (r *Router) maxPartsPerInstance(q *query) int {
	if r.PartProcessingTime == 0 {
		return len(q.dispatchers)
	}
	return max(minGroupSize, int(readShare*float64(q.route.route.LatencyObjective)/r.PartProcessingTime))
}

// peerDomains returns the failure domains of the peers.
func (r *Router) peerDomains() []grident.FailureDomain {
	var list []grident.FailureDomain
	for i := range r.peers {
		if !slices.Contains(list, r.peers[i].Domain) {
			list = append(list, r.peers[i].Domain)
		}
	}
	return list
}

// pickDomain removes from the list, and returns, the domain to delegate to next. The
// local domain comes first. The others are ranked by the number of shards that they
// serve times a random factor between 1 and 2, so that load spreads over the domains.
func (r *Router) pickDomain(q *query, candidates []int32, list []grident.FailureDomain) (grident.FailureDomain, []grident.FailureDomain) {
	best, bestScore := 0, -1.0
	for i, domain := range list {
		score := float64(r.countServedIn(q, candidates, domain)) * (1 + r.random.Float64())
		if domain == r.Domain {
			score = math.Inf(1)
		}
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	domain := list[best]
	return domain, slices.Delete(list, best, best+1)
}

// countServedIn returns how many of the shards are served in a domain.
func (r *Router) countServedIn(q *query, shards []int32, domain grident.FailureDomain) int {
	n := 0
	for _, shard := range shards {
		if r.dispatchers[q.dispatchers[shard]].HasSearcherIn(domain) {
			n++
		}
	}
	return n
}

// responsiveOwners returns the owners of a block in a domain that are not being
// bypassed, starting from a random one.
func (r *Router) responsiveOwners(now grclock.Millis, domain grident.FailureDomain, block int) []grident.InstanceID {
	owners := r.owners(domain, block)
	first := r.random.IntN(max(len(owners), 1))
	var responsive []grident.InstanceID
	for k := range owners {
		id := owners[(first+k)%len(owners)]
		if p := r.peer(id); p != nil && p.bypassUntil <= now {
			responsive = append(responsive, id)
		}
	}
	return responsive
}

// partitionShards splits the shards into those that a domain does not serve and those
// that it does.
func (r *Router) partitionShards(q *query, candidates []int32, domain grident.FailureDomain) (others, served []int32) {
	for _, shard := range candidates {
		if r.dispatchers[q.dispatchers[shard]].HasSearcherIn(domain) {
			served = append(served, shard)
		} else {
			others = append(others, shard)
		}
	}
	return others, served
}

// sendGroups appends the delegations of a query to the output.
func (r *Router) sendGroups(now grclock.Millis, q *query, out *Output) {
	for i := range q.route.groups {
		g := &q.route.groups[i]
		g.reserved = make([]grident.SearcherTag, len(g.shards))
		domain := r.peer(g.peer).Domain
		for k, shard := range g.shards {
			dispatcher := r.dispatchers[q.dispatchers[shard]]
			if q.route.route.FanOut {
				g.reserved[k] = dispatcher.ReserveSearcher(now, domain)
			}
			dispatcher.CreditDelegated()
		}
		r.sendGroup(now, q, i, out)
	}
}

// sendGroup appends the delegation of a group to the output. A group is given until the
// deadline if it is delegated again or its request needs all of it.
func (r *Router) sendGroup(now grclock.Millis, q *query, i int, out *Output) {
	rs := q.route
	g := &rs.groups[i]
	services := make([]grident.Service, len(g.shards))
	for k, shard := range g.shards {
		services[k] = rs.services[shard]
	}
	partialDeadline, dueAt := rs.partialDeadline, rs.partialDeadline+peerGrace
	if !rs.route.FanOut || rs.redelegations > 0 {
		partialDeadline, dueAt = q.deadline-responseMargin, q.deadline
	}
	r.Counters.GroupsDelegated++
	r.expectAnswer(g.peer, dueAt)
	out.Delegations = append(out.Delegations, Delegation{
		To: g.peer, Query: q.id, Group: int32(i), Services: services, Reserved: g.reserved, OnlyReserved: g.onlyReserved,
		PartialDeadline: partialDeadline - responseMargin, Deadline: q.deadline - responseMargin, Remaining: rs.remaining,
	})
}
