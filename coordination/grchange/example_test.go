package grchange_test

import (
	"fmt"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/state/grid"
)

// The outcome of a write whose reply was lost is determined by reading the object
// again.
func ExampleUpdate() {
	change := grchange.Update[string]{
		Deadline: 1000,
		Apply: func(current string, _ grid.Revision) grchange.ApplyResult[string] {
			return grchange.ApplyResult[string]{AlreadyApplied: current == "mine", Next: "mine"}
		},
	}
	change.Start()
	step := change.ReadDone(0, "theirs", 7)
	fmt.Println(step.Kind == grchange.Write, step.Next, step.Version)
	step = change.WriteDone(5, grchange.WriteUnknown, 0)
	fmt.Println(step.Kind == grchange.Read)
	step = change.ReadDone(20, "mine", 8)
	fmt.Println(step.Kind == grchange.Finish, step.Outcome == grchange.Applied)
	// Output:
	// true mine 7
	// true
	// true true
}
