package grcontrol

import (
	"testing"

	"geraniumrouter/state/grid"
)

// TestStaleLoss keeps a searcher whose entry was made anew after an outage, though
// an instance that no longer watches the list gives up the entry before.
func TestStaleLoss(t *testing.T) {
	var out Out
	c := &Control{Unproven: true}
	c.Init(0, &out)
	put := func(entered, at grid.Revision, state State) {
		s := ListedSearcher{Searcher: Searcher{ID: "s", Service: "a", Entered: entered}, State: state}
		c.TakeRevision(0, []ListedSearcher{s}, []grid.Revision{at}, false, &out)
	}
	put(50, 50, Live)
	put(50, 60, Live)   // Something that is not used changed.
	put(120, 120, Live) // It lapsed at 100 and came back.
	put(50, 100, Gone)
	if list := c.Searchers(); len(list) != 1 || list[0].State != Live {
		t.Errorf("searchers %+v", list)
	}
	put(120, 130, Gone)
	if list := c.Searchers(); len(list) != 0 {
		t.Errorf("searchers %+v", list)
	}
}
