package grstat

import (
	"testing"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// TestBudgetRefillsOverTime checks that a budget permits some extra work over time
// where there is hardly any ordinary work, and none immediately after a start.
func TestBudgetRefillsOverTime(t *testing.T) {
	budget := GlobalLimit{Ratio: 0.2, Count: 200, Window: 10 * grclock.Second}.InstanceBudget(1.0 / 32)
	budget.Reconfigure(1, budget)
	if budget.Allow(1) {
		t.Error("budget permits a unit immediately after the start")
	}
	budget.Credit(1)
	if !budget.Allow(8000) {
		t.Error("budget denies a unit 8 s after the start")
	}
}

// TestGlobalLimit checks that the extra work of all instances stays within the limit in
// every window, even while instances restart.
func TestGlobalLimit(t *testing.T) {
	for seed := range uint64(200) {
		random := grident.Random{State: seed}
		limit := GlobalLimit{Ratio: 0.2, Count: 54, Window: 10 * grclock.Second}
		instances := 1 + random.IntN(12)
		budgets := make([]TokenBucket, instances)
		for i := range budgets {
			budgets[i] = limit.InstanceBudget(1 / float64(instances))
		}
		var spent, work []grclock.Millis
		for now := grclock.Millis(1); now < 40*grclock.Second; now += grclock.Millis(1 + random.IntN(60)) {
			i := random.IntN(instances)
			switch random.IntN(40) {
			case 0:
				budgets[i] = limit.InstanceBudget(1 / float64(instances))
			case 1, 2, 3, 4, 5:
				budgets[i].Credit(1)
				work = append(work, now)
			default:
				if budgets[i].Allow(now) {
					spent = append(spent, now)
				}
			}
		}
		for _, from := range spent {
			n := countWithin(spent, from, from+limit.Window)
			allowed := limit.Ratio*float64(countWithin(work, from-limit.Window, from+limit.Window)) + limit.Count
			if float64(n) > allowed {
				t.Fatalf("seed %d: %d extra units in the window from %d ms, allowed %.1f", seed, n, from, allowed)
			}
		}
	}
}

// TestRecentMax checks that a maximum is kept for the length of the window.
func TestRecentMax(t *testing.T) {
	var recent RecentMax
	for _, c := range []struct {
		now     grclock.Millis
		n, want int
	}{{0, 3, 3}, {10, 5, 5}, {20, 2, 5}, {109, 2, 5}, {110, 2, 2}, {120, 4, 4}} {
		if got := recent.Update(c.now, c.n, 100); got != c.want {
			t.Errorf("value %d at %d ms: maximum %d, want %d", c.n, c.now, got, c.want)
		}
	}
}

func countWithin(times []grclock.Millis, from, to grclock.Millis) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// TestFirstAllowAfterIdle guards against a refill that starts only at the first Allow:
// the clock starts at Reconfigure.
func TestFirstAllowAfterIdle(t *testing.T) {
	config := GlobalLimit{Ratio: 0.2, Count: 54, Window: 10 * grclock.Second}.InstanceBudget(0.2)
	var budget TokenBucket
	budget.Reconfigure(1, config)
	if !budget.Allow(11 * grclock.Second) {
		t.Error("budget denies a unit 11 s after the bucket was configured")
	}
}
