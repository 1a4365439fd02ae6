package grstat

import (
	"testing"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// TestBudgetOfTime pays for some extra work where hardly any ordinary work comes
// by, and nothing right after a start.
func TestBudgetOfTime(t *testing.T) {
	budget := Bound{Share: 0.2, Count: 200, Window: 10 * grclock.Second}.Part(1.0 / 32)
	budget.SetTerms(1, budget)
	if budget.Spend(1) {
		t.Error("a budget that has just started paid")
	}
	budget.Earn(1)
	if !budget.Spend(8000) {
		t.Error("a budget paid nothing in 8 s")
	}
}

// TestBound keeps the extra work of all instances within the bound in every
// window, also while instances end and start anew.
func TestBound(t *testing.T) {
	for seed := range uint64(200) {
		random := grid.Random{State: seed}
		bound := Bound{Share: 0.2, Count: 54, Window: 10 * grclock.Second}
		members := 1 + random.Below(12)
		budgets := make([]Budget, members)
		for i := range budgets {
			budgets[i] = bound.Part(1 / float64(members))
		}
		var spent, work []grclock.Millis
		for now := grclock.Millis(1); now < 40*grclock.Second; now += grclock.Millis(1 + random.Below(60)) {
			i := random.Below(members)
			switch random.Below(40) {
			case 0:
				budgets[i] = bound.Part(1 / float64(members))
			case 1, 2, 3, 4, 5:
				budgets[i].Earn(1)
				work = append(work, now)
			default:
				if budgets[i].Spend(now) {
					spent = append(spent, now)
				}
			}
		}
		for _, from := range spent {
			n := in(spent, from, from+bound.Window)
			allowed := bound.Share*float64(in(work, from-bound.Window, from+bound.Window)) + bound.Count
			if float64(n) > allowed {
				t.Fatalf("seed %d: %d extra units from %d on, %.1f allowed", seed, n, from, allowed)
			}
		}
	}
}

// TestPeak remembers a greater number for a while.
func TestPeak(t *testing.T) {
	var peak Peak
	for _, c := range []struct {
		now     grclock.Millis
		n, want int
	}{{0, 3, 3}, {10, 5, 5}, {20, 2, 5}, {109, 2, 5}, {110, 2, 2}, {120, 4, 4}} {
		if got := peak.Note(c.now, c.n, 100); got != c.want {
			t.Errorf("%d at %d: %d, want %d", c.n, c.now, got, c.want)
		}
	}
}

func in(times []grclock.Millis, from, to grclock.Millis) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// TestFirstSpend pays for the first extra unit after a while without any: time
// counts from when the terms were set.
func TestFirstSpend(t *testing.T) {
	terms := Bound{Share: 0.2, Count: 54, Window: 10 * grclock.Second}.Part(0.2)
	var budget Budget
	budget.SetTerms(1, terms)
	if !budget.Spend(11 * grclock.Second) {
		t.Error("nothing is paid 11 s after the start")
	}
}
