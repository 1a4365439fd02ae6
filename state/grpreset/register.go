package grpreset

import "geraniumrouter/state/grident"

// ActiveRegister holds the active preset of one instance. The zero value holds none. Its
// generation never decreases, whatever the order in which switches arrive from the
// platform and from peers.
type ActiveRegister struct {
	active ActivePreset
	set    bool
}

// SetIfNewer stores the switch if its generation is higher than the active one, and reports
// whether it did.
func (r *ActiveRegister) SetIfNewer(a ActivePreset) bool {
	if r.set && a.Generation <= r.active.Generation {
		return false
	}
	r.active, r.set = a, true
	return true
}

// Active returns the active switch; ok is false while there is none.
func (r *ActiveRegister) Active() (active *ActivePreset, ok bool) { return &r.active, r.set }

// Generation returns the active generation, or 0 while there is none.
func (r *ActiveRegister) Generation() grident.Generation {
	if !r.set {
		return 0
	}
	return r.active.Generation
}
