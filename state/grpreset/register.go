package grpreset

import "geraniumrouter/state/grid"

// Register holds the active preset of one instance. The zero value holds none. Its
// generation never decreases, whatever the order in which switches arrive from the
// platform and from peers.
type Register struct {
	active Active
	set    bool
}

// Adopt stores the switch if its generation is higher than the active one, and reports
// whether it did.
func (r *Register) Adopt(a Active) bool {
	if r.set && a.Generation <= r.active.Generation {
		return false
	}
	r.active, r.set = a, true
	return true
}

// Active returns the active switch; ok is false while there is none.
func (r *Register) Active() (active *Active, ok bool) { return &r.active, r.set }

// Generation returns the active generation, or 0 while there is none.
func (r *Register) Generation() grid.Generation {
	if !r.set {
		return 0
	}
	return r.active.Generation
}
