package grshare_test

import (
	"fmt"

	"geraniumrouter/coordination/grshare"
)

// An instance that has just started may hold no connections until every other instance
// counts it.
func ExampleView_AllowedDivisor() {
	a, b := grshare.Member{ID: "a", Incarnation: 1}, grshare.Member{ID: "b", Incarnation: 1}
	view := grshare.View{
		Self: b, Others: []grshare.Member{a}, OnMemberList: true, ListRead: true,
		Published: map[grshare.Member]grshare.PublishedDivisor{a: {Divisor: 1, CountedMembers: []grshare.Member{a}}},
		HasEnded:  func(grshare.Member) bool { return false },
	}
	fmt.Println(view.AllowedDivisor())
	view.Published[a] = grshare.PublishedDivisor{Divisor: 2, CountedMembers: []grshare.Member{a, b}}
	fmt.Println(view.AllowedDivisor())
	// Output:
	// 0
	// 2
}
