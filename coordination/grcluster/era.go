package grcluster

import (
	"maps"

	"geraniumrouter/coordination/grregistry"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// The platform can come back from a copy of its state that is some seconds old. Its revisions
// go back then, but those of the new era are higher than all before (grident.Revision). An
// entry of the copy can be older than what the instances know: it may list a searcher as live
// that had announced that it leaves, or whose entry had been removed. So the later state of
// a run is carried over into the new era until its entry is written again, or has been kept
// for longer than the entry of a searcher that is gone would be.

// copiedEntryTime is the time after which an entry of the copy that is still listed has been
// renewed by its searcher, where the interval of the renewals is not known.
const copiedEntryTime = 2 * grregistry.GracePeriod

// copiedEntry is an entry of the copy with an earlier state than the one that is known.
type copiedEntry struct {
	entry    ListedSearcher
	acceptAt grclock.Millis
}

// stateInEra returns the state of a searcher whose entry was listed with the given state: that
// of the held item, if it is the later state of the same run and was read in an earlier era.
func stateInEra(held Item, s Searcher, at grident.Revision, state State) State {
	sameRun := held.Value.Searcher.ID == s.ID && held.Value.Searcher.Incarnation == s.Incarnation
	if sameRun && revisionOf(held.Version).Era() < at.Era() {
		return max(state, StateOf(held.Version))
	}
	return state
}

// isFirstOfEra reports whether a list as of the revision is the first that this instance reads
// in its era: its entries may be those of the copy.
func (c *Cluster) isFirstOfEra(at grident.Revision) bool {
	return c.registry.ReadUpTo().Era() < at.Era()
}

// noteEra begins a grace period if the list as of the revision may lack searchers that are known
// from an earlier era.
func (c *Cluster) noteEra(now grclock.Millis, at grident.Revision) {
	earlier := false
	c.items.All(func(item Item) {
		if item.Value.Kind == SearcherKind && revisionOf(item.Version).Era() < at.Era() {
			earlier = true
		}
	})
	if earlier {
		c.registry.Restored(now)
	}
}

// Era returns the newest era of the platform in which a searcher was listed.
func (c *Cluster) Era() uint64 {
	era := c.registry.ReadUpTo().Era()
	c.items.All(func(item Item) {
		if item.Value.Kind == SearcherKind {
			era = max(era, revisionOf(item.Version).Era())
		}
	})
	return era
}

// awaitRewrite notes an entry that is listed although a later state of its run is known from
// an earlier era.
func (c *Cluster) awaitRewrite(now grclock.Millis, s *ListedSearcher) {
	held, ok := c.items.Get(searcherKey(s.ID))
	at := revisionOf(held.Version)
	isCopied := at.Era() < s.Revision.Era() || at == s.Revision
	if !ok || !isCopied || held.Value.Searcher.Incarnation != s.Incarnation || StateOf(held.Version) <= s.State {
		delete(c.copiedEntries, s.ID)
		return
	}
	c.noteCopiedEntry(now, *s)
}

// dropUnlistedCopies drops the entries of the copy that a complete list lacks.
func (c *Cluster) dropUnlistedCopies(listed map[grident.SearcherID]bool) {
	maps.DeleteFunc(c.copiedEntries, func(id grident.SearcherID, _ copiedEntry) bool { return !listed[id] })
}

// noteCopiedEntry notes an entry of the copy that may be accepted after its time.
func (c *Cluster) noteCopiedEntry(now grclock.Millis, s ListedSearcher) {
	if c.copiedEntries[s.ID].entry.Revision.Era() == s.Revision.Era() {
		return // It waits already.
	}
	wait := copiedEntryTime
	if c.EntryLapseTime > 0 {
		wait = max(2*c.EntryLapseTime, grregistry.GracePeriod) // longer than an entry lasts without being renewed
	}
	c.copiedEntries[s.ID] = copiedEntry{s, now + wait}
}

// acceptCopiedEntries accepts the entries of the copy that are still listed after their time,
// by a read of this instance that has just been processed.
func (c *Cluster) acceptCopiedEntries(now grclock.Millis) {
	for id, copied := range c.copiedEntries {
		if now < copied.acceptAt {
			continue
		}
		delete(c.copiedEntries, id)
		copied.entry.Revision = c.registry.ReadUpTo()
		c.storeRead(now, &copied.entry, Delayed, false)
	}
}

// carryOver handles an entry that another instance sent: if it is of the copy and a later state
// of its run is known from an earlier era, that state is stored for it. An instance that read
// the entry itself and learns of the later state waits for the entry to be written again.
func (c *Cluster) carryOver(now grclock.Millis, old, item Item) {
	if c.readingSearchers || old.Value.Kind != SearcherKind || old.Value.Searcher.Incarnation != item.Value.Searcher.Incarnation {
		return
	}
	at, state := revisionOf(item.Version), StateOf(item.Version)
	if later := stateInEra(old, item.Value.Searcher, at, state); item.Value.Copied && later > state {
		c.readingSearchers = true
		c.put(now, item.Key, versionAt(at, later), item.Value)
		c.readingSearchers = false
		return
	}
	if old.Value.Copied && at == revisionOf(old.Version) && at <= c.registry.ReadUpTo() {
		c.noteCopiedEntry(now, ListedSearcher{SearcherStatus{old.Value.Searcher, StateOf(old.Version)}, at})
	}
}
