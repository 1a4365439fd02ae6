package grrouter

import "geraniumrouter/state/grtable"

// split deals the requests of a route to its targets in the proportions of
// their weights, each at even distances (smooth weighted round robin).
type split struct{ credit []float64 }

// next returns the index of the target that is due.
func (s *split) next(targets []grtable.Target) int {
	if len(targets) < 2 {
		return 0
	}
	if len(s.credit) != len(targets) {
		s.credit = make([]float64, len(targets))
	}
	total, best := 0.0, 0
	for i := range targets {
		total += targets[i].Weight
		s.credit[i] += targets[i].Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return best
}
