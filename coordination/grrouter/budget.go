package grrouter

import (
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// reserve is the number of extra sub-requests that a budget can save up.
const reserve = 30

func (r *Router) setBudgets() {
	r.hedges.Share, r.hedges.Reserve = r.Policy.HedgeShare, reserve
	r.retries.Share, r.retries.Reserve = r.Policy.RetryShare, reserve
}

// budgetMemory is how long an instance that was lost still counts among those that
// share the bound on extra work: it may only be out of reach from here.
const budgetMemory = 30 * grclock.Second

// ownersPart is the part of the number of a bound that the owners of a shard have:
// they send nearly all that is sent to its searchers.
const ownersPart = 0.8

// shareBudgets divides the bound on extra sub-requests among the instances that
// were known of late.
func (r *Router) shareBudgets(now grclock.Millis) {
	if r.Extra.Share == 0 {
		return
	}
	members := r.membersPeak.Note(now, len(r.peers)+1, budgetMemory)
	owners := r.ownersPeak.Note(now, r.countOwners(), budgetMemory)
	r.memberShare, r.ownerShare = 1/float64(members), 1/float64(owners)
	for i, b := range r.budgets {
		b.SetTerms(now, r.budgetOf(r.names[i]))
	}
}

// countOwners returns the number of owners of a block over all domains.
func (r *Router) countOwners() int {
	in := map[grid.FailureDomain]int{r.Domain: 1}
	for i := range r.peers {
		in[r.peers[i].Domain]++
	}
	n := 0
	for _, members := range in {
		n += min(members, OwnersEach)
	}
	return n
}

// budgetOf returns what pays for the extra sub-requests to a service.
func (r *Router) budgetOf(name grid.Service) grstat.Budget {
	block, shard := r.indexes[name]
	switch {
	case !shard:
		return r.Extra.Part(r.memberShare)
	case r.owns(block):
		return r.Extra.Part((1-ownersPart)*r.memberShare + ownersPart*r.ownerShare)
	}
	return r.Extra.Part((1 - ownersPart) * r.memberShare)
}

// budgetsFor returns what pays for the extra sub-requests of a new leaf.
func (r *Router) budgetsFor(name grid.Service) (hedges, retries *grstat.Budget) {
	if r.Extra.Share == 0 {
		return &r.hedges, &r.retries
	}
	own := r.budgetOf(name)
	r.budgets = append(r.budgets, &own)
	return &own, &own
}
