package grstat_test

import (
	"fmt"

	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
)

// A quantile of recent latencies, and a budget of one extra unit in four.
func Example() {
	var latencies grstat.Quantile
	for i := range 100 {
		latencies.Add(grclock.Millis(10 + i/95*90))
	}
	budget := grstat.Budget{Share: 0.25, Reserve: 2}
	for range 4 {
		budget.Earn(1)
	}
	fmt.Println(latencies.At(0.9) < 15, budget.Spend(1), budget.Spend(1))
	// Output: true true false
}
