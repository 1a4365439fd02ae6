package grstat_test

import (
	"fmt"

	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
)

// Estimates a quantile of recent latencies and limits extra work to one unit in four.
func Example() {
	var latencies grstat.Quantile
	for i := range 100 {
		latencies.Add(grclock.Millis(10 + i/95*90))
	}
	budget := grstat.TokenBucket{Ratio: 0.25, Capacity: 2}
	for range 4 {
		budget.Credit(1)
	}
	fmt.Println(latencies.At(0.9) < 15, budget.Allow(1), budget.Allow(1))
	// Output: true true false
}
