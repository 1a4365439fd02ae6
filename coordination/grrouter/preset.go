package grrouter

import (
	"cmp"
	"slices"

	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

// SetPreset activates a preset if its generation is higher than that of the active
// one, and reports whether it did. Running queries keep the terms they started with.
func (r *Router) SetPreset(a grpreset.Active) bool {
	if !r.presets.Adopt(a) {
		return false
	}
	r.admission.MaxInFlight = a.Preset.MaxQueries
	r.Policy.HedgeShare = a.Preset.HedgeBudget
	r.Policy.RetryShare = a.Preset.RetryBudget
	r.Policy.MaxQueue = a.Preset.MaxQueue
	r.setBudgets()
	for _, dispatcher := range r.dispatchers {
		dispatcher.SetPolicy(r.Policy)
	}
	return true
}

// Preset returns the active preset.
func (r *Router) Preset() (*grpreset.Active, bool) { return r.presets.Active() }

// SetMap replaces the shard map of a collection if the given one is newer, and reports
// whether it did. Running queries keep the map that they pinned.
func (r *Router) SetMap(m *grsnapshot.Map) bool {
	c := r.collections[m.Collection]
	if c == nil {
		c = &collection{}
		r.collections[m.Collection] = c
	}
	if c.current != nil && !m.Snapshot.After(c.current.Snapshot) {
		return false
	}
	indexes := make([]int32, len(m.Shards))
	for i := range m.Shards {
		indexes[i] = r.dispatcherFor(m.Shards[i].Service)
	}
	c.current, c.dispatchers = m, indexes
	return true
}

// Map returns the current shard map of the collection, or nil.
func (r *Router) Map(name grid.Collection) *grsnapshot.Map {
	if c := r.collections[name]; c != nil {
		return c.current
	}
	return nil
}

// Maps returns the current shard maps, ordered by collection.
func (r *Router) Maps() []*grsnapshot.Map {
	var list []*grsnapshot.Map
	for _, c := range r.collections {
		list = append(list, c.current)
	}
	slices.SortFunc(list, func(a, b *grsnapshot.Map) int { return cmp.Compare(a.Collection, b.Collection) })
	return list
}
