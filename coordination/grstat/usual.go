package grstat

import "geraniumrouter/state/grclock"

// windowSize is the number of recent samples kept. A value is recurring if an eighth
// of them, and at least four, are equal to it.
const (
	windowSize      = 64
	minCountDivisor = 8
	minCount        = 4
)

// Usual finds the largest recurring value among recent durations, such as the typical
// remaining time of the callers of a route. Until its own samples show one, it returns
// a fallback that another instance published. The zero value has no samples.
type Usual struct {
	samples  [windowSize]grclock.Millis
	added    int
	fallback grclock.Millis
}

// Hear sets the fallback; 0 is ignored.
func (u *Usual) Hear(fallback grclock.Millis) {
	if fallback > 0 {
		u.fallback = fallback
	}
}

// Add adds a sample.
func (u *Usual) Add(sample grclock.Millis) {
	u.samples[u.added%windowSize] = sample
	u.added++
}

// Greatest returns the largest value that recurs among the recent samples, or else the
// fallback, or 0.
func (u *Usual) Greatest() grclock.Millis {
	if observed := u.Own(); observed > 0 {
		return observed
	}
	return u.fallback
}

// Own is like Greatest, but ignores the fallback.
func (u *Usual) Own() grclock.Millis {
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

func (u *Usual) countEqual(i int) int {
	n := 0
	for _, other := range u.samples[:min(u.added, windowSize)] {
		if other == u.samples[i] {
			n++
		}
	}
	return n
}
