package grdispatch

import (
	"testing"

	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
)

// TestReturnsThatCannotComeDelayOthers guards against a Retry-After that counts rejected callers which wait for less time than they are told.
func TestReturnsThatCannotComeDelayOthers(t *testing.T) {
	const now, longest = 10 * grclock.Second, 2 * grclock.Second
	limit := grratelimit.Statement{Kind: grratelimit.Limited, Rate: 1}
	var out Output
	d := &Dispatcher{Policy: RoutePolicy()}
	d.Init()
	d.SetSearchers(now, []Searcher{{ID: "i-1", Slots: 2, ConnLimit: 2}}, &out)
	d.LearnRateLimit(now, "i-1", 0, limit, &out)
	grant := grratelimit.Grant{NextUnit: grclock.Second, Interval: grclock.Second, Statement: limit}
	d.HandleRateLimitGrant(now, &RateLimitGrant{Searcher: "i-1", AskedAt: now, Grant: grant}, &out)
	told := grclock.Millis(0)
	for range 30 {
		told = d.ReserveReturn(now, longest)
	}
	if told != longest+grclock.Second {
		t.Errorf("the last of 30 callers is told %d ms, want the unit after the %d ms that callers wait", told, longest)
	}
}
