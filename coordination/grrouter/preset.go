package grrouter

import (
	"cmp"
	"slices"

	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

// SetPreset activates a preset if its generation is higher than that of the active
// one, and reports whether it did. Running queries keep the policy they started with.
func (r *Router) SetPreset(a grpreset.ActivePreset) bool {
	if !r.presets.SetIfNewer(a) {
		return false
	}
	r.admission.MaxInFlight = a.Preset.MaxQueries
	r.Policy.HedgeRatio = a.Preset.HedgeBudget
	r.Policy.RetryRatio = a.Preset.RetryBudget
	r.Policy.MaxQueue = a.Preset.MaxQueue
	r.setBudgets()
	for _, dispatcher := range r.dispatchers {
		dispatcher.SetPolicy(r.Policy)
	}
	return true
}

// ActivePreset returns the active preset.
func (r *Router) ActivePreset() (*grpreset.ActivePreset, bool) { return r.presets.Active() }

// SetShardMap replaces the shard map of a collection if the given one is newer, and
// reports whether it did. Running queries keep the map that they pinned.
func (r *Router) SetShardMap(m *grsnapshot.ShardMap) bool {
	c := r.collections[m.Collection]
	if c == nil {
		c = &collection{}
		r.collections[m.Collection] = c
	}
	if c.current != nil && !m.Snapshot.NewerThan(c.current.Snapshot) {
		return false
	}
	indexes := make([]int32, len(m.Shards))
	for i := range m.Shards {
		indexes[i] = r.dispatcherFor(m.Shards[i].Service)
	}
	c.current, c.dispatchers = m, indexes
	return true
}

// ShardMap returns the current shard map of the collection, or nil.
func (r *Router) ShardMap(name grident.Collection) *grsnapshot.ShardMap {
	if c := r.collections[name]; c != nil {
		return c.current
	}
	return nil
}

// ShardMaps returns the current shard maps, ordered by collection.
func (r *Router) ShardMaps() []*grsnapshot.ShardMap {
	var list []*grsnapshot.ShardMap
	for _, c := range r.collections {
		list = append(list, c.current)
	}
	slices.SortFunc(list, func(a, b *grsnapshot.ShardMap) int { return cmp.Compare(a.Collection, b.Collection) })
	return list
}
