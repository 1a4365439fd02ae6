package grshare_test

import (
	"fmt"

	"geraniumrouter/coordination/grshare"
)

// An instance that has just started may hold no connections until every other instance
// counts it.
func ExampleView_Allowed() {
	a, b := grshare.Member{ID: "a", Run: 1}, grshare.Member{ID: "b", Run: 1}
	view := grshare.View{
		Self: b, Others: []grshare.Member{a}, Registered: true, Read: true,
		Holdings: map[grshare.Member]grshare.Holding{a: {Divisor: 1, Counted: []grshare.Member{a}}},
		Ended:    func(grshare.Member) bool { return false },
	}
	fmt.Println(view.Allowed())
	view.Holdings[a] = grshare.Holding{Divisor: 2, Counted: []grshare.Member{a, b}}
	fmt.Println(view.Allowed())
	// Output:
	// 0
	// 2
}
