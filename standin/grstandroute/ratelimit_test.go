package grstandroute

import (
	"testing"

	"geraniumrouter/state/grclock"
)

// limitedFor is the time in which searchers state a rate limit in most tests.
func limitedFor(perSecond float64, shards, searchers int) RateLimit {
	return RateLimit{From: 4 * grclock.Second, Until: 20 * grclock.Second, PerSecond: perSecond, Shards: shards, Searchers: searchers}
}

// TestInstancesTogetherExceedStatedRateLimit guards against upstreams that get more than the limit that they state.
func TestInstancesTogetherExceedStatedRateLimit(t *testing.T) {
	for _, c := range []Config{
		{Seed: 1, RateLimits: []RateLimit{limitedFor(20, 1, 1)}},
		{Seed: 2, RateLimits: []RateLimit{limitedFor(8, 1, 2)}},
		{Seed: 3, RateLimits: []RateLimit{limitedFor(20, 20, 1)}},
		{Seed: 4, Instances: 30, Shards: 40, RateLimits: []RateLimit{limitedFor(3, 40, 1)}},
		{Seed: 5, Instances: 3, NoDelegation: true, RateLimits: []RateLimit{limitedFor(0.4, 3, 1)}},
	} {
		if report := Run(c); len(report.Violations) > 0 {
			t.Errorf("seed %d: %v", c.Seed, report.Violations)
		}
	}
}
