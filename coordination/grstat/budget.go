package grstat

// Budget pays for extra work out of a share of the ordinary work, so that
// extra work stops when it would multiply. The zero value pays for nothing.
type Budget struct {
	Share   float64 // extra units earned by each ordinary unit
	Reserve float64 // most units that can be saved up
	tokens  float64
}

// Fill saves up as much as the budget can hold.
func (b *Budget) Fill() { b.tokens = b.Reserve }

// Earn notes one ordinary unit of work, or a part of one.
func (b *Budget) Earn(part float64) { b.tokens = min(b.tokens+part*b.Share, b.Reserve) }

// Spend takes one extra unit, and reports false when there is none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund gives back a unit that was spent and not used.
func (b *Budget) Refund() { b.tokens++ }

// Mean is a decaying mean. The zero value has seen no sample.
type Mean struct {
	value float64
	seen  bool
}

// Add mixes a sample in with the given weight in (0, 1].
func (m *Mean) Add(sample, weight float64) {
	if !m.seen {
		m.value, m.seen = sample, true
		return
	}
	m.value += weight * (sample - m.value)
}

// Raise lifts the mean to at least the given bound.
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
