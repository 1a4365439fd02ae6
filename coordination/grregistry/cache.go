// Package grregistry is a service registry cache: it keeps the searchers that the
// platform lists and does not report them lost because of a platform outage.
// Registry entries expire when they are not renewed, and during an outage no
// searcher can renew its entry.
//
// A Cache is a pure state machine. It takes entries as they are read and returns
// the changes, each with the revision that orders it:
//
//	cache := &grregistry.Cache{}
//	changes := cache.Replace(now, entries, revision)
//	changes = cache.Remove(now, "searcher-1", revision)
//	changes = cache.ExpireMissing(now)
package grregistry

import (
	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Entry is the platform's registry entry of a searcher as of a revision.
type Entry struct {
	grcluster.SearcherStatus
	Revision  grident.Revision
	Unchanged bool // the fields in use equal those cached here; other instances may hold different ones
}

// GracePeriod is how long after an outage an entry may be missing before its searcher
// counts as gone. Running searchers register again within two seconds, and reading
// the list takes additional time.
const GracePeriod = 2500 * grclock.Millisecond

// Cache is the cached list of searchers. The zero value is an empty cache ready to
// use.
type Cache struct {
	entries         map[grident.SearcherID]Entry
	pendingRemovals map[grident.SearcherID]removal // absent from the list since an outage
	outage          bool                           // the last read failed
	graceEnd        grclock.Millis                 // end of the grace period after the last outage
}

type removal struct {
	revision grident.Revision
	deadline grclock.Millis
}

// ReadFailed records that reading from the platform failed.
func (c *Cache) ReadFailed() { c.outage = true }

// DiscardPendingRemovals discards the pending removals. It is called when other
// instances take over watching the list, because this cache would then not learn which
// searchers have registered again.
func (c *Cache) DiscardPendingRemovals() { clear(c.pendingRemovals) }

// Put stores an entry that was added or changed and returns the changes.
func (c *Cache) Put(now grclock.Millis, e Entry) []Entry {
	c.ReadSucceeded(now)
	return c.put(e)
}

// Remove records the removal of an entry and returns the changes. Within the grace
// period after an outage the removal is delayed; see ExpireMissing.
func (c *Cache) Remove(now grclock.Millis, id grident.SearcherID, at grident.Revision) []Entry {
	c.ReadSucceeded(now)
	return c.remove(now, id, at)
}

// Replace takes the complete list as of a revision. It returns every listed entry, also
// unchanged ones, because other instances may hold them as gone; entries that are not
// listed are removed as by Remove.
func (c *Cache) Replace(now grclock.Millis, list []Entry, at grident.Revision) []Entry {
	c.ReadSucceeded(now)
	var changes []Entry
	present := make(map[grident.SearcherID]bool, len(list))
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

// ExpireMissing returns the searchers whose grace period has run out as gone.
func (c *Cache) ExpireMissing(now grclock.Millis) []Entry {
	if c.outage {
		return nil
	}
	var changes []Entry
	for id, m := range c.pendingRemovals {
		if now >= m.deadline {
			changes = append(changes, c.markGone(id, m.revision))
		}
	}
	return changes
}

// ReadSucceeded records that the platform answered, which ends an outage. The grace
// period starts again for entries that were already missing.
func (c *Cache) ReadSucceeded(now grclock.Millis) {
	if c.entries == nil {
		c.entries = make(map[grident.SearcherID]Entry)
		c.pendingRemovals = make(map[grident.SearcherID]removal)
	}
	if !c.outage {
		return
	}
	c.outage = false
	c.graceEnd = now + GracePeriod
	for id, m := range c.pendingRemovals {
		m.deadline = c.graceEnd
		c.pendingRemovals[id] = m
	}
}

func (c *Cache) put(e Entry) []Entry {
	delete(c.pendingRemovals, e.ID)
	if held, known := c.entries[e.ID]; known && held.Revision >= e.Revision {
		return nil
	}
	e.Unchanged = c.entries[e.ID].SearcherStatus == e.SearcherStatus
	c.entries[e.ID] = e
	return []Entry{e}
}

func (c *Cache) remove(now grclock.Millis, id grident.SearcherID, at grident.Revision) []Entry {
	held, known := c.entries[id]
	if !known || held.Revision > at {
		return nil
	}
	if now < c.graceEnd {
		if _, waiting := c.pendingRemovals[id]; !waiting {
			c.pendingRemovals[id] = removal{at, c.graceEnd}
		}
		return nil
	}
	return []Entry{c.markGone(id, at)}
}

func (c *Cache) markGone(id grident.SearcherID, at grident.Revision) Entry {
	e := c.entries[id]
	e.State, e.Revision, e.Unchanged = grcluster.Gone, at, false
	delete(c.entries, id)
	delete(c.pendingRemovals, id)
	return e
}
