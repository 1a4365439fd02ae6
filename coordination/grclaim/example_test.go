package grclaim_test

import (
	"fmt"

	"geraniumrouter/coordination/grcas"
	"geraniumrouter/coordination/grclaim"
)

// The first attempt is granted; a second one receives the recorded outcome of the
// first.
func ExamplePartition() {
	partition := grclaim.Partition{Window: 600_000}
	var ledger grclaim.Ledger
	attempt := func(token grclaim.Token) grclaim.Decision {
		partition.Claim(grclaim.Claim{ID: "3e8-pickup", Token: token})
		batch, _ := partition.Next(1000)
		ledger, _ = batch.Apply(ledger)
		return partition.Complete(batch, grcas.Applied, ledger)[0]
	}
	first := attempt("a-1")
	partition.QueueOutcome(grclaim.Outcome{Claim: first.Claim, State: grclaim.Done, Text: "assigned"})
	second := attempt("b-1")
	fmt.Println(first.Verdict == grclaim.Granted)
	fmt.Println(second.Verdict == grclaim.AlreadyClaimed, second.Entry.Text)
	// Output:
	// true
	// true assigned
}
