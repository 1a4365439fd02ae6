package grcluster

import (
	"slices"
	"strings"

	"geraniumrouter/coordination/grgossip"
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
	c.runStep(out, func() {
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
	})
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

// UpdateSearchersAt processes searcher entries of the platform, each with the revision
// at which it was read. The platform numbers all its changes with one counter, so a late
// read of one instance never overrides a newer read of another. If withoutPush is set,
// the entries are stored but not pushed, because every instance reads them itself at
// startup.
func (c *Cluster) UpdateSearchersAt(now grclock.Millis, list []SearcherStatus, revisions []grident.Revision, withoutPush bool, out *Output) {
	c.runStep(out, func() {
		for i := range list {
			if c.isStored(&list[i]) {
				continue
			}
			version := grgossip.Version(revisions[i])<<stateBits | grgossip.Version(list[i].State)
			item := Item{Key: searcherKey(list[i].ID), Version: version, Value: Value{Kind: SearcherKind, Searcher: list[i].Searcher}}
			if withoutPush {
				c.items.PutWithoutPush(now, item)
			} else {
				c.items.Put(now, item)
			}
		}
	})
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
	return hash
}

// isStored reports whether the same description and state of a searcher are stored
// already; an entry may have changed only in fields that are not used here. An entry
// that was created again differs in CreatedRevision and is stored with its newer revision, so
// that a late report of the previous entry's removal does not override it.
func (c *Cluster) isStored(s *SearcherStatus) bool {
	held, ok := c.items.Get(searcherKey(s.ID))
	return ok && held.Value.Searcher == s.Searcher && StateOf(held.Version) == s.State
}

// MarkSearcherLeaving records that a run of a searcher has announced that it is
// leaving.
func (c *Cluster) MarkSearcherLeaving(now grclock.Millis, id grident.SearcherID, run grident.Incarnation, out *Output) {
	c.runStep(out, func() {
		if held, ok := c.items.Get(searcherKey(id)); ok && runOf(held.Version) == run {
			c.advanceSearcher(now, id, Leaving)
		}
	})
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
			list = append(list, SearcherStatus{item.Value.Searcher, StateOf(item.Version)})
		}
	})
	slices.SortFunc(list, func(a, b SearcherStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
