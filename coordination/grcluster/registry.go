package grcluster

import (
	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// The platform's list of searchers, where it comes with revisions: it is compared with the
// replicated state, not with what this instance read before. Most of what an instance knows
// of the searchers it has from the instances that watch the list.

// ListedSearcher is a searcher's entry in the platform's list, or its removal (Gone), with
// the revision of that change. The platform numbers all its changes with one counter, so a
// late read of one instance never overrides a newer read of another.
type ListedSearcher struct {
	SearcherStatus
	Revision grident.Revision
}

// ReadKind tells how this instance learnt of a change of a searcher.
type ReadKind uint8

// Kinds of reads.
const (
	FromList  ReadKind = iota // a complete list has or lacks the entry
	FromWatch                 // a change after the list
	FromCopy                  // as FromList, the first one that this instance reads in an era of the platform
	Delayed                   // removed after a grace period, or because another instance holds an entry of before the list
)

// String returns the name of the kind in logs.
func (k ReadKind) String() string {
	return [...]string{FromList: "list", FromWatch: "watch", FromCopy: "copy", Delayed: "delayed"}[k]
}

// SearcherChange is a change of a searcher that this instance read from the platform, for
// logs.
type SearcherChange struct {
	ListedSearcher
	Read ReadKind
}

// ListSearchers processes the complete list as of a revision: no entry was read from an
// older state. Searchers that any instance holds from before and the list lacks are removed.
// The entries are not pushed if withoutPush is set, because every instance reads them itself
// at startup; those of searchers that leave and the removals are.
func (c *Cluster) ListSearchers(now grclock.Millis, list []ListedSearcher, at grident.Revision, withoutPush bool, out *Output) {
	c.runStep(now, out, func() {
		kind := FromList
		if c.isFirstOfEra(at) {
			kind = FromCopy
			c.eraListedAt = now
			c.noteEra(now, at)
		}
		listed := make(map[grident.SearcherID]bool, len(list))
		for i := range list {
			listed[list[i].ID] = true
			c.registry.Listed(list[i].ID)
			c.awaitRewrite(now, &list[i])
			c.storeRead(now, &list[i], kind, withoutPush && list[i].State == Live)
		}
		c.dropUnlistedCopies(listed)
		c.registry.ReadSucceeded(now, at)
		c.items.All(func(item Item) {
			id := item.Value.Searcher.ID
			if item.Value.Kind == SearcherKind && !listed[id] && StateOf(item.Version) != Gone && revisionOf(item.Version) <= at {
				c.registry.Missing(id, at)
			}
		})
		c.acceptCopiedEntries(now)
		c.removeDue(now, FromList)
	})
}

// ChangeSearchers processes changes after the list, up to a revision.
func (c *Cluster) ChangeSearchers(now grclock.Millis, changes []ListedSearcher, upTo grident.Revision, out *Output) {
	c.runStep(now, out, func() {
		for i := range changes {
			delete(c.copiedEntries, changes[i].ID)
			if changes[i].State == Gone {
				c.registry.Missing(changes[i].ID, changes[i].Revision)
				continue
			}
			c.registry.Listed(changes[i].ID)
			c.storeRead(now, &changes[i], FromWatch, false)
		}
		c.registry.ReadSucceeded(now, upTo)
		c.acceptCopiedEntries(now)
		c.removeDue(now, FromWatch)
	})
}

// storeRead stores an entry that this instance read, unless the same description and state
// are stored already; an entry may have changed only in fields that are not used here. An
// entry that was created again differs in CreatedRevision and is stored with its newer
// revision, so that a late report of the previous entry's removal does not override it.
func (c *Cluster) storeRead(now grclock.Millis, s *ListedSearcher, kind ReadKind, withoutPush bool) {
	held, ok := c.items.Get(searcherKey(s.ID))
	if ok && sameApartFromCold(held.Value.Searcher, s.Searcher) && StateOf(held.Version) == s.State && !c.isColdNews(now, held, s) {
		return
	}
	state := s.State
	if ok && kind != FromWatch && kind != Delayed {
		state = stateInEra(held, s.Searcher, s.Revision, s.State)
	}
	item := Item{Key: searcherKey(s.ID), Version: versionAt(s.Revision, state), Value: Value{Kind: SearcherKind, Searcher: s.Searcher, Copied: kind == FromCopy}}
	store := c.items.Put
	if withoutPush {
		store = c.items.PutWithoutPush
	}
	c.readingSearchers = true
	stored := store(now, item)
	c.readingSearchers = false
	if stored {
		c.out.SearcherChanges = append(c.out.SearcherChanges, SearcherChange{*s, kind})
	}
}

// removeDue removes the searchers whose removal is due, unless newer entries are held.
func (c *Cluster) removeDue(now grclock.Millis, kind ReadKind) {
	for _, removal := range c.registry.TakeDue(now) {
		held, ok := c.items.Get(searcherKey(removal.ID))
		if !ok || StateOf(held.Version) == Gone || revisionOf(held.Version) > removal.Revision {
			continue
		}
		s := SearcherStatus{Searcher: held.Value.Searcher, State: Gone}
		c.storeRead(now, &ListedSearcher{s, removal.Revision}, kind, false)
	}
}

// checkOutdated removes an entry that another instance sent, if it is of before the list that
// this instance read and not in that list.
func (c *Cluster) checkOutdated(now grclock.Millis, old, item Item) {
	if c.readingSearchers || StateOf(item.Version) == Gone || revisionOf(item.Version) > c.registry.ReadUpTo() {
		return
	}
	wasListed := old.Value.Kind == SearcherKind && StateOf(old.Version) != Gone
	if wasListed {
		return
	}
	if revisionOf(item.Version).Era() < c.registry.ReadUpTo().Era() {
		c.registry.Restored(c.eraListedAt)
	}
	c.registry.Missing(item.Value.Searcher.ID, c.registry.ReadUpTo())
}

// versionAt returns the version of a searcher's entry as of a revision of the platform. The
// later state wins within one revision.
func versionAt(revision grident.Revision, state State) grgossip.Version {
	return grgossip.Version(revision)<<stateBits | grgossip.Version(state)
}

// revisionOf returns the revision in a version that versionAt returned.
func revisionOf(v grgossip.Version) grident.Revision { return grident.Revision(v >> stateBits) }
