package grstat

import (
	"math"
	"testing"

	"geraniumrouter/state/grclock"
)

// TestEventRate checks the estimate for a steady rate, and half of it one half-life later.
func TestEventRate(t *testing.T) {
	const halfLife = 300 * grclock.Millisecond
	var e EventRate
	if got := e.PerSecond(5000, halfLife); got != 0 {
		t.Errorf("%v events per second before the first", got)
	}
	for now := grclock.Millis(0); now < 5000; now += 10 {
		e.Add(now, 1, halfLife)
	}
	if got := e.PerSecond(5000, halfLife); math.Abs(got-100) > 2 {
		t.Errorf("%v events per second, want 100", got)
	}
	if got := e.PerSecond(5300, halfLife); math.Abs(got-50) > 1 {
		t.Errorf("%v events per second after a half-life, want 50", got)
	}
}
