package grstat

import "geraniumrouter/state/grclock"

// TokenBucket limits extra work, such as hedges and retries, to a share of the ordinary
// work and a rate over time, so that extra work cannot amplify an overload. The zero
// value permits nothing.
type TokenBucket struct {
	Ratio       float64 // units credited per unit of ordinary work
	Capacity    float64 // the most units that can accumulate
	RefillPerMS float64 // units credited per millisecond
	tokens      float64
	refilledAt  grclock.Millis // time up to which RefillPerMS was credited; 0: not started
}

// Fill sets the balance to the capacity.
func (b *TokenBucket) Fill() { b.tokens = b.Capacity }

// Reconfigure changes the ratio, capacity and refill rate from now on. The balance is
// kept, up to the new capacity.
func (b *TokenBucket) Reconfigure(now grclock.Millis, config TokenBucket) {
	b.refill(now)
	b.Ratio, b.Capacity, b.RefillPerMS = config.Ratio, config.Capacity, config.RefillPerMS
	b.tokens = min(b.tokens, b.Capacity)
}

// Credit credits the budget for the given units of ordinary work, which may be a
// fraction.
func (b *TokenBucket) Credit(units float64) { b.tokens = min(b.tokens+units*b.Ratio, b.Capacity) }

// Allow takes one unit of extra work. It reports whether the budget permits it.
func (b *TokenBucket) Allow(now grclock.Millis) bool { return b.AllowAbove(now, 0) }

// AllowAbove is like Allow, but only if at least reserve units remain afterwards.
func (b *TokenBucket) AllowAbove(now grclock.Millis, reserve float64) bool {
	b.refill(now)
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a unit that was taken and not used.
func (b *TokenBucket) Refund() { b.tokens++ }

// refill credits the units for the elapsed time. The first call only starts the clock,
// so that restarts add no units.
func (b *TokenBucket) refill(now grclock.Millis) {
	if b.refilledAt > 0 && now > b.refilledAt {
		b.tokens = min(b.tokens+b.RefillPerMS*float64(now-b.refilledAt), max(b.Capacity, b.tokens))
	}
	b.refilledAt = max(b.refilledAt, now)
}

// GlobalLimit limits extra work over all instances: within any window, to Ratio times the
// ordinary work plus Count units.
type GlobalLimit struct {
	Ratio  float64
	Count  float64
	Window grclock.Millis
}

// Fractions of a global limit that the running instances use. The rest covers the units
// used by instances that ended recently.
const (
	ratioUsed     = 0.95
	countUsed     = 0.8
	burstFraction = 0.6 // of the count, available as a burst; the rest is credited over time
)

// InstanceBudget returns the budget of an instance that gets the given share of Count.
func (b GlobalLimit) InstanceBudget(share float64) TokenBucket {
	count := countUsed * b.Count * share
	budget := TokenBucket{Ratio: ratioUsed * b.Ratio, Capacity: burstFraction * count}
	if b.Window > 0 {
		budget.RefillPerMS = (1 - burstFraction) * count / float64(b.Window)
	}
	return budget
}

// RecentMax is the maximum of the recent values. The zero value has seen none.
type RecentMax struct {
	value int
	at    grclock.Millis
}

// Update adds a value and returns the maximum, which is replaced by the current value
// after the window.
func (m *RecentMax) Update(now grclock.Millis, n int, window grclock.Millis) int {
	if n >= m.value || now-m.at >= window {
		m.value, m.at = n, now
	}
	return m.value
}
