package grrouter

import (
	"maps"
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// The instance that allocates the rate limit of a searcher also grants the units that attempts at
// it need while it is cold.

// coldState is the state of the units for cold searchers on one instance.
type coldState struct {
	terms map[grident.Service]grdispatch.ColdTerms // of the newest table; only of services that limit cold searchers
	// share is the fraction of the units that this instance may grant. It rises only after
	// the members have been reachable for a while, since another may still grant until then.
	share           float64
	reached         float64                 // fraction of the members that can be reached
	reachedSince    grclock.Millis          // when reached changed
	blocks          map[grident.Service]int // of shards, as the allocators were chosen
	blocksChangedAt grclock.Millis
	sweepAt         grclock.Millis // 0: nothing to check
}

// coldSweepInterval is the time between the checks of the members that can be reached, and
// whether this process was suspended.
const coldSweepInterval = 100 * grclock.Millisecond

// setColdTerms sets what cold searchers tolerate according to the table.
func (r *Router) setColdTerms(now grclock.Millis, t *grroutes.Table, out *Output) {
	bound := r.coldBound()
	if !maps.Equal(r.cold.blocks, r.shardBlocks) {
		r.cold.blocks, r.cold.blocksChangedAt = r.shardBlocks, now
	}
	r.cold.terms = make(map[grident.Service]grdispatch.ColdTerms)
	for i := range t.Services {
		if s := &t.Services[i]; s.ColdPerSecond > 0 {
			r.cold.terms[s.Name] = grdispatch.ColdTerms{
				Units: bound.ColdTerms(grratelimit.Rate(s.ColdPerSecond), t.Version), Lease: bound.LeaseTime(), Start: s.ColdStart,
			}
		}
	}
	for i, dispatcher := range r.dispatchers {
		dispatcher.SetColdTerms(now, r.cold.terms[r.serviceNames[i]], &out.dispatcher)
		r.collect(now, int32(i), out)
	}
}

// armColdSweep lets the sweep run while this instance allocates units: it notices a suspension of
// this process.
func (r *Router) armColdSweep(now grclock.Millis) {
	for key := range r.allocators {
		if key.cold && r.cold.sweepAt == 0 {
			r.cold.sweepAt = now + coldSweepInterval
		}
	}
}

// coldBound returns the bound on the requests to a cold searcher.
func (r *Router) coldBound() grratelimit.QuotaBound {
	b := r.ColdBound
	b.Window = grratelimit.ColdWindow
	return b
}

// grantCold answers a request for units of a cold searcher.
func (r *Router) grantCold(now grclock.Millis, from grident.InstanceID, ask *RateLimitAsk) grratelimit.Grant {
	key := allocatorKey{id: ask.Searcher, cold: true}
	bound := r.coldBound()
	a := r.allocators[key]
	if a == nil {
		r.removeIdleAllocators(now)
		a = &allocator{service: ask.Service, domain: ask.Domain}
		a.Bound, a.OpensAt = bound, r.coldOpensAt(ask)
		r.allocators[key] = a
		r.armColdSweep(now)
	}
	a.Members = r.knownInstances()
	share := r.coldShare(now)
	if !bound.HasUnits(ask.Request.Terms.Quota, share) {
		return grratelimit.Grant{Opening: true, NextUnit: bound.ColdHandoverTime()}
	}
	return a.Grant(now, from, ask.Request, share)
}

// coldOpensAt returns the time from which this instance may grant units of a searcher: after the
// time of a change of the allocator, if another has allocated them within it.
func (r *Router) coldOpensAt(ask *RateLimitAsk) grclock.Millis {
	changedAt := max(r.quotas.forgottenUntil, r.cold.blocksChangedAt, r.quotas.pausedAt)
	for i := range r.quotas.pastViews {
		if v := &r.quotas.pastViews[i]; !v.known || r.allocatorByView(v, ask) != r.Self {
			changedAt = max(changedAt, v.until)
		}
	}
	bound := r.coldBound()
	return changedAt + bound.ColdHandoverTime()
}

// allocatorByView returns the instance that allocated the rate limit of a searcher among the
// members of an earlier view.
func (r *Router) allocatorByView(v *memberView, ask *RateLimitAsk) grident.InstanceID {
	members := v.peers
	if v.self {
		members = append(slices.Clone(members), Peer{ID: r.Self, Domain: r.Domain, Capacity: r.Capacity})
	}
	if block, shard := r.shardBlocks[ask.Service]; shard {
		local := slices.DeleteFunc(slices.Clone(members), func(p Peer) bool { return p.Domain != ask.Domain })
		if owners := chooseOwners(local, max(r.ownerBlocks, 1))[block]; len(owners) > 0 {
			return owners[0]
		}
	}
	c := allocatorChoice{seed: r.allocatorSeed(ask.Service, ask.Searcher), domain: ask.Domain}
	for _, p := range members {
		c.consider(p.ID, p.Domain)
	}
	return c.best
}

// coldShare returns the fraction of the units that this instance may grant. It falls at once
// with the members that can be reached, and rises after the time of a change of the allocator.
func (r *Router) coldShare(now grclock.Millis) float64 {
	bound := r.coldBound()
	switch reached := r.reachableShare(); {
	case reached != r.cold.reached:
		r.cold.reached, r.cold.reachedSince = reached, now
		r.cold.share = min(r.cold.share, reached)
	case now-r.cold.reachedSince >= bound.ColdHandoverTime():
		r.cold.share = reached
	}
	return r.cold.share
}

// sweepCold checks the members that can be reached while this instance grants units.
func (r *Router) sweepCold(now grclock.Millis) {
	if r.cold.sweepAt == 0 || now < r.cold.sweepAt {
		return
	}
	r.checkColdPause(now)
	r.coldShare(now)
	r.removeIdleAllocators(now)
	r.cold.sweepAt = 0
	r.armColdSweep(now)
}

// checkColdPause stops granting if this process was suspended: others may have taken over.
func (r *Router) checkColdPause(now grclock.Millis) {
	if r.cold.sweepAt == 0 || now-r.cold.sweepAt < pauseTime {
		return
	}
	r.cold.sweepAt, r.quotas.pausedAt = now, now
	bound := r.coldBound()
	for key, a := range r.allocators {
		if key.cold {
			a.Reopen(now + bound.ColdHandoverTime())
		}
	}
}
