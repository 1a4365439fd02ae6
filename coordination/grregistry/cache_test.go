package grregistry

import (
	"fmt"
	"testing"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

func entry(id grident.SearcherID, at grident.Revision) Entry {
	e := Entry{Revision: at}
	e.ID = id
	return e
}

// TestRemovalWithoutOutage checks that a removal takes effect immediately when there
// was no outage.
func TestRemovalWithoutOutage(t *testing.T) {
	c := &Cache{}
	c.Replace(0, []Entry{entry("a", 1), entry("b", 2)}, 2)
	changes := c.Remove(1000, "a", 3)
	if len(changes) != 1 || changes[0].State != grcluster.Gone || changes[0].Revision != 3 {
		t.Fatalf("changes: %+v, want one removal at revision 3", changes)
	}
}

// TestExpiredDuringOutage checks that searchers whose entries expired during an outage
// are kept for the grace period, so that they can register again.
func TestExpiredDuringOutage(t *testing.T) {
	c := &Cache{}
	c.Replace(0, []Entry{entry("a", 1), entry("b", 2)}, 2)
	c.ReadFailed()
	const recovered = 20 * grclock.Second
	if changes := c.Replace(recovered, nil, 9); len(changes) != 0 {
		t.Fatalf("right after the outage: %+v", changes)
	}
	c.Put(recovered+1000, entry("a", 10))
	if changes := c.ExpireMissing(recovered + GracePeriod - 1); len(changes) != 0 {
		t.Fatalf("within the grace period: %+v", changes)
	}
	changes := c.ExpireMissing(recovered + GracePeriod)
	if len(changes) != 1 || changes[0].ID != "b" || changes[0].State != grcluster.Gone {
		t.Fatalf("after the grace period: %+v", changes)
	}
}

// TestSecondOutage checks that a second outage restarts the grace period.
func TestSecondOutage(t *testing.T) {
	c := &Cache{}
	c.Replace(0, []Entry{entry("a", 1)}, 1)
	c.ReadFailed()
	c.Replace(1000, nil, 5)
	c.ReadFailed()
	if changes := c.ExpireMissing(1000 + GracePeriod); len(changes) != 0 {
		t.Fatalf("during the second outage: %+v", changes)
	}
	c.ReadSucceeded(9000)
	if changes := c.ExpireMissing(9000 + GracePeriod - 1); len(changes) != 0 {
		t.Fatalf("within the second grace period: %+v", changes)
	}
	if changes := c.ExpireMissing(9000 + GracePeriod); len(changes) != 1 {
		t.Fatalf("after the second grace period: %+v", changes)
	}
}

// TestChangeOfUnusedFields checks that a change of unused fields alone is reported as
// Unchanged, and that it still advances the entry's revision: a removal at that
// revision applies.
func TestChangeOfUnusedFields(t *testing.T) {
	c := &Cache{}
	c.Put(0, entry("a", 8))
	if changes := c.Put(0, entry("a", 9)); len(changes) != 1 || !changes[0].Unchanged {
		t.Errorf("changes: %+v, want one marked as unchanged", changes)
	}
	if changes := c.Remove(0, "a", 9); len(changes) != 1 || changes[0].Revision != 9 || changes[0].Unchanged {
		t.Errorf("changes: %+v, want one removal at revision 9", changes)
	}
}

// TestReplaceReturnsAllEntries checks that Replace also returns entries already cached:
// another instance may have reported them gone during an outage and have stopped before
// it read them again.
func TestReplaceReturnsAllEntries(t *testing.T) {
	c := &Cache{}
	c.Replace(0, []Entry{entry("a", 8)}, 8)
	c.ReadFailed()
	if changes := c.Replace(5000, []Entry{entry("a", 8)}, 20); len(changes) != 1 || changes[0].State != grcluster.Live {
		t.Errorf("changes: %+v, want one live entry", changes)
	}
}

// TestDiscardPendingRemovals checks that no searcher is reported gone after other
// instances have taken over watching the list.
func TestDiscardPendingRemovals(t *testing.T) {
	c := &Cache{}
	c.Replace(0, []Entry{entry("a", 1)}, 1)
	c.ReadFailed()
	c.Replace(1000, nil, 5)
	c.DiscardPendingRemovals()
	if changes := c.ExpireMissing(1000 + 2*GracePeriod); len(changes) != 0 {
		t.Errorf("changes: %+v, want none", changes)
	}
}

// TestOutdatedRead checks that reads of an older revision do not override a newer one.
func TestOutdatedRead(t *testing.T) {
	c := &Cache{}
	c.Put(0, entry("a", 8))
	if changes := c.Put(0, entry("a", 7)); len(changes) != 0 {
		t.Errorf("older entry: %+v", changes)
	}
	if changes := c.Remove(0, "a", 6); len(changes) != 0 {
		t.Errorf("older removal: %+v", changes)
	}
}

// A searcher whose entry expired during an outage is kept for the grace period and
// reported gone if it does not register again.
func Example() {
	c := &Cache{}
	c.Replace(0, []Entry{entry("a", 1)}, 1)
	c.ReadFailed()
	fmt.Println(len(c.Replace(1000, nil, 2)), len(c.ExpireMissing(1000+GracePeriod)))
	// Output: 0 1
}
