// Package grcensus keeps what a list on the platform says of searchers, so that
// an outage of the platform does not look like the loss of the searchers: the
// platform forgets entries that are not renewed, also while nobody can renew
// them.
//
// A Census is a pure state machine. Entries go in as they are read, and what
// changed comes out, each change with the revision that orders it:
//
//	census := &grcensus.Census{}
//	changes := census.List(now, entries, revision)
//	changes = census.Remove(now, "searcher-1", revision)
//	changes = census.Tick(now)
package grcensus

import (
	"geraniumrouter/coordination/grcontrol"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Entry is what the platform holds of a searcher since a revision.
type Entry struct {
	grcontrol.ListedSearcher
	Revision  grid.Revision
	Unchanged bool // what is used of it is as this census knew it; others may know otherwise
}

// Grace is how long after an outage an entry may be missing before its searcher
// counts as gone: those that live are back within two seconds, and reading the
// list takes some time.
const Grace = 2500 * grclock.Millisecond

// Census is the state of the list. The zero value has seen none.
type Census struct {
	entries  map[grid.SearcherID]Entry
	missing  map[grid.SearcherID]removal // not in the list since an outage
	outage   bool                        // the last read failed
	steadyAt grclock.Millis              // end of the grace after the last outage
}

type removal struct {
	revision grid.Revision
	due      grclock.Millis
}

// Fail notes that the platform could not be read.
func (c *Census) Fail() { c.outage = true }

// Rest forgets what is missing: others watch the list, and this census would not
// hear of those that come back.
func (c *Census) Rest() { clear(c.missing) }

// Put takes an entry that was added or changed.
func (c *Census) Put(now grclock.Millis, e Entry) []Entry {
	c.Reached(now)
	return c.put(e)
}

// Remove takes the removal of an entry.
func (c *Census) Remove(now grclock.Millis, id grid.SearcherID, at grid.Revision) []Entry {
	c.Reached(now)
	return c.remove(now, id, at)
}

// List takes the whole list as it was at a revision, and returns all of it: what
// this census knew already others may hold for gone.
func (c *Census) List(now grclock.Millis, list []Entry, at grid.Revision) []Entry {
	c.Reached(now)
	var changes []Entry
	present := make(map[grid.SearcherID]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		if c.put(e) == nil {
			e.Unchanged = true
		}
		changes = append(changes, e)
	}
	for id := range c.entries {
		if !present[id] {
			changes = append(changes, c.remove(now, id, at)...)
		}
	}
	return changes
}

// Tick returns the searchers that have been missing for too long.
func (c *Census) Tick(now grclock.Millis) []Entry {
	if c.outage {
		return nil
	}
	var changes []Entry
	for id, m := range c.missing {
		if now >= m.due {
			changes = append(changes, c.gone(id, m.revision))
		}
	}
	return changes
}

// Reached notes that the platform answered, which ends an outage. The grace of
// what was missing before starts anew.
func (c *Census) Reached(now grclock.Millis) {
	if c.entries == nil {
		c.entries = make(map[grid.SearcherID]Entry)
		c.missing = make(map[grid.SearcherID]removal)
	}
	if !c.outage {
		return
	}
	c.outage = false
	c.steadyAt = now + Grace
	for id, m := range c.missing {
		m.due = c.steadyAt
		c.missing[id] = m
	}
}

func (c *Census) put(e Entry) []Entry {
	delete(c.missing, e.ID)
	if held, known := c.entries[e.ID]; known && held.Revision >= e.Revision {
		return nil
	}
	e.Unchanged = c.entries[e.ID].ListedSearcher == e.ListedSearcher
	c.entries[e.ID] = e
	return []Entry{e}
}

func (c *Census) remove(now grclock.Millis, id grid.SearcherID, at grid.Revision) []Entry {
	held, known := c.entries[id]
	if !known || held.Revision > at {
		return nil
	}
	if now < c.steadyAt {
		if _, waiting := c.missing[id]; !waiting {
			c.missing[id] = removal{at, c.steadyAt}
		}
		return nil
	}
	return []Entry{c.gone(id, at)}
}

func (c *Census) gone(id grid.SearcherID, at grid.Revision) Entry {
	e := c.entries[id]
	e.State, e.Revision, e.Unchanged = grcontrol.Gone, at, false
	delete(c.entries, id)
	delete(c.missing, id)
	return e
}
