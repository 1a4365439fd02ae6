package grrouter

import "geraniumrouter/state/grroutes"

// targetPicker distributes the requests of a route over its targets in proportion to
// their weights and evenly interleaved (smooth weighted round robin).
type targetPicker struct{ credit []float64 }

// next returns the index of the target for the next request.
func (p *targetPicker) next(targets []grroutes.Target) int {
	if len(targets) < 2 {
		return 0
	}
	if len(p.credit) != len(targets) {
		p.credit = make([]float64, len(targets))
	}
	total, best := 0.0, 0
	for i := range targets {
		total += targets[i].Weight
		p.credit[i] += targets[i].Weight
		if p.credit[i] > p.credit[best] {
			best = i
		}
	}
	p.credit[best] -= total
	return best
}
