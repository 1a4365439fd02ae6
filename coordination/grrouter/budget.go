package grrouter

import (
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// budgetReserve is the largest number of extra sub-requests (hedges and retries) that
// a budget can accumulate.
const budgetReserve = 30

func (r *Router) setBudgets() {
	r.hedges.Ratio, r.hedges.Capacity = r.Policy.HedgeRatio, budgetReserve
	r.retries.Ratio, r.retries.Capacity = r.Policy.RetryRatio, budgetReserve
}

// lostMemberMemory is how long an instance that is no longer a member still counts in
// the division of the limit on extra sub-requests: it may be running behind a network
// partition and still sending.
const lostMemberMemory = 30 * grclock.Second

// ownersShare is the fraction of a shard's limit that goes to its owners, which send
// nearly all requests to its searchers.
const ownersShare = 0.8

// divideBudgets divides the limit on extra sub-requests among the instances that were
// recently members.
func (r *Router) divideBudgets(now grclock.Millis) {
	if r.ExtraLimit.Ratio == 0 {
		return
	}
	members := r.recentMembers.Update(now, len(r.peers)+1, lostMemberMemory)
	owners := r.recentOwners.Update(now, r.countOwners(), lostMemberMemory)
	r.memberShare, r.ownerShare = 1/float64(members), 1/float64(owners)
	for i, b := range r.budgets {
		b.Reconfigure(now, r.budgetOf(r.serviceNames[i]))
	}
}

// countOwners returns the number of owners of a block over all failure domains.
func (r *Router) countOwners() int {
	membersIn := map[grident.FailureDomain]int{r.Domain: 1}
	for i := range r.peers {
		membersIn[r.peers[i].Domain]++
	}
	n := 0
	for _, members := range membersIn {
		n += min(members, OwnersPerDomain)
	}
	return n
}

// budgetOf returns this instance's budget for extra sub-requests to a service.
func (r *Router) budgetOf(name grident.Service) grstat.TokenBucket {
	block, shard := r.shardBlocks[name]
	switch {
	case !shard:
		return r.ExtraLimit.InstanceBudget(r.memberShare)
	case r.owns(block):
		return r.ExtraLimit.InstanceBudget((1-ownersShare)*r.memberShare + ownersShare*r.ownerShare)
	}
	return r.ExtraLimit.InstanceBudget((1 - ownersShare) * r.memberShare)
}

// budgetsFor returns the budgets for hedges and retries of a new dispatcher: those of
// the instance, or one of its own for the service if ExtraLimit is set.
func (r *Router) budgetsFor(name grident.Service) (hedges, retries *grstat.TokenBucket) {
	if r.ExtraLimit.Ratio == 0 {
		return &r.hedges, &r.retries
	}
	budget := r.budgetOf(name)
	r.budgets = append(r.budgets, &budget)
	return &budget, &budget
}
