package grdispatch

import "geraniumrouter/state/grclock"

// BudgetCredit is the amount that a sub-request credits to the budgets for hedges and
// retries. For a sub-request that is delegated to an owner, the requesting instance
// and the owner each credit a fraction.
type BudgetCredit uint8

// Amounts of credit.
const (
	CreditFull    BudgetCredit = iota
	CreditPartial              // sent on behalf of another instance
	CreditNone                 // another instance may have sent it already
)

// requesterShare is the fraction of the credit that the requesting instance keeps for
// a delegated sub-request, since it may have to send the sub-request itself.
const requesterShare = 0.25

// CreditDelegated credits the requesting instance's fraction for a sub-request that it
// delegated to an owner.
func (d *Dispatcher) CreditDelegated() { d.credit(requesterShare) }

// AllowDuplicate takes one unit from the retry budget for a sub-request that another
// instance may have sent already. It reports whether the budget permits it.
func (d *Dispatcher) AllowDuplicate(now grclock.Millis) bool {
	if d.RetryBudget.Allow(now) {
		return true
	}
	d.Counters.RetriesDenied++
	return false
}

// credit credits the budgets for the given number of sub-requests, which may be a
// fraction.
func (d *Dispatcher) credit(units float64) {
	d.HedgeBudget.Credit(units)
	if d.RetryBudget != d.HedgeBudget {
		d.RetryBudget.Credit(units)
	}
}
