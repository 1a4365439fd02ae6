package grpreset_test

import (
	"fmt"

	"geraniumrouter/state/grpreset"
)

// The active generation never decreases, whatever the order in which switches arrive.
func ExampleActiveRegister() {
	var register grpreset.ActiveRegister
	fmt.Println(register.SetIfNewer(grpreset.ActivePreset{Generation: 2}))
	fmt.Println(register.SetIfNewer(grpreset.ActivePreset{Generation: 1}))
	fmt.Println(register.Generation())
	// Output:
	// true
	// false
	// 2
}
