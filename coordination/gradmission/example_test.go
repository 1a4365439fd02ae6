package gradmission_test

import (
	"fmt"

	"geraniumrouter/coordination/gradmission"
)

// A query whose expected response time is too close to its deadline is rejected before
// any sub-request is sent.
func ExampleController() {
	controller := gradmission.Controller{MaxInFlight: 2}
	fmt.Printf("%q\n", controller.Admit(0, "dispatch", 10, 20, 300))
	fmt.Printf("%q\n", controller.Admit(0, "dispatch", 10, 290, 300))
	controller.Release("dispatch")
	fmt.Println(controller.InFlight())
	// Output:
	// ""
	// "overloaded"
	// 0
}
