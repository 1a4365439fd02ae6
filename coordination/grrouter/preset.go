package grrouter

import (
	"cmp"
	"slices"

	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

// SetPreset puts a switch in force if its generation is higher than the one in
// force, and reports whether it did. Queries that run keep their terms.
func (r *Router) SetPreset(a grpreset.Active) bool {
	if !r.register.Adopt(a) {
		return false
	}
	r.gate.MaxInFlight = a.Preset.MaxQueries
	r.Policy.HedgeShare = a.Preset.HedgeBudget
	r.Policy.RetryShare = a.Preset.RetryBudget
	r.Policy.MaxQueue = a.Preset.MaxQueue
	r.setBudgets()
	for _, leaf := range r.leaves {
		leaf.SetPolicy(r.Policy)
	}
	return true
}

// Preset returns the switch in force.
func (r *Router) Preset() (*grpreset.Active, bool) { return r.register.Active() }

// SetMap takes a shard map if it is newer than the one in use, and reports
// whether it did. Queries that run keep the one they pinned.
func (r *Router) SetMap(m *grsnapshot.Map) bool {
	c := r.collections[m.Collection]
	if c == nil {
		c = &collection{}
		r.collections[m.Collection] = c
	}
	if c.current != nil && !m.Snapshot.After(c.current.Snapshot) {
		return false
	}
	leaves := make([]int32, len(m.Shards))
	for i := range m.Shards {
		leaves[i] = r.leafFor(m.Shards[i].Service)
	}
	c.current, c.leaves = m, leaves
	return true
}

// Map returns the shard map in use for the collection, or nil.
func (r *Router) Map(name grid.Collection) *grsnapshot.Map {
	if c := r.collections[name]; c != nil {
		return c.current
	}
	return nil
}

// Maps returns the shard maps in use, ordered by collection.
func (r *Router) Maps() []*grsnapshot.Map {
	var list []*grsnapshot.Map
	for _, c := range r.collections {
		list = append(list, c.current)
	}
	slices.SortFunc(list, func(a, b *grsnapshot.Map) int { return cmp.Compare(a.Collection, b.Collection) })
	return list
}
