package grleaf

import "geraniumrouter/state/grclock"

// Earning says what a sub-request brings into the budget for extra ones. One
// that another instance was asked for brings a part at either.
type Earning uint8

// The earnings.
const (
	EarnsWhole Earning = iota
	EarnsPart          // sent on behalf of another instance
	EarnsNone          // another instance may have sent it already
)

// shareOfAsker is the part of the earnings that stays with the instance that
// asked another for a sub-request, for the case that it must send it itself.
const shareOfAsker = 0.25

// Delegated notes a sub-request that another instance was asked for.
func (l *Leaf) Delegated() { l.earn(shareOfAsker) }

// SpendExtra pays for a sub-request that another instance may have sent already,
// and reports false when the budget does not allow it.
func (l *Leaf) SpendExtra(now grclock.Millis) bool {
	if l.Retries.Allow(now) {
		return true
	}
	l.Counters.RetriesDenied++
	return false
}

// earn brings a sub-request, or a part of one, into the budgets.
func (l *Leaf) earn(part float64) {
	l.Hedges.Credit(part)
	if l.Retries != l.Hedges {
		l.Retries.Credit(part)
	}
}
