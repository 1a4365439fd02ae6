package grcluster

import (
	"slices"
	"strings"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// SearcherStatus is a searcher with its state, as in the platform's list.
type SearcherStatus struct {
	Searcher
	State State // Live or Leaving
}

// missesUntilGone is the number of consecutive lists from which a searcher must be
// absent before it counts as gone.
const missesUntilGone = 2

// UpdateSearchers processes the platform's list of searchers. The list may be outdated,
// so a leaving searcher does not become live again within the same run.
func (c *Cluster) UpdateSearchers(now grclock.Millis, list []SearcherStatus, out *Output) {
	c.runStep(now, out, func() {
		present := make(map[grident.SearcherID]bool, len(list))
		for i := range list {
			present[list[i].ID] = true
			c.listMisses[list[i].ID] = 0
			c.mergeSearcher(now, &list[i])
		}
		for id, misses := range c.listMisses {
			if present[id] {
				continue
			}
			c.listMisses[id] = misses + 1
			if misses+1 >= missesUntilGone {
				delete(c.listMisses, id)
				c.advanceSearcher(now, id, Gone)
			}
		}
		c.removeUnlisted(now, present)
	})
}

// removeUnlisted removes the searchers that this instance knows from others only, and that
// have not been listed for missingTimeout. The list shows changes late, so it may not yet
// show a searcher that another instance knows.
func (c *Cluster) removeUnlisted(now grclock.Millis, present map[grident.SearcherID]bool) {
	var unlisted []grident.SearcherID
	c.items.All(func(item Item) {
		id := item.Value.Searcher.ID
		_, wasListed := c.listMisses[id]
		if item.Value.Kind != SearcherKind || present[id] || wasListed || StateOf(item.Version) == Gone {
			return
		}
		first, known := c.unlistedRuns[id]
		if !known || first.run != item.Value.Searcher.Incarnation {
			c.unlistedRuns[id] = missingRun{item.Value.Searcher.Incarnation, now}
			return
		}
		if now-first.since >= missingTimeout {
			unlisted = append(unlisted, id)
		}
	})
	for _, id := range unlisted {
		delete(c.unlistedRuns, id)
		c.advanceSearcher(now, id, Gone)
	}
	for id := range present {
		delete(c.unlistedRuns, id)
	}
}

func (c *Cluster) mergeSearcher(now grclock.Millis, s *SearcherStatus) {
	key := searcherKey(s.ID)
	value := Value{Kind: SearcherKind, Searcher: s.Searcher}
	held, ok := c.items.Get(key)
	if !ok || runOf(held.Version) < s.Incarnation {
		c.put(now, key, versionOf(s.Incarnation, 0, s.State), value)
		return
	}
	if runOf(held.Version) == s.Incarnation && StateOf(held.Version) == Gone {
		c.put(now, key, nextVersion(held.Version, s.State), value)
		return
	}
	if runOf(held.Version) == s.Incarnation {
		c.advanceSearcher(now, s.ID, s.State)
	}
}

// digestInput returns an item's contribution to the digests. For a searcher it covers
// the description and the state but not the revision, because instances may read the
// same entry at different revisions.
func digestInput(item Item) uint64 {
	if item.Value.Kind != SearcherKind {
		return uint64(item.Version)
	}
	s := &item.Value.Searcher
	hash := uint64(StateOf(item.Version))
	for _, field := range []uint64{
		grident.Hash(s.Service), grident.Hash(s.Address), grident.Hash(s.Domain),
		uint64(s.Incarnation), uint64(s.Slots), uint64(s.ConnLimit), uint64(s.CreatedRevision),
	} {
		hash = grident.Mix(hash ^ field)
	}
	if s.Cold.Remaining > 0 {
		// The time itself is left out: instances that read different renewals of an entry agree.
		hash = grident.Mix(hash ^ 1)
	}
	return hash
}

// advanceSearcher advances a searcher to a later state of its run; earlier states are
// ignored.
func (c *Cluster) advanceSearcher(now grclock.Millis, id grident.SearcherID, state State) {
	held, ok := c.items.Get(searcherKey(id))
	if ok && StateOf(held.Version) < state {
		c.put(now, held.Key, nextVersion(held.Version, state), held.Value)
	}
}

// Searchers returns the searchers that are not gone, with their states, ordered by
// id.
func (c *Cluster) Searchers() []SearcherStatus {
	var list []SearcherStatus
	c.items.All(func(item Item) {
		if item.Value.Kind == SearcherKind && StateOf(item.Version) != Gone {
			s := item.Value.Searcher
			list = append(list, SearcherStatus{s, c.withDeparture(&s, StateOf(item.Version))})
		}
	})
	slices.SortFunc(list, func(a, b SearcherStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
