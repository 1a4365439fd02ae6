package grcensus

import (
	"fmt"
	"testing"

	"geraniumrouter/coordination/grcontrol"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

func entry(id grid.SearcherID, at grid.Revision) Entry {
	e := Entry{Revision: at}
	e.ID = id
	return e
}

// TestRemovedWhileSteady takes a removal at once while the platform answers.
func TestRemovedWhileSteady(t *testing.T) {
	c := &Census{}
	c.List(0, []Entry{entry("a", 1), entry("b", 2)}, 2)
	changes := c.Remove(1000, "a", 3)
	if len(changes) != 1 || changes[0].State != grcontrol.Gone || changes[0].Revision != 3 {
		t.Fatalf("changes %+v", changes)
	}
}

// TestLapsedInOutage keeps searchers whose entries lapsed during an outage until
// they had time to come back.
func TestLapsedInOutage(t *testing.T) {
	c := &Census{}
	c.List(0, []Entry{entry("a", 1), entry("b", 2)}, 2)
	c.Fail()
	const back = 20 * grclock.Second
	if changes := c.List(back, nil, 9); len(changes) != 0 {
		t.Fatalf("right after the outage: %+v", changes)
	}
	c.Put(back+1000, entry("a", 10))
	if changes := c.Tick(back + Grace - 1); len(changes) != 0 {
		t.Fatalf("within the grace: %+v", changes)
	}
	changes := c.Tick(back + Grace)
	if len(changes) != 1 || changes[0].ID != "b" || changes[0].State != grcontrol.Gone {
		t.Fatalf("after the grace: %+v", changes)
	}
}

// TestSecondOutage starts the grace anew.
func TestSecondOutage(t *testing.T) {
	c := &Census{}
	c.List(0, []Entry{entry("a", 1)}, 1)
	c.Fail()
	c.List(1000, nil, 5)
	c.Fail()
	if changes := c.Tick(1000 + Grace); len(changes) != 0 {
		t.Fatalf("during the second outage: %+v", changes)
	}
	c.Reached(9000)
	if changes := c.Tick(9000 + Grace - 1); len(changes) != 0 {
		t.Fatalf("within the second grace: %+v", changes)
	}
	if changes := c.Tick(9000 + Grace); len(changes) != 1 {
		t.Fatalf("after the second grace: %+v", changes)
	}
}

// TestUnusedChange tells an entry that changed in what is not used from others,
// and orders its removal behind that change.
func TestUnusedChange(t *testing.T) {
	c := &Census{}
	c.Put(0, entry("a", 8))
	if changes := c.Put(0, entry("a", 9)); len(changes) != 1 || !changes[0].Unchanged {
		t.Errorf("changes %+v", changes)
	}
	if changes := c.Remove(0, "a", 9); len(changes) != 1 || changes[0].Revision != 9 || changes[0].Unchanged {
		t.Errorf("removal %+v", changes)
	}
}

// TestListTellsAll returns entries that were known: another instance may have
// given them up in an outage and have ended before it read them again.
func TestListTellsAll(t *testing.T) {
	c := &Census{}
	c.List(0, []Entry{entry("a", 8)}, 8)
	c.Fail()
	if changes := c.List(5000, []Entry{entry("a", 8)}, 20); len(changes) != 1 || changes[0].State != grcontrol.Live {
		t.Errorf("changes %+v", changes)
	}
}

// TestRest gives up no searcher while others watch the list.
func TestRest(t *testing.T) {
	c := &Census{}
	c.List(0, []Entry{entry("a", 1)}, 1)
	c.Fail()
	c.List(1000, nil, 5)
	c.Rest()
	if changes := c.Tick(1000 + 2*Grace); len(changes) != 0 {
		t.Errorf("changes %+v", changes)
	}
}

// TestLateRead changes nothing that a later revision changed.
func TestLateRead(t *testing.T) {
	c := &Census{}
	c.Put(0, entry("a", 8))
	if changes := c.Put(0, entry("a", 7)); len(changes) != 0 {
		t.Errorf("older entry: %+v", changes)
	}
	if changes := c.Remove(0, "a", 6); len(changes) != 0 {
		t.Errorf("older removal: %+v", changes)
	}
}

// A searcher whose entry lapsed in an outage is kept, and gone when it does not
// come back.
func Example() {
	c := &Census{}
	c.List(0, []Entry{entry("a", 1)}, 1)
	c.Fail()
	fmt.Println(len(c.List(1000, nil, 2)), len(c.Tick(1000+Grace)))
	// Output: 0 1
}
