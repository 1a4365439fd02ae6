package grstat

// Mean is an exponentially weighted moving average. The zero value has no sample.
type Mean struct {
	value float64
	seen  bool
}

// Add adds a sample with the given weight in (0, 1].
func (m *Mean) Add(sample, weight float64) {
	if !m.seen {
		m.value, m.seen = sample, true
		return
	}
	m.value += weight * (sample - m.value)
}

// Raise raises the mean to at least the given bound.
func (m *Mean) Raise(bound float64) {
	if !m.seen || m.value < bound {
		m.value, m.seen = bound, true
	}
}

// Value returns the mean, or the fallback before the first sample.
func (m *Mean) Value(fallback float64) float64 {
	if !m.seen {
		return fallback
	}
	return m.value
}
