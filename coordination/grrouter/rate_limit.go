package grrouter

import (
	"slices"

	"geraniumrouter/coordination/gradmission"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// The rate limit of a searcher is allocated by one instance, which all instances compute
// from the member list by rendezvous hashing. It is one in the searcher's failure domain,
// if there is one, and for a shard the first of its owners there, which needs most units.

// RateLimitRequest requests units of searchers' rate limits and organisations' quotas from the
// instance that allocates them.
type RateLimitRequest struct {
	To   grident.InstanceID
	Asks []grdispatch.RateLimitAsk
}

// RateLimitAsk is one of the requests for units that an instance got from another, or from
// itself.
type RateLimitAsk struct {
	Service     grident.Service
	Searcher    grident.SearcherID
	Domain      grident.FailureDomain // of the searcher
	Incarnation grident.Incarnation   // of the searcher
	// Organisation is set if the units are of its quota; nothing is known of a searcher then.
	Organisation grident.Organisation
	Cold         bool // the units are those that a cold searcher needs
	Request      grratelimit.Request
}

// allocatorKey identifies a limit: that of one run of a searcher, an organisation's quota, or
// what a searcher tolerates while it is cold, whatever its run.
type allocatorKey struct {
	id           grident.SearcherID
	run          grident.Incarnation
	organisation grident.Organisation
	cold         bool
}

// Membership describes this instance's place among the members, as far as rate limits and
// the division of connections depend on it.
type Membership struct {
	Leaving     bool // this instance is leaving: others allocate
	Unreachable int  // members that may be running but do not answer
	Unlisted    bool // the other instances do not name this one as an allocator yet
	Isolated    bool // none of the members that this instance watches answers
	Settled     bool // Known holds all instances that were registered before
	// Known is the number of instances that may be running, this one included; 0: not known. It
	// bounds quotas, so a registered instance counts until it refuses a connection.
	Known    int
	Suspects []grident.InstanceID

	Members []Peer // that can be reached, this instance included unless it is leaving
	// Count is the number of instances that connections are divided by. Unlike Known it counts
	// instances that refuse connections while all may be starting, and no longer counts those that
	// were registered but have not appeared: their connections would be lost to the others.
	Count int
}

// allocatorIdleTime is the time without requests after which an allocator is removed.
const allocatorIdleTime = grclock.Minute

// SetMembership changes the membership for subsequent decisions. It must be called before
// SetPeers.
func (r *Router) SetMembership(m Membership) {
	if m.Leaving != r.membership.Leaving || m.Unlisted != r.membership.Unlisted {
		r.membersChanged = true
		r.dropOwners()
	}
	if m.Known > r.membership.Known {
		r.quotas.knownGrew = true
	}
	if m.Count != r.membership.Count || !slices.Equal(m.Members, r.membership.Members) {
		r.membershipStale = true
		r.dropOwners()
	}
	r.membership = m
}

// peersDiffer reports whether the list holds other instances than the peers, or with other
// descriptions.
func (r *Router) peersDiffer(list []Peer) bool {
	return len(list) != len(r.peers) || slices.ContainsFunc(list, func(p Peer) bool {
		known := r.peer(p.ID)
		return known == nil || known.Peer != p
	})
}

// updateAllocators removes the allocators of searchers that other instances allocate now.
func (r *Router) updateAllocators(now grclock.Millis) {
	if !r.membersChanged {
		return
	}
	r.membersChanged, r.membersChangedAt = false, now
	r.checkPause(now)
	r.recordView(now)
	for key, a := range r.allocators {
		if key.organisation != "" && r.quotaAllocator(key.organisation) != r.Self ||
			key.organisation == "" && r.allocatorOf(a.service, key.id, a.domain) != r.Self {
			if key.organisation != "" {
				r.quotas.closed[key.organisation] = closedAllocator{now, a.Handover(now)}
				delete(r.quotas.handovers, key.organisation)
				r.armSweep(now)
			}
			delete(r.allocators, key)
		}
	}
}

// allocatorOf returns the instance that allocates the rate limit of a searcher.
func (r *Router) allocatorOf(name grident.Service, id grident.SearcherID, domain grident.FailureDomain) grident.InstanceID {
	if block, shard := r.shardBlocks[name]; shard {
		if owners := r.ownersBy(allocatorCandidates, domain, block); len(owners) > 0 {
			return owners[0]
		}
	}
	c := allocatorChoice{best: r.Self, seed: r.allocatorSeed(name, id), domain: domain}
	if r.mayAllocate() {
		c.consider(r.Self, r.Domain)
	}
	for i := range r.peers {
		c.consider(r.peers[i].ID, r.peers[i].Domain)
	}
	return c.best
}

// allocatorSeed returns the seed by which the allocator of a searcher's rate limit is chosen.
func (r *Router) allocatorSeed(name grident.Service, id grident.SearcherID) uint64 {
	if block, shard := r.shardBlocks[name]; shard {
		return uint64(block)
	}
	return grident.Hash(id)
}

// allocatorChoice chooses the allocator among the instances considered.
type allocatorChoice struct {
	seed   uint64
	domain grident.FailureDomain // of the searcher
	best   grident.InstanceID
	rank   uint64
	local  bool
}

func (c *allocatorChoice) consider(id grident.InstanceID, domain grident.FailureDomain) {
	rank, local := ownerRank(id, c.seed), domain == c.domain
	if local && !c.local || local == c.local && rank > c.rank {
		c.best, c.rank, c.local = id, rank, local
	}
}

// allocator is the allocator of one searcher's rate limit.
type allocator struct {
	grratelimit.Allocator
	service grident.Service
	domain  grident.FailureDomain
}

// GrantRateLimits answers requests for units. An answer is refused if another instance
// allocates the limit.
func (r *Router) GrantRateLimits(now grclock.Millis, from grident.InstanceID, asks []RateLimitAsk) []grratelimit.Grant {
	r.checkPause(now)
	r.checkColdPause(now)
	grants := make([]grratelimit.Grant, len(asks))
	for i := range asks {
		ask := &asks[i]
		if ask.Request.Reserve {
			grants[i] = r.grantReserve(now, from, ask)
			continue
		}
		if to := r.allocatorOfAsk(ask); to != r.Self {
			grants[i].Refused, grants[i].Allocator = true, to
			grants[i].Handover = r.handoverOf(now, ask.Organisation)
			continue
		}
		if ask.Organisation != "" {
			grants[i] = r.quotaAllocatorFor(now, ask).Grant(now, from, ask.Request, r.reachableShare())
			continue
		}
		if ask.Cold {
			grants[i] = r.grantCold(now, from, ask)
			continue
		}
		request := ask.Request
		if known, age := r.knownRateLimit(now, ask); age < request.Age && known.Kind != grratelimit.Unstated {
			request.Statement, request.Age = known, age
		}
		grants[i] = r.allocatorFor(now, ask).Grant(now, from, request, r.reachableShare())
	}
	return grants
}

// allocatorOfAsk returns the instance that allocates what is asked for.
func (r *Router) allocatorOfAsk(ask *RateLimitAsk) grident.InstanceID {
	if ask.Organisation != "" {
		return r.quotaAllocator(ask.Organisation)
	}
	return r.allocatorOf(ask.Service, ask.Searcher, ask.Domain)
}

// quotaAllocatorFor returns the allocator of an organisation's quota.
func (r *Router) quotaAllocatorFor(now grclock.Millis, ask *RateLimitAsk) *allocator {
	key := allocatorKey{organisation: ask.Organisation}
	a := r.allocators[key]
	if a == nil {
		r.removeIdleAllocators(now)
		a = &allocator{}
		a.Bound = r.quotaBound()
		var h *handover
		a.OpensAt, a.CautiousFrom, h = r.quotaOpensAt(ask.Organisation)
		if h != nil && now < a.OpensAt {
			h.terms = ask.Request.Terms
			r.quotas.handovers[ask.Organisation] = h
			r.quotas.sweepAt = now
		}
		r.armSweep(now)
		r.allocators[key] = a
	}
	a.Members = r.knownInstances()
	return a
}

// knownRateLimit returns what this instance itself knows about the rate limit.
func (r *Router) knownRateLimit(now grclock.Millis, ask *RateLimitAsk) (grratelimit.Statement, grclock.Millis) {
	index, ok := r.dispatcherIndexes[ask.Service]
	if !ok {
		return grratelimit.Statement{}, 0
	}
	return r.dispatchers[index].RateLimitOf(now, ask.Searcher, ask.Incarnation)
}

func (r *Router) allocatorFor(now grclock.Millis, ask *RateLimitAsk) *allocator {
	key := allocatorKey{id: ask.Searcher, run: ask.Incarnation}
	a := r.allocators[key]
	if a == nil {
		r.removeIdleAllocators(now)
		a = &allocator{service: ask.Service, domain: ask.Domain}
		a.OpensAt = r.membersChangedAt + grratelimit.HandoverTime
		r.allocators[key] = a
	}
	return a
}

func (r *Router) removeIdleAllocators(now grclock.Millis) {
	for key, a := range r.allocators {
		if a.Idle(now) > allocatorIdleTime {
			delete(r.allocators, key)
		}
	}
}

// reachableShare returns the fraction of the members that this instance can reach, itself
// included. The others may form a partition of their own that allocates the same limits.
func (r *Router) reachableShare() float64 {
	reachable := len(r.peers) + 1
	members := r.knownInstances()
	if r.membership.Isolated {
		reachable = 1
	}
	return float64(reachable) / float64(members)
}

// sendRateLimitAsks sends the pending requests for units. Those that this instance answers
// itself are granted immediately.
func (r *Router) sendRateLimitAsks(now grclock.Millis, out *Output) {
	for len(r.rateLimitAsks) > 0 {
		ask := r.rateLimitAsks[0]
		r.rateLimitAsks = r.rateLimitAsks[1:]
		if ask.Organisation != "" {
			r.sendQuotaAsk(now, ask, out)
			continue
		}
		name := r.serviceNames[ask.Service]
		to := r.allocatorOf(name, ask.Searcher, ask.Domain)
		if to != r.Self {
			out.addRateLimitAsk(to, ask)
			continue
		}
		own := []RateLimitAsk{{Service: name, Searcher: ask.Searcher, Domain: ask.Domain, Incarnation: ask.Incarnation, Cold: ask.Cold, Request: ask.Request}}
		grant := r.GrantRateLimits(now, r.Self, own)[0]
		r.HandleRateLimitGrant(now, ask.Service, &grdispatch.RateLimitGrant{
			Searcher: ask.Searcher, Incarnation: ask.Incarnation, AskedAt: ask.AskedAt, Cold: ask.Cold, Grant: grant,
		}, out)
	}
}

// sendQuotaAsk sends a request for units of a quota, or answers it itself.
func (r *Router) sendQuotaAsk(now grclock.Millis, ask grdispatch.RateLimitAsk, out *Output) {
	if to := r.quotaAllocator(ask.Organisation); to != r.Self {
		out.addRateLimitAsk(to, ask)
		return
	}
	grant := r.GrantRateLimits(now, r.Self, []RateLimitAsk{{Organisation: ask.Organisation, Request: ask.Request}})[0]
	if a := r.quotas.accounts[ask.Organisation]; a != nil {
		a.Granted(now, ask.AskedAt, grant)
	}
}

func (o *Output) addRateLimitAsk(to grident.InstanceID, ask grdispatch.RateLimitAsk) {
	for i := range o.RateLimitRequests {
		if request := &o.RateLimitRequests[i]; request.To == to {
			request.Asks = append(request.Asks, ask)
			return
		}
	}
	o.RateLimitRequests = append(o.RateLimitRequests, RateLimitRequest{To: to, Asks: []grdispatch.RateLimitAsk{ask}})
}

// HandleRateLimitGrant processes the answer to a request for units of a searcher of the
// service.
func (r *Router) HandleRateLimitGrant(now grclock.Millis, dispatcher int32, g *grdispatch.RateLimitGrant, out *Output) {
	r.dispatchers[dispatcher].HandleRateLimitGrant(now, g, &out.dispatcher)
	r.collect(now, dispatcher, out)
}

// LearnRateLimit records a rate limit that a searcher stated to another instance.
func (r *Router) LearnRateLimit(now grclock.Millis, name grident.Service, id grident.SearcherID, run grident.Incarnation, s grratelimit.Statement, out *Output) {
	dispatcher, ok := r.dispatcherIndexes[name]
	if !ok {
		return
	}
	r.dispatchers[dispatcher].LearnRateLimit(now, id, run, s, &out.dispatcher)
	r.collect(now, dispatcher, out)
}

// rateLimited reports whether the rate limits of the searchers permit no answer within the
// latency objective or, if that has passed already, so late that hardly any time is left.
func (r *Router) rateLimited(now grclock.Millis, q *query) bool {
	if r.readyShards(now, q) >= q.route.requiredParts() {
		return false
	}
	wait := r.requiredWait(q, func(d *grdispatch.Dispatcher) grclock.Millis { return d.RateLimitWait(now) })
	return float64(wait) > gradmission.MaxWaitRatio*float64(q.usefulUntil(now)-now)
}

// usefulUntil returns the time until which an answer is of full use or, if that has passed, of any.
func (q *query) usefulUntil(now grclock.Millis) grclock.Millis {
	if q.route.partialDeadline > now {
		return q.route.partialDeadline
	}
	return q.deadline
}

// readyShards returns the number of shards of the request that no rate limit delays.
func (r *Router) readyShards(now grclock.Millis, q *query) int {
	n := 0
	for _, dispatcher := range q.dispatchers {
		if r.dispatchers[dispatcher].RateLimitWait(now) == 0 {
			n++
		}
	}
	return n
}

// heldBack reports whether a rate limit kept some shard of the request from a searcher.
func (rs *routeState) heldBack() bool {
	return slices.ContainsFunc(rs.failures, func(f shardFailure) bool { return f.history.RateLimited })
}
