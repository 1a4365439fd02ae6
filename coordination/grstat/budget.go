package grstat

import "geraniumrouter/state/grclock"

// Budget pays for extra work out of a share of the ordinary work and of time, so
// that extra work stops when it would multiply. The zero value pays for nothing.
type Budget struct {
	Share   float64 // extra units earned by each ordinary unit
	Reserve float64 // most units that can be saved up
	PerMS   float64 // extra units that each millisecond brings
	tokens  float64
	seenAt  grclock.Millis // up to which time was counted; 0: not yet
}

// Fill saves up as much as the budget can hold.
func (b *Budget) Fill() { b.tokens = b.Reserve }

// SetTerms changes what the budget earns and holds from now on, and keeps what it
// saved.
func (b *Budget) SetTerms(now grclock.Millis, terms Budget) {
	b.pass(now)
	b.Share, b.Reserve, b.PerMS = terms.Share, terms.Reserve, terms.PerMS
	b.tokens = min(b.tokens, b.Reserve)
}

// Earn notes one ordinary unit of work, or a part of one.
func (b *Budget) Earn(part float64) { b.tokens = min(b.tokens+part*b.Share, b.Reserve) }

// Spend takes one extra unit, and reports false when there is none.
func (b *Budget) Spend(now grclock.Millis) bool { return b.SpendAbove(now, 0) }

// SpendAbove takes one extra unit if as many as kept are left then.
func (b *Budget) SpendAbove(now grclock.Millis, kept float64) bool {
	b.pass(now)
	if b.tokens < 1+kept {
		return false
	}
	b.tokens--
	return true
}

// Refund gives back a unit that was spent and not used.
func (b *Budget) Refund() { b.tokens++ }

// pass lets time bring its part. The first call only starts to count, so that
// restarts bring nothing.
func (b *Budget) pass(now grclock.Millis) {
	if b.seenAt > 0 && now > b.seenAt {
		b.tokens = min(b.tokens+b.PerMS*float64(now-b.seenAt), max(b.Reserve, b.tokens))
	}
	b.seenAt = max(b.seenAt, now)
}

// Bound limits extra work over all instances: in any window it is at most a share
// of the ordinary work and a number beyond that.
type Bound struct {
	Share  float64
	Count  float64
	Window grclock.Millis
}

// Parts of a bound that instances use. The rest of it covers what instances that
// have just ended spent.
const (
	shareUsed = 0.95
	countUsed = 0.8
	savedPart = 0.6 // of the number, that can be saved up; time brings the rest
)

// Part returns the budget of an instance that has a share of the number.
func (b Bound) Part(share float64) Budget {
	count := countUsed * b.Count * share
	budget := Budget{Share: shareUsed * b.Share, Reserve: savedPart * count}
	if b.Window > 0 {
		budget.PerMS = (1 - savedPart) * count / float64(b.Window)
	}
	return budget
}

// Peak is the greatest of the numbers seen of late. The zero value has seen none.
type Peak struct {
	value int
	at    grclock.Millis
}

// Note takes a number and returns the greatest within the memory.
func (p *Peak) Note(now grclock.Millis, n int, memory grclock.Millis) int {
	if n >= p.value || now-p.at >= memory {
		p.value, p.at = n, now
	}
	return p.value
}
