package gradmission

import (
	"testing"

	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
)

// TestShares keeps a share for each collection that is asked lately.
func TestShares(t *testing.T) {
	g := Gate{Max: 100}
	admit := func(c grid.Collection, n int) (taken int) {
		for range n {
			if g.Admit(0, c, 10, 0, 100) == "" {
				taken++
			}
		}
		return taken
	}
	admit("small", 1)
	if n := admit("greedy", 1000); n != 50 {
		t.Errorf("the greedy collection got %d of 100, want 50", n)
	}
	if n := admit("small", 1000); n != 49 {
		t.Errorf("the small collection got %d more, want 49", n)
	}
	if g.InFlight() != 100 {
		t.Errorf("%d in flight, want 100", g.InFlight())
	}
}

// TestBorrow gives all room to a collection that is asked alone.
func TestBorrow(t *testing.T) {
	g := Gate{Max: 100}
	g.Admit(0, "early", 10, 0, 100)
	g.Release("early")
	taken := 0
	for range 200 {
		if g.Admit(2*activeFor, "late", 10, 0, 100) == "" {
			taken++
		}
	}
	if taken != 100 {
		t.Errorf("got %d of 100", taken)
	}
}

// TestEarlyRefusal refuses what would not be answered in time.
func TestEarlyRefusal(t *testing.T) {
	g := Gate{Max: 100}
	if code := g.Admit(0, "c", 1, 80, 100); code != grfault.Overloaded {
		t.Errorf("code %q", code)
	}
	if code := g.Admit(0, "c", 1, 0, 0); code != grfault.DeadlineTooShort {
		t.Errorf("code %q", code)
	}
	if g.InFlight() != 0 {
		t.Errorf("%d in flight after refusals", g.InFlight())
	}
}
