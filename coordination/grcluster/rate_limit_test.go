package grcluster

import (
	"testing"

	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

func newRateLimitCluster(id grident.InstanceID) *Cluster {
	c := &Cluster{Self: Member{Member: grconnlimit.Member{ID: id, Incarnation: 1}}, UncoordinatedDivisor: true}
	c.Init(0, &Output{})
	return c
}

func rateLimit(run grident.Incarnation, kind grratelimit.StatementKind, rate grratelimit.Rate) RateLimit {
	return RateLimit{Service: "s1", Searcher: "i-1", Incarnation: run, Statement: grratelimit.Statement{Kind: kind, Rate: rate}}
}

// exchange passes the item of the rate limit from one instance to the other.
func exchange(from, to *Cluster, out *Output) {
	if item, ok := from.items.Get(rateLimitKey("i-1")); ok {
		to.runStep(0, out, func() { to.put(0, item.Key, item.Version, item.Value) })
	}
}

// TestRateLimitReplicated follows a limit through its changes at two instances.
func TestRateLimitReplicated(t *testing.T) {
	a, b := newRateLimitCluster("a"), newRateLimitCluster("b")
	now := grclock.Millis(0)
	for _, step := range []struct {
		at     *Cluster
		stated RateLimit
		want   grratelimit.Statement // known to both afterwards
	}{
		{a, rateLimit(5, grratelimit.Unlimited, 0), grratelimit.Statement{}},
		{a, rateLimit(5, grratelimit.Limited, 20), grratelimit.Statement{Kind: grratelimit.Limited, Rate: 20}},
		{b, rateLimit(5, grratelimit.Limited, 21), grratelimit.Statement{Kind: grratelimit.Limited, Rate: 20}},
		{b, rateLimit(5, grratelimit.Limited, 3), grratelimit.Statement{Kind: grratelimit.Limited, Rate: 3}},
		{a, rateLimit(5, grratelimit.Unlimited, 0), grratelimit.Statement{Kind: grratelimit.Unlimited}},
		{b, rateLimit(6, grratelimit.Limited, 7), grratelimit.Statement{Kind: grratelimit.Limited, Rate: 7}},
		{a, rateLimit(5, grratelimit.Limited, 9), grratelimit.Statement{Kind: grratelimit.Limited, Rate: 7}},
	} {
		now += rateLimitInterval
		step.at.SetRateLimit(now, step.stated, &Output{})
		exchange(a, b, &Output{})
		exchange(b, a, &Output{})
		for _, c := range []*Cluster{a, b} {
			if l, _ := c.RateLimitOf("i-1"); l.Statement != step.want {
				t.Errorf("%s knows %v after %v, want %v", c.Self.ID, l.Statement, step.stated.Statement, step.want)
			}
		}
	}
}

// TestRateLimitFloodsGossip guards against a message for each answer of a searcher whose limit changes all the time.
func TestRateLimitFloodsGossip(t *testing.T) {
	a := newRateLimitCluster("a")
	published := 0
	for now := grclock.Millis(0); now < 10*grclock.Second; now++ {
		var out Output
		a.SetRateLimit(now, rateLimit(5, grratelimit.Limited, grratelimit.Rate(1+now%7)), &out)
		published += len(out.RateLimits)
	}
	if published > 10 {
		t.Errorf("%d publications in 10 s, want at most one each second", published)
	}
}
