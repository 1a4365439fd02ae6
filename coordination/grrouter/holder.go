package grrouter

import (
	"slices"

	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Where the instances outnumber the connections that a searcher may get from them, only some
// hold connections to it: for a shard its owners, for another service those that
// grconnlimit.Assign chooses. Requests of the other instances are delegated to them. All
// instances compute the holders from the members that they can reach.

// maxRedelegations limits how often the shards of a request are delegated again after an
// instance did not answer.
const maxRedelegations = 3

// connDivision is the state of the division of connections.
type connDivision struct {
	connsDivided    bool                               // some searcher gets connections from some instances only
	dividedServices int                                // number of services with such a searcher
	membershipStale bool                               // the members have changed since connections were divided
	connsStale      bool                               // services that had been retired are named again
	listed          [][]grdispatch.Searcher            // as SetService gave them, in the order of dispatchers
	holders         [][]grident.InstanceID             // of connections to services that are not shards, likewise
	named           []grident.Service                  // by the newest table
	retiredAt       map[grident.Service]grclock.Millis // when the table ceased to name them
	formerPlaces    map[grident.Service]place          // of the services in retiredAt
}

// setListed stores the searchers of a service. The first service whose connections are
// divided, and the end of the last, changes which instances own shards.
func (r *Router) setListed(now grclock.Millis, dispatcher int32, list []grdispatch.Searcher, out *Output) {
	if slices.ContainsFunc(r.listed[dispatcher], isDivided) {
		r.dividedServices--
	}
	r.listed[dispatcher] = list
	if slices.ContainsFunc(list, isDivided) {
		r.dividedServices++
	}
	if r.connsDivided == (r.dividedServices > 0) {
		return
	}
	r.connsDivided = r.dividedServices > 0
	r.setWarmConns(now, out)
	r.redivideConns(now, out)
}

// divideConns returns the searchers of a service with this instance's connections to them,
// and the holders among all instances if the service is not a shard.
func (r *Router) divideConns(now grclock.Millis, name grident.Service, listed []grdispatch.Searcher) (list []grdispatch.Searcher, holders []grident.InstanceID) {
	if r.isRetired(now, name) {
		return withoutConns(listed), nil
	}
	if !slices.ContainsFunc(listed, isDivided) {
		return listed, nil
	}
	list = slices.Clone(listed)
	p := r.placeOf(name)
	if p.single {
		return list, r.assignConns(list)
	}
	local := make(map[grident.FailureDomain][]grident.InstanceID)
	for i := range list {
		s := &list[i]
		if _, known := local[s.Domain]; !known {
			local[s.Domain] = r.owners(s.Domain, p.block)
		}
		most := s.TotalConns / (2 * OwnersPerDomain)
		if !p.shard {
			most = 1
		}
		s.ConnLimit = grconnlimit.OwnerPart(r.reachablePart(s.TotalConns), most, local[s.Domain], r.remoteOwners(s.Domain, p.block), r.Self)
		s.OwnerConnLimit, s.NotHolder = 0, s.ConnLimit == 0
	}
	return list, nil
}

func isDivided(s grdispatch.Searcher) bool { return s.TotalConns > 0 }

// assignConns sets this instance's connections to the searchers of a service that is not a
// shard, and returns the holders.
func (r *Router) assignConns(list []grdispatch.Searcher) (holders []grident.InstanceID) {
	targets := make([]grconnlimit.Target, len(list))
	for i := range list {
		targets[i] = grconnlimit.Target{ID: list[i].ID, Domain: list[i].Domain, Total: r.reachablePart(list[i].TotalConns)}
	}
	instances := make([]grconnlimit.Instance, len(r.membership.Members))
	for i, m := range r.membership.Members {
		instances[i] = grconnlimit.Instance{ID: m.ID, Domain: m.Domain}
	}
	held := grconnlimit.Assign(instances, targets)
	for i := range list {
		list[i].ConnLimit, list[i].OwnerConnLimit = 0, 0
		if slices.Contains(held[r.Self], i) {
			list[i].ConnLimit = 1
		}
		list[i].NotHolder = list[i].ConnLimit == 0
	}
	for _, m := range r.membership.Members {
		if len(held[m.ID]) > 0 {
			holders = append(holders, m.ID)
		}
	}
	return holders
}

// reachablePart returns the connections to a searcher that the members that this instance can
// reach may hold.
func (r *Router) reachablePart(total int) int {
	return grconnlimit.ReachablePart(total, len(r.membership.Members), r.membership.Count)
}

// remoteOwners returns the owners of a block in all failure domains but one, the first of each
// domain before the second.
func (r *Router) remoteOwners(except grident.FailureDomain, block int) []grident.InstanceID {
	var domains []grident.FailureDomain
	for _, m := range r.membership.Members {
		if m.Domain != except && !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
	}
	slices.Sort(domains)
	var first, second []grident.InstanceID
	for _, domain := range domains {
		owners := r.owners(domain, block)
		first = append(first, owners[:1]...)
		second = append(second, owners[1:]...)
	}
	return append(first, second...)
}

// redivideConns divides the connections to all services anew after a change of the members or
// of the table.
func (r *Router) redivideConns(now grclock.Millis, out *Output) {
	for i, dispatcher := range r.dispatchers {
		if !slices.ContainsFunc(r.listed[i], isDivided) && !r.isRetired(now, r.serviceNames[i]) && !r.connsStale {
			continue
		}
		list, holders := r.divideConns(now, r.serviceNames[i], r.listed[i])
		r.holders[i] = holders
		dispatcher.SetSearchers(now, list, &out.dispatcher)
		r.collect(now, int32(i), out)
	}
	r.connsStale = false
}

// holdsNone reports whether this instance may hold no connection for any shard of the request.
func (r *Router) holdsNone(q *query) bool {
	return !slices.ContainsFunc(q.dispatchers, func(i int32) bool { return r.dispatchers[i].MayConnect() })
}

// holdersOf returns the instances that may hold connections for a shard of the request, those
// in the failure domains of its searchers first.
func (r *Router) holdersOf(q *query, shard int32) []grident.InstanceID {
	dispatcher := q.dispatchers[shard]
	place := r.placeOf(r.serviceNames[dispatcher])
	if place.single {
		return r.holders[dispatcher]
	}
	var near, far []grident.InstanceID
	for _, domain := range r.peerDomains() {
		if r.dispatchers[dispatcher].HasSearcherIn(domain) {
			near = append(near, r.owners(domain, place.block)...)
		} else {
			far = append(far, r.owners(domain, place.block)...)
		}
	}
	return append(near, far...)
}

// holderFor returns an instance that may hold connections for a shard and that the request has
// not been delegated to yet. A responsive one is preferred; if all are bypassed, one of them is
// tried all the same, since this instance cannot send to the searchers itself.
func (r *Router) holderFor(now grclock.Millis, q *query, shard int32) (best grident.InstanceID, ok bool) {
	holders := r.holdersOf(q, shard)
	bestRank := uint64(0)
	for _, id := range holders {
		p := r.peer(id)
		if p == nil || q.route.hasGroupOf(id, shard) {
			continue
		}
		rank := grident.Mix(grident.Hash(id)^uint64(q.id))>>3 | 1
		if p.Domain == r.Domain {
			rank |= 1 << 61
		}
		if r.dispatchers[q.dispatchers[shard]].HasSearcherIn(p.Domain) {
			rank |= 1 << 62
		}
		if p.bypassUntil <= now {
			rank |= 1 << 63
		}
		if rank > bestRank {
			best, bestRank = id, rank
		}
	}
	return best, bestRank > 0
}

// hasGroupOf reports whether the shard was delegated to the instance.
func (rs *routeState) hasGroupOf(id grident.InstanceID, shard int32) bool {
	return slices.ContainsFunc(rs.groups, func(g group) bool { return g.peer == id && slices.Contains(g.shards, shard) })
}

// isAwaited reports whether a group that holds the shard may still be answered.
func (rs *routeState) isAwaited(shard int32) bool {
	return slices.ContainsFunc(rs.groups, func(g group) bool { return g.open && slices.Contains(g.shards, shard) })
}

// delegateUnheld delegates the shards for which this instance may hold no connection and that
// no group contains yet to instances that may.
func (r *Router) delegateUnheld(now grclock.Millis, q *query) {
	if !r.connsDivided {
		return
	}
	var shards []int32
	for i, dispatcher := range q.dispatchers {
		if !q.route.delegated[i] && !r.dispatchers[dispatcher].MayConnect() {
			shards = append(shards, int32(i))
		}
	}
	r.groupByHolder(now, q, shards)
}

// groupByHolder forms groups of the shards for instances that may hold connections, and
// returns the shards for which there is none.
func (r *Router) groupByHolder(now grclock.Millis, q *query, shards []int32) (others []int32) {
	rs := q.route
	first := len(rs.groups)
	for _, shard := range shards {
		holder, ok := r.holderFor(now, q, shard)
		if !ok {
			others = append(others, shard)
			continue
		}
		rs.delegated[shard] = true
		i := slices.IndexFunc(rs.groups[first:], func(g group) bool { return g.peer == holder })
		if i < 0 {
			i = len(rs.groups) - first
			rs.groups = append(rs.groups, group{peer: holder, open: true})
		}
		g := &rs.groups[first+i]
		g.shards = append(g.shards, shard)
	}
	return others
}

// chargeDuplicates takes a permit for each shard of a group that another instance may have sent
// already. The budget is that of this instance, as the owners of a shard have most of it.
// Shards that it denies end without a result.
func (r *Router) chargeDuplicates(now grclock.Millis, q *query) {
	for i, dispatcher := range q.dispatchers {
		if q.route.reservedSearcher(int32(i)) == 0 || !r.dispatchers[dispatcher].AllowDuplicate(now) {
			q.settled[i] = true
			q.pending--
			q.route.failedShards++
		}
	}
}

// redelegate delegates shards again whose group was not answered, and for which this instance
// may hold no connection. If the first instance may have sent the sub-requests, the second
// sends to the reserved searchers only. Shards that no instance can take, or that nobody waits for
// any more, count as failed.
func (r *Router) redelegate(now grclock.Millis, q *query, shards []int32, reserved map[int32]grident.SearcherTag, out *Output) {
	rs := q.route
	first := len(rs.groups)
	others := shards
	if rs.redelegations < maxRedelegations && !q.callerLeft {
		rs.redelegations++
		others = r.groupByHolder(now, q, shards)
	}
	for i := first; i < len(rs.groups); i++ {
		rs.groups[i].onlyReserved = reserved != nil
		for _, shard := range rs.groups[i].shards {
			rs.groups[i].reserved = append(rs.groups[i].reserved, reserved[shard])
		}
		r.sendGroup(now, q, i, out)
	}
	for _, shard := range others {
		if !q.settled[shard] && !rs.isAwaited(shard) {
			q.settled[shard] = true
			q.pending--
			rs.failedShards++
		}
	}
}
