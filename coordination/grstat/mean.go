package grstat

// EWMA is an exponentially weighted moving average. The zero value has no sample.
type EWMA struct {
	value float64
	seen  bool
}

// Add adds a sample with the given weight in (0, 1].
func (m *EWMA) Add(sample, weight float64) {
	if !m.seen {
		m.value, m.seen = sample, true
		return
	}
	m.value += weight * (sample - m.value)
}

// Raise raises the mean to at least the given bound.
func (m *EWMA) Raise(bound float64) {
	if !m.seen || m.value < bound {
		m.value, m.seen = bound, true
	}
}

// Value returns the mean, or the fallback before the first sample.
func (m *EWMA) Value(fallback float64) float64 {
	if !m.seen {
		return fallback
	}
	return m.value
}
