package grcluster

import (
	"testing"

	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// TestLateRemovalAfterRecreation checks that a late removal does not remove a searcher
// whose entry was created again after an outage. It comes from an instance that stopped
// watching the list and still reports the previous entry as expired.
func TestLateRemovalAfterRecreation(t *testing.T) {
	var out Output
	c := &Cluster{UncoordinatedDivisor: true}
	c.Init(0, &out)
	put := func(created, at grident.Revision, state State) {
		s := SearcherStatus{Searcher: Searcher{ID: "s", Service: "a", CreatedRevision: created}, State: state}
		c.ChangeSearchers(0, []ListedSearcher{{s, at}}, at, &out)
	}
	put(50, 50, Live)
	put(50, 60, Live)   // A field that is not used changed.
	put(120, 120, Live) // The entry expired at revision 100 and was created again.
	put(50, 100, Gone)
	if list := c.Searchers(); len(list) != 1 || list[0].State != Live {
		t.Errorf("searchers after the late removal: %+v, want one live", list)
	}
	put(120, 130, Gone)
	if list := c.Searchers(); len(list) != 0 {
		t.Errorf("searchers after the removal of the new entry: %+v, want none", list)
	}
}

// TestUnlistedSearcherOfOthers guards against a searcher that stays in use because it left the
// list, one without revisions, before this instance first read it.
func TestUnlistedSearcherOfOthers(t *testing.T) {
	var out Output
	c := &Cluster{}
	c.Init(0, &out)
	known := Searcher{ID: "s", Incarnation: 7, Service: "a"}
	item := Item{Key: searcherKey("s"), Version: versionOf(7, 0, Live), Value: Value{Kind: SearcherKind, Searcher: known}}
	c.Receive(0, Message{Items: grgossip.Message[Value]{Items: []Item{item}}}, &out)
	inUse := func(now grclock.Millis) bool {
		c.UpdateSearchers(now, nil, &out)
		return len(c.Searchers()) > 0
	}
	for now := grclock.Millis(0); now < missingTimeout; now += 500 {
		if !inUse(now) {
			t.Fatalf("removed after %d ms, when the list may not show it yet", now)
		}
	}
	if inUse(missingTimeout) {
		t.Error("still in use after the longest delay of the list")
	}
}
