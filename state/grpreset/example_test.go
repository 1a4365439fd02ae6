package grpreset_test

import (
	"fmt"

	"geraniumrouter/state/grpreset"
)

// The generation in force never falls, whatever order switches come in.
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
