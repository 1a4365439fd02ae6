package grconnlimit_test

import (
	"fmt"

	"geraniumrouter/coordination/grconnlimit"
)

// An instance that has just started may hold no connections until every other instance
// counts it.
func ExampleView_AllowedDivisor() {
	a, b := grconnlimit.Member{ID: "a", Incarnation: 1}, grconnlimit.Member{ID: "b", Incarnation: 1}
	view := grconnlimit.View{
		Self: b, Others: []grconnlimit.Member{a}, OnMemberList: true, ListRead: true,
		Published: map[grconnlimit.Member]grconnlimit.PublishedDivisor{a: {Divisor: 1, CountedMembers: []grconnlimit.Member{a}}},
		HasEnded:  func(grconnlimit.Member) bool { return false },
	}
	fmt.Println(view.AllowedDivisor())
	view.Published[a] = grconnlimit.PublishedDivisor{Divisor: 2, CountedMembers: []grconnlimit.Member{a, b}}
	fmt.Println(view.AllowedDivisor())
	// Output:
	// 0
	// 2
}
