package grdrain_test

import (
	"fmt"

	"geraniumrouter/coordination/grdrain"
)

// The shutdown waits until cached entry lists have expired and no request is in
// flight.
func ExampleDrain() {
	drain := grdrain.Drain{TTL: 2000}
	drain.Start(0)
	fmt.Println(drain.Step(2400, 3))
	fmt.Println(drain.Step(2500, 3))
	fmt.Println(drain.Step(9000, 1))
	fmt.Println(drain.Step(9200, 0))
	fmt.Println(drain.Step(9500, 0))
	// Output:
	// leaving
	// refusing
	// refusing
	// closing
	// ended
}
