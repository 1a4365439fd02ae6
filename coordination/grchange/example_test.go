package grchange_test

import (
	"fmt"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/state/grid"
)

// The outcome of a write whose reply was lost is determined by reading the object
// again.
func ExampleChange() {
	change := grchange.Change[string]{
		Deadline: 1000,
		Apply: func(current string, _ grid.Revision) grchange.Verdict[string] {
			return grchange.Verdict[string]{Settled: current == "mine", Next: "mine"}
		},
	}
	change.Start()
	step := change.Got(0, "theirs", 7)
	fmt.Println(step.Kind == grchange.Write, step.Next, step.Version)
	step = change.Wrote(5, grchange.Lost, 0)
	fmt.Println(step.Kind == grchange.Read)
	step = change.Got(20, "mine", 8)
	fmt.Println(step.Kind == grchange.Finish, step.End == grchange.Applied)
	// Output:
	// true mine 7
	// true
	// true true
}
