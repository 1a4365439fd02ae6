package grrouter

import (
	"geraniumrouter/coordination/grstat"
)

// reserve is the number of extra sub-requests that a budget can save up.
const reserve = 30

func (r *Router) setBudgets() {
	r.hedges.Share, r.hedges.Reserve = r.Policy.HedgeShare, reserve
	r.retries.Share, r.retries.Reserve = r.Policy.RetryShare, reserve
}

// SetBudget changes the terms of what pays for the extra sub-requests of each
// service.
func (r *Router) SetBudget(terms grstat.Budget) {
	r.ServiceBudget.SetTerms(terms)
	for _, b := range r.budgets {
		b.SetTerms(terms)
	}
}

// budgetsFor returns what pays for the extra sub-requests of a new leaf.
func (r *Router) budgetsFor() (hedges, retries *grstat.Budget) {
	if r.ServiceBudget.Share == 0 {
		return &r.hedges, &r.retries
	}
	own := r.ServiceBudget
	r.budgets = append(r.budgets, &own)
	return &own, &own
}
