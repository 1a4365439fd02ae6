package gradmission

import (
	"testing"

	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
)

// TestGuaranteedShares checks that a collection with recent queries keeps its share of
// the limit when another collection sends more than its own.
func TestGuaranteedShares(t *testing.T) {
	g := Controller{MaxInFlight: 100}
	admit := func(c grident.Collection, n int) (admitted int) {
		for range n {
			if g.Admit(0, c, 10, 0, 100) == "" {
				admitted++
			}
		}
		return admitted
	}
	admit("small", 1)
	if n := admit("greedy", 1000); n != 50 {
		t.Errorf("the greedy collection had %d of 1000 queries admitted, want 50", n)
	}
	if n := admit("small", 1000); n != 49 {
		t.Errorf("the small collection had %d more queries admitted, want 49", n)
	}
	if g.InFlight() != 100 {
		t.Errorf("%d in flight, want 100", g.InFlight())
	}
}

// TestIdleShareIsLent checks that a collection gets the whole limit when no other has
// had a recent query.
func TestIdleShareIsLent(t *testing.T) {
	g := Controller{MaxInFlight: 100}
	g.Admit(0, "early", 10, 0, 100)
	g.Release("early")
	admitted := 0
	for range 200 {
		if g.Admit(2*activeWindow, "late", 10, 0, 100) == "" {
			admitted++
		}
	}
	if admitted != 100 {
		t.Errorf("%d queries admitted, want 100", admitted)
	}
}

// TestEarlyRejection checks that a query that is not expected to finish within its
// deadline is rejected.
func TestEarlyRejection(t *testing.T) {
	g := Controller{MaxInFlight: 100}
	if code := g.Admit(0, "c", 1, 80, 100); code != grerror.Overloaded {
		t.Errorf("code %q, want overloaded", code)
	}
	if code := g.Admit(0, "c", 1, 0, 0); code != grerror.DeadlineTooShort {
		t.Errorf("code %q, want deadline_too_short", code)
	}
	if g.InFlight() != 0 {
		t.Errorf("%d in flight after rejections, want 0", g.InFlight())
	}
}
