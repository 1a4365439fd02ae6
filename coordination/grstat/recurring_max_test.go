package grstat

import (
	"testing"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// TestRecurringMax checks that the timeout that most callers set is found although for
// many some of it elapsed before arrival and a few set longer ones.
func TestRecurringMax(t *testing.T) {
	var recurring RecurringMax
	if got := recurring.Value(); got != 0 {
		t.Errorf("got %d without samples, want 0", got)
	}
	random := grident.Random{State: 1}
	for range 500 {
		span := grclock.Millis(400)
		switch roll := random.Float64(); {
		case roll < 0.04:
			span = 3000 - grclock.Millis(random.IntN(10))
		case roll < 0.6:
			span = 386 - grclock.Millis(random.IntN(12))
		}
		recurring.Add(span)
	}
	if got := recurring.Value(); got != 400 {
		t.Errorf("largest recurring value is %d, want 400", got)
	}
}

// TestRecurringMaxFewSamples checks that the fallback is used before there are samples, and
// that few samples are enough to replace it.
func TestRecurringMaxFewSamples(t *testing.T) {
	var recurring RecurringMax
	recurring.SetFallback(390)
	recurring.SetFallback(0)
	if got := recurring.Value(); got != 390 {
		t.Errorf("got %d without samples, want the fallback 390", got)
	}
	for _, span := range []grclock.Millis{384, 400, 2994, 380, 400, 381, 400, 2996, 400} {
		recurring.Add(span)
	}
	if got := recurring.Value(); got != 400 {
		t.Errorf("largest recurring value is %d, want 400", got)
	}
	if got := recurring.LocalValue(); got != 400 {
		t.Errorf("largest recurring value without the fallback is %d, want 400", got)
	}
}
