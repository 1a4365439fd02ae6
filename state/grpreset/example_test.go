package grpreset_test

import (
	"fmt"

	"geraniumrouter/state/grpreset"
)

// The active generation never decreases, whatever the order in which switches arrive.
func ExampleRegister() {
	var register grpreset.Register
	fmt.Println(register.Adopt(grpreset.Active{Generation: 2}))
	fmt.Println(register.Adopt(grpreset.Active{Generation: 1}))
	fmt.Println(register.Generation())
	// Output:
	// true
	// false
	// 2
}
