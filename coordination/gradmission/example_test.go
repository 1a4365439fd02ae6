package gradmission_test

import (
	"fmt"

	"geraniumrouter/coordination/gradmission"
)

// A query whose answer would come too late is refused before anything is sent.
func ExampleGate() {
	gate := gradmission.Gate{Max: 2}
	fmt.Printf("%q\n", gate.Admit(0, "dispatch", 10, 20, 300))
	fmt.Printf("%q\n", gate.Admit(0, "dispatch", 10, 290, 300))
	gate.Release("dispatch")
	fmt.Println(gate.InFlight())
	// Output:
	// ""
	// "overloaded"
	// 0
}
