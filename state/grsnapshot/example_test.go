package grsnapshot_test

import (
	"fmt"

	"geraniumrouter/state/grsnapshot"
)

// Only shards that were merged count toward the coverage, each once.
func ExampleCoverage() {
	shards := []grsnapshot.Shard{
		{Range: grsnapshot.Range{From: 0, To: 60}, Service: "a"},
		{Range: grsnapshot.Range{From: 60, To: 80}, Service: "b"},
		{Range: grsnapshot.Range{From: 80, To: 100}, Service: "c"},
	}
	var cover grsnapshot.Coverage
	cover.Reset(shards)
	fmt.Println(cover.MarkMerged(0), cover.MarkMerged(0))
	fmt.Println(cover.Fraction(), cover.Missing())
	// Output:
	// true false
	// 0.6 [[60,100)]
}
