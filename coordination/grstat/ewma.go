package grstat

// EWMA is an exponentially weighted moving average. The zero value has no sample.
type EWMA struct {
	value float64
	seen  bool
}

// Add adds a sample with the given weight in (0, 1].
func (e *EWMA) Add(sample, weight float64) {
	if !e.seen {
		e.value, e.seen = sample, true
		return
	}
	e.value += weight * (sample - e.value)
}

// Raise raises the average to at least the given bound.
func (e *EWMA) Raise(bound float64) {
	if !e.seen || e.value < bound {
		e.value, e.seen = bound, true
	}
}

// Value returns the average, or the fallback before the first sample.
func (e *EWMA) Value(fallback float64) float64 {
	if !e.seen {
		return fallback
	}
	return e.value
}
