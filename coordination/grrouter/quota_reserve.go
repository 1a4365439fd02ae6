package grrouter

import (
	"cmp"
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// While no allocator grants units of an organisation's quota, requests use the organisation's
// reserve. A few instances hold it, the first by rendezvous hashing; the others request its units
// from them.

// reserveRetry is the time from the last holder's answer until the holders are asked again. It
// bounds the messages for organisations that use more than the reserve and own parts.
const reserveRetry = 100 * grclock.Millisecond

// reserveSearch is the state of an account's requests to the holders of the reserve.
type reserveSearch struct {
	tried   int            // holders that had no unit, in the order in which they are asked
	askedAt grclock.Millis // of the request without an answer; 0: none
	againAt grclock.Millis // when the first holder may be asked again
}

// answered processes a holder's answer.
func (s *reserveSearch) answered(now grclock.Millis, a *quotaAccount, g *grdispatch.RateLimitGrant) {
	if g.AskedAt == s.askedAt {
		s.askedAt = 0
		if g.Failed || g.Grant.Units == 0 {
			s.tried++
		}
	}
	if !g.Failed {
		a.GrantedReserve(now, g.AskedAt, g.Grant)
	}
}

// askReserve requests units of the reserve for waiting requests, from one holder after the other.
// It reports whether this instance itself had some.
func (r *Router) askReserve(now grclock.Millis, a *quotaAccount, out *Output) bool {
	s := &a.reserve
	if len(a.waiting) == 0 || now < s.againAt || !a.WantsReserve(now) {
		return false
	}
	if s.askedAt > 0 && now < s.askedAt+grratelimit.OwnPartDelay {
		return false
	}
	if s.askedAt > 0 {
		s.askedAt, s.tried = 0, s.tried+1
	}
	request := a.ReserveRequest(now, r.place(now), len(a.waiting))
	holders := r.reachableHolders(a.name, request.Ceded > 0)
	for ; s.tried < len(holders); s.tried++ {
		if to := holders[s.tried]; to != r.Self {
			s.askedAt = now
			out.addRateLimitAsk(to, grdispatch.RateLimitAsk{Organisation: a.name, AskedAt: now, Request: request})
			return false
		}
		g := r.grantReserve(now, r.Self, &RateLimitAsk{Organisation: a.name, Request: request})
		request.Ceded = 0
		if a.GrantedReserve(now, now, g); g.Units > 0 {
			return true
		}
	}
	s.tried, s.againAt = 0, now+reserveRetry
	return false
}

// reachableHolders returns the holders of an organisation's reserve in the order in which this
// instance asks them, the allocator last: it is the one that is missing. Own parts are ceded to the
// same holder by all instances. Otherwise instances begin with different ones: a request has
// hardly time to ask two after it has waited for the allocator.
func (r *Router) reachableHolders(name grident.Organisation, cedes bool) []grident.InstanceID {
	holders := r.reserveHolders(name)
	others := holders[1:]
	if n := len(others); n > 0 && !cedes {
		first := int(ownerRank(r.Self, grident.Hash(grident.SearcherID(name))) >> 1 % uint64(n))
		others = slices.Concat(others[first:], others[:first])
	}
	return slices.DeleteFunc(slices.Concat(others, holders[:1]), func(id grident.InstanceID) bool {
		return id != r.Self && r.peer(id) == nil
	})
}

// reserveHolders returns the holders of an organisation's reserve: the first by rendezvous hashing
// of all instances that are running or ended recently. With every member that is older than a
// window known to all, no more instances than these use units in one window.
func (r *Router) reserveHolders(name grident.Organisation) []grident.InstanceID {
	seed := grident.Hash(grident.SearcherID(name))
	var first []grident.InstanceID
	consider := func(id grident.InstanceID) {
		i, _ := slices.BinarySearchFunc(first, id, func(a, b grident.InstanceID) int {
			return cmp.Compare(ownerRank(b, seed), ownerRank(a, seed))
		})
		if i < grratelimit.ReserveHolders {
			first = slices.Insert(first, i, id)
			first = first[:min(len(first), grratelimit.ReserveHolders)]
		}
	}
	consider(r.Self)
	for id := range r.quotas.recent {
		consider(id)
	}
	return first
}

// grantReserve answers a request for units of a reserve. An instance that allocates grants units
// as usual: the requester may not know yet that it does.
func (r *Router) grantReserve(now grclock.Millis, from grident.InstanceID, ask *RateLimitAsk) grratelimit.Grant {
	if r.quotaAllocator(ask.Organisation) == r.Self {
		if a := r.quotaAllocatorFor(now, ask); now >= a.OpensAt {
			return a.Grant(now, from, ask.Request, r.reachableShare())
		}
	}
	holds := now >= r.quotas.reserveFrom && slices.Contains(r.reserveHolders(ask.Organisation), r.Self)
	reserve := r.quotas.reserves[ask.Organisation]
	if reserve == nil {
		reserve = &grratelimit.Reserve{}
		r.quotas.reserves[ask.Organisation] = reserve
	}
	r.armSweep(now)
	bound := r.quotaBound()
	return grratelimit.Grant{Units: reserve.Take(now, &bound, &ask.Request, holds), Opening: true}
}

// removeUnusedReserves forgets reserves whose units can all be handed out again.
func (r *Router) removeUnusedReserves(now grclock.Millis) {
	bound := r.quotaBound()
	for name, reserve := range r.quotas.reserves {
		if reserve.Unused(now, &bound) {
			delete(r.quotas.reserves, name)
		}
	}
}

// recordMembers keeps the members that ended, for as long as they count as holders of reserves.
func (r *Router) recordMembers(now grclock.Millis) {
	running := make(map[grident.InstanceID]bool, len(r.peers))
	for i := range r.peers {
		running[r.peers[i].ID] = true
	}
	for _, id := range r.membership.Suspects {
		running[id] = true
	}
	bound := r.quotaBound()
	for id, endedAt := range r.quotas.recent {
		switch {
		case running[id]:
		case endedAt == 0:
			r.quotas.recent[id] = now
		case now-endedAt > bound.ReserveDelay():
			delete(r.quotas.recent, id)
		}
	}
	for id := range running {
		r.quotas.recent[id] = 0
	}
}
