package grcas_test

import (
	"fmt"

	"geraniumrouter/coordination/grcas"
	"geraniumrouter/state/grident"
)

// The outcome of a write whose reply was lost is determined by reading the object
// again.
func ExampleUpdate() {
	update := grcas.Update[string]{
		Deadline: 1000,
		Apply: func(current string, _ grident.Revision) grcas.ApplyResult[string] {
			return grcas.ApplyResult[string]{AlreadyApplied: current == "mine", Next: "mine"}
		},
	}
	update.Start()
	step := update.ReadDone(0, "theirs", 7)
	fmt.Println(step.Kind == grcas.Write, step.Next, step.Version)
	step = update.WriteDone(5, grcas.WriteUnknown, 0)
	fmt.Println(step.Kind == grcas.Read)
	step = update.ReadDone(20, "mine", 8)
	fmt.Println(step.Kind == grcas.Finish, step.Outcome == grcas.Applied)
	// Output:
	// true mine 7
	// true
	// true true
}
