package grstat

import "geraniumrouter/state/grclock"

// windowSize is the number of recent samples kept. A value is recurring if an eighth
// of them, and at least four, are equal to it.
const (
	windowSize      = 64
	minCountDivisor = 8
	minCount        = 4
)

// RecurringMax finds the largest recurring value among recent durations, such as the typical
// remaining time of the callers of a route. Until its own samples show one, it returns
// a fallback that another instance published. The zero value has no samples.
type RecurringMax struct {
	samples  [windowSize]grclock.Millis
	added    int
	fallback grclock.Millis
}

// SetFallback sets the fallback; 0 is ignored.
func (u *RecurringMax) SetFallback(fallback grclock.Millis) {
	if fallback > 0 {
		u.fallback = fallback
	}
}

// Add adds a sample.
func (u *RecurringMax) Add(sample grclock.Millis) {
	u.samples[u.added%windowSize] = sample
	u.added++
}

// Value returns the largest value that recurs among the recent samples, or else the
// fallback, or 0.
func (u *RecurringMax) Value() grclock.Millis {
	if observed := u.LocalValue(); observed > 0 {
		return observed
	}
	return u.fallback
}

// LocalValue is like Greatest, but ignores the fallback.
func (u *RecurringMax) LocalValue() grclock.Millis {
	filled := min(u.added, windowSize)
	needed := max(minCount, filled/minCountDivisor)
	greatest := grclock.Millis(0)
	for i, span := range u.samples[:filled] {
		if span > greatest && u.countEqual(i) >= needed {
			greatest = span
		}
	}
	return greatest
}

func (u *RecurringMax) countEqual(i int) int {
	n := 0
	for _, other := range u.samples[:min(u.added, windowSize)] {
		if other == u.samples[i] {
			n++
		}
	}
	return n
}
