package grstat

import "geraniumrouter/state/grclock"

// windowSize is the number of recent samples kept. A value is recurring if an eighth
// of them, and at least four, are equal to it.
const (
	windowSize      = 64
	minCountDivisor = 8
	minCount        = 4
)

// RecurringMax finds the largest recurring value among recent durations, such as the
// typical remaining time of the callers of a route. Until its own samples show one, it
// returns a fallback that another instance published. The zero value has no samples.
type RecurringMax struct {
	samples  [windowSize]grclock.Millis
	added    int
	fallback grclock.Millis
}

// SetFallback sets the fallback; 0 is ignored.
func (m *RecurringMax) SetFallback(fallback grclock.Millis) {
	if fallback > 0 {
		m.fallback = fallback
	}
}

// Add adds a sample.
func (m *RecurringMax) Add(sample grclock.Millis) {
	m.samples[m.added%windowSize] = sample
	m.added++
}

// Value returns the largest value that recurs among the recent samples, or else the
// fallback, or 0.
func (m *RecurringMax) Value() grclock.Millis {
	if observed := m.LocalValue(); observed > 0 {
		return observed
	}
	return m.fallback
}

// LocalValue is like Value, but ignores the fallback.
func (m *RecurringMax) LocalValue() grclock.Millis {
	filled := min(m.added, windowSize)
	needed := max(minCount, filled/minCountDivisor)
	greatest := grclock.Millis(0)
	for i, span := range m.samples[:filled] {
		if span > greatest && m.countEqual(i) >= needed {
			greatest = span
		}
	}
	return greatest
}

func (m *RecurringMax) countEqual(i int) int {
	n := 0
	for _, other := range m.samples[:min(m.added, windowSize)] {
		if other == m.samples[i] {
			n++
		}
	}
	return n
}
