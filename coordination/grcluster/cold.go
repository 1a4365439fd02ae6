package grcluster

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// A searcher's entry can state how long the searcher stays cold. The time counts from when an
// instance learns of it. Searchers renew their entries with the time that is left; a renewal is
// replicated only if it says something new.

// ColdStatement is what a searcher's entry says of the time for which it stays cold.
type ColdStatement struct {
	Stated    bool
	Remaining grclock.Millis
}

// ColdEntry is a ColdStatement with the times of this instance.
type ColdEntry struct{ LearnedAt, Until grclock.Millis }

// coldTolerance is added to the time that an entry states, so that a renewal that is read with
// another delay than the entry before says nothing new.
const coldTolerance = 500 * grclock.Millisecond

// ColdEntryOf returns what a searcher's entry says of the time for which it stays cold.
func (c *Cluster) ColdEntryOf(id grident.SearcherID) (e ColdEntry, ok bool) {
	e, ok = c.coldEntries[id]
	return e, ok
}

// learnCold records what the changed entry of a searcher states.
func (c *Cluster) learnCold(now grclock.Millis, old, item Item) {
	s := &item.Value.Searcher
	switch {
	case StateOf(item.Version) == Gone || !s.Cold.Stated:
		delete(c.coldEntries, s.ID)
	case old.Value.Searcher == *s && revisionOf(old.Version) == revisionOf(item.Version):
		// Only the state changed. The time that the entry states has begun before.
	default:
		e := ColdEntry{LearnedAt: now}
		if s.Cold.Remaining > 0 {
			e.Until = now + s.Cold.Remaining + coldTolerance
		}
		c.coldEntries[s.ID] = e
	}
}

// isColdNews reports whether an entry that this instance read says something new of the time for
// which its searcher stays cold.
func (c *Cluster) isColdNews(now grclock.Millis, held Item, s *ListedSearcher) bool {
	if !s.Cold.Stated || revisionOf(held.Version) >= s.Revision {
		return false
	}
	e, known := c.coldEntries[s.ID]
	left := max(e.Until-now, 0)
	switch {
	case !known, s.Cold.Remaining > left, left-s.Cold.Remaining > 2*coldTolerance:
		return true
	case s.Cold.Remaining == 0 && held.Value.Searcher.Cold.Remaining > 0:
		return true // Otherwise instances that start would take the searcher for cold.
	}
	evacuation, ok := c.items.Get(evacuationKey(s.Domain))
	ended := revisionOf(evacuation.Version)
	return ok && StateOf(evacuation.Version) == Gone && revisionOf(held.Version) <= ended && ended < s.Revision
}

// sameApartFromCold reports whether two descriptions differ at most in the time for which the
// searcher stays cold.
func sameApartFromCold(a, b Searcher) bool {
	a.Cold = b.Cold
	return a == b
}
