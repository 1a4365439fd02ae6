package grratelimit_test

import (
	"fmt"

	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
)

// An upstream states that it takes 2 requests per second. The instance that allocates the
// limit grants its units as they accrue.
func Example() {
	allowance, allocator := grratelimit.Allowance{}, grratelimit.Allocator{}
	allowance.State(0, grratelimit.Statement{Kind: grratelimit.Limited, Rate: 2})
	sent := 0
	for now := grclock.Millis(0); now < 5*grclock.Second; now += 100 {
		allowance.Want(now)
		if request, ok := allowance.Ask(now, true); ok {
			allowance.Granted(now, now, allocator.Grant(now, "entry-1", request, 1))
		}
		if allowance.Permits(now) {
			allowance.Use(now)
			sent++
		}
	}
	fmt.Println(sent, "requests in 5 s")
	// Output: 8 requests in 5 s
}
