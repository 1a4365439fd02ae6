package grpreset

import "geraniumrouter/state/grid"

// Register holds the preset in force on one instance. The zero value holds
// none. Whatever order reads and messages come in, its generation never falls.
type Register struct {
	active Active
	held   bool
}

// Adopt takes the switch if its generation is higher than the one in force,
// and reports whether it did.
func (r *Register) Adopt(a Active) bool {
	if r.held && a.Generation <= r.active.Generation {
		return false
	}
	r.active, r.held = a, true
	return true
}

// Active returns the switch in force; ok is false while there is none.
func (r *Register) Active() (active *Active, ok bool) { return &r.active, r.held }

// Generation returns the generation in force, or 0.
func (r *Register) Generation() grid.Generation {
	if !r.held {
		return 0
	}
	return r.active.Generation
}
