package grrouter

import (
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// retireDelay is the time from the end of a service in the table until connections to it are
// closed. Requests that other instances accepted on an older table may arrive until then.
const retireDelay = 30 * grclock.Second

// retireTimer is the query id of the timers that end services; no query has it.
const retireTimer grident.QueryID = 0

// retireServices records which services the table no longer names. The searchers of a former
// set of shards stay registered for a while, and would otherwise keep their connections.
func (r *Router) retireServices(now grclock.Millis, t *grroutes.Table, oldBlocks map[grident.Service]int, oldSingles map[grident.Service]bool) {
	if r.retiredAt == nil {
		r.retiredAt = make(map[grident.Service]grclock.Millis)
		r.formerPlaces = make(map[grident.Service]place)
	}
	named := make(map[grident.Service]bool, len(t.Services))
	for i := range t.Services {
		named[t.Services[i].Name] = true
	}
	restored := false
	for name := range named {
		restored = restored || r.isRetired(now, name)
		delete(r.retiredAt, name)
		delete(r.formerPlaces, name)
	}
	ended := false
	for _, name := range r.named {
		if !named[name] {
			block, shard := oldBlocks[name]
			r.retiredAt[name], r.formerPlaces[name] = now, place{block, shard, oldSingles[name]}
			ended = true
		}
	}
	if ended {
		r.deadlines.Push(timer{now + retireDelay, retireTimer})
	}
	r.named = r.named[:0]
	for i := range t.Services {
		r.named = append(r.named, t.Services[i].Name)
	}
	r.connsStale = r.connsStale || restored
}

// place tells which instances connect to the searchers of a service.
type place struct {
	block  int
	shard  bool // a table names it as a shard
	single bool // a table names it, but not as a shard
}

// placeOf returns the place of a service by the newest table, or else by the last table that
// named it. A service that no table has named yet may become a shard, so it is treated as one
// of block 0.
func (r *Router) placeOf(name grident.Service) place {
	if p, former := r.formerPlaces[name]; former && r.connsDivided {
		return p
	}
	block, shard := r.shardBlocks[name]
	return place{block, shard, r.singleServices[name]}
}

// isRetired reports whether connections to a service are to be closed, because the table
// ceased to name it retireDelay ago.
func (r *Router) isRetired(now grclock.Millis, name grident.Service) bool {
	at, ended := r.retiredAt[name]
	return ended && now-at >= retireDelay
}

// withoutConns returns the searchers with no connection allowed to any.
func withoutConns(listed []grdispatch.Searcher) []grdispatch.Searcher {
	list := slices.Clone(listed)
	for i := range list {
		list[i].ConnLimit, list[i].OwnerConnLimit, list[i].NotHolder = 0, 0, true
	}
	return list
}
