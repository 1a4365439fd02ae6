package grcluster

import (
	"math"

	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// RateLimit is the rate limit that a run of a searcher states. It is replicated, so that an
// instance knows of it before it sends its first request.
type RateLimit struct {
	Service     grident.Service
	Searcher    grident.SearcherID
	Incarnation grident.Incarnation
	Statement   grratelimit.Statement
}

// Limits on the publication of rate limits.
const (
	// rateLimitTolerance is the relative change of a rate that is not published.
	rateLimitTolerance = 0.1
	// rateLimitInterval is the time between two publications for one searcher by one instance.
	rateLimitInterval = grclock.Second
)

// SetRateLimit publishes a rate limit that a searcher just stated, unless it is known
// already or another one was published shortly before.
func (c *Cluster) SetRateLimit(now grclock.Millis, l RateLimit, out *Output) {
	key := rateLimitKey(l.Searcher)
	held, known := c.items.Get(key)
	known = known && runOf(held.Version) == l.Incarnation
	if known && similarLimits(held.Value.RateLimit.Statement, l.Statement) || now < c.rateLimitsAt[l.Searcher]+rateLimitInterval {
		return
	}
	if !known && l.Statement.Kind != grratelimit.Limited {
		return
	}
	version := rateLimitVersion(l, 0)
	if known {
		version = rateLimitVersion(l, countOf(held.Version)+1)
	}
	c.rateLimitsAt[l.Searcher] = now
	c.runStep(now, out, func() { c.put(now, key, version, Value{Kind: RateLimitKind, RateLimit: l}) })
}

// RateLimitOf returns the newest rate limit that was published for a searcher.
func (c *Cluster) RateLimitOf(id grident.SearcherID) (l RateLimit, ok bool) {
	item, ok := c.items.Get(rateLimitKey(id))
	return item.Value.RateLimit, ok
}

// rateLimitVersion returns the version of the nth change of a run's rate limit. Of two
// changes with the same number, a limit wins over none.
func rateLimitVersion(l RateLimit, n uint64) grgossip.Version {
	return versionOf(l.Incarnation, n, State(l.Statement.Kind))
}

func similarLimits(a, b grratelimit.Statement) bool {
	if a.Kind != b.Kind {
		return false
	}
	return math.Abs(float64(a.Rate-b.Rate)) <= rateLimitTolerance*float64(a.Rate)
}
