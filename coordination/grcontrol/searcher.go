package grcontrol

import (
	"slices"
	"strings"

	"geraniumrouter/coordination/grspread"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// ListedSearcher is a searcher in the platform's list.
type ListedSearcher struct {
	Searcher
	State State // Live or Leaving
}

// missesUntilGone is the number of lists in a row that a searcher must be
// missing from before it counts as gone.
const missesUntilGone = 2

// TakeSearchers takes the platform's list of searchers. The list lags, so a
// leaving searcher does not become live again within one run.
func (c *Control) TakeSearchers(now grclock.Millis, list []ListedSearcher, out *Out) {
	c.with(out, func() {
		present := make(map[grid.SearcherID]bool, len(list))
		for i := range list {
			present[list[i].ID] = true
			c.listed[list[i].ID] = 0
			c.takeSearcher(now, &list[i])
		}
		for id, misses := range c.listed {
			if present[id] {
				continue
			}
			c.listed[id] = misses + 1
			if misses+1 >= missesUntilGone {
				delete(c.listed, id)
				c.raiseSearcher(now, id, Gone)
			}
		}
	})
}

func (c *Control) takeSearcher(now grclock.Millis, s *ListedSearcher) {
	key := searcherKey(s.ID)
	value := Value{Kind: SearcherKind, Searcher: s.Searcher}
	held, ok := c.items.Get(key)
	if !ok || runOf(held.Version) < s.Run {
		c.put(now, key, versionOf(s.Run, 0, s.State), value)
		return
	}
	if runOf(held.Version) == s.Run && StateOf(held.Version) == Gone {
		c.put(now, key, after(held.Version, s.State), value)
		return
	}
	if runOf(held.Version) == s.Run {
		c.raiseSearcher(now, s.ID, s.State)
	}
}

// TakeRevision takes what the platform held of a searcher at a revision. The
// platform orders all its changes by one counter, so that what an instance read
// late never undoes what another read since. What every instance reads at its
// start is learned only and not pushed.
func (c *Control) TakeRevision(now grclock.Millis, list []ListedSearcher, at []grid.Revision, learned bool, out *Out) {
	c.with(out, func() {
		for i := range list {
			if c.holds(&list[i]) {
				continue
			}
			version := grspread.Version(at[i])<<stateBits | grspread.Version(list[i].State)
			item := Item{Key: searcherKey(list[i].ID), Version: version, Value: Value{Kind: SearcherKind, Searcher: list[i].Searcher}}
			if learned {
				c.items.Learn(now, item)
			} else {
				c.items.Put(now, item)
			}
		}
	})
}

// markOf returns what an item adds to the digests: for a searcher what is known
// of it, whatever the revision at which it was read.
func markOf(item Item) uint64 {
	if item.Value.Kind != SearcherKind {
		return uint64(item.Version)
	}
	s := &item.Value.Searcher
	mark := uint64(StateOf(item.Version))
	for _, part := range []uint64{
		grid.Hash(s.Service), grid.Hash(s.Address), grid.Hash(s.Domain),
		uint64(s.Run), uint64(s.Slots), uint64(s.ConnLimit), uint64(s.Entered),
	} {
		mark = grid.Mix(mark ^ part)
	}
	return mark
}

// holds reports whether a searcher is known just like this. Entries also change
// in what nobody here uses. One that was made anew is another, so that its word
// is later than that of the loss of the one before.
func (c *Control) holds(s *ListedSearcher) bool {
	held, ok := c.items.Get(searcherKey(s.ID))
	return ok && held.Value.Searcher == s.Searcher && StateOf(held.Version) == s.State
}

// MarkLeaving notes that a searcher said of itself that it is leaving.
func (c *Control) MarkLeaving(now grclock.Millis, id grid.SearcherID, run grid.Incarnation, out *Out) {
	c.with(out, func() {
		if held, ok := c.items.Get(searcherKey(id)); ok && runOf(held.Version) == run {
			c.raiseSearcher(now, id, Leaving)
		}
	})
}

// raiseSearcher moves a searcher on to a later state of its run.
func (c *Control) raiseSearcher(now grclock.Millis, id grid.SearcherID, state State) {
	held, ok := c.items.Get(searcherKey(id))
	if ok && StateOf(held.Version) < state {
		c.put(now, held.Key, after(held.Version, state), held.Value)
	}
}

// Searchers returns the searchers that are not gone with their states, ordered
// by id.
func (c *Control) Searchers() []ListedSearcher {
	var list []ListedSearcher
	c.items.All(func(item Item) {
		if item.Value.Kind == SearcherKind && StateOf(item.Version) != Gone {
			list = append(list, ListedSearcher{item.Value.Searcher, StateOf(item.Version)})
		}
	})
	slices.SortFunc(list, func(a, b ListedSearcher) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
