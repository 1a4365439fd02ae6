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

// SetReserve changes how many extra sub-requests to each service can be saved
// up.
func (r *Router) SetReserve(reserve float64) {
	r.ServiceBudget.Reserve = reserve
	for _, b := range r.budgets {
		b.Reserve = reserve
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
