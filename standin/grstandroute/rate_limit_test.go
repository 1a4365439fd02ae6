package grstandroute

import (
	"testing"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
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
		report := Run(c)
		t.Logf("%+v", report)
		if len(report.Violations) > 0 {
			t.Errorf("seed %d: %v", c.Seed, report.Violations)
		}
	}
}

// TestRestartsExceedStatedRateLimit guards against units that two instances grant while their views of the members differ.
func TestRestartsExceedStatedRateLimit(t *testing.T) {
	for seed := range uint64(*schedules) {
		random := grident.Random{State: seed}
		c := Config{
			Seed: seed, Duration: 14 * grclock.Second, Instances: 3 + random.IntN(10), Shards: 8, NoDelegation: random.IntN(4) == 0,
			RestartEvery: grclock.Millis(1500 + random.IntN(3000)), PeerDelay: grclock.Millis(1 + random.IntN(100)),
			RateLimits: []RateLimit{{From: 3 * grclock.Second, Until: 14 * grclock.Second, PerSecond: 2 + 20*random.Float64(), Shards: 4, Searchers: 1}},
		}
		if report := Run(c); len(report.Violations) > 0 {
			t.Errorf("seed %d: %+v: %v", seed, c, report.Violations)
		}
	}
}

// TestRateLimitLosesAnswers guards against answers lost although the other searchers of a shard have no limit.
func TestRateLimitLosesAnswers(t *testing.T) {
	c := Config{Seed: 7, SearcherPause: 100}
	without := Run(c)
	c.RateLimits = []RateLimit{limitedFor(4, 20, 1)}
	with := Run(c)
	t.Logf("without %+v", without)
	t.Logf("with %+v", with)
	if with.Score < 0.97*without.Score {
		t.Errorf("score %.3f with limits, %.3f without", with.Score, without.Score)
	}
}

// TestLimitedShardDelaysAnswers guards against answers that wait for a shard whose searchers' limits permit it nothing in time.
func TestLimitedShardDelaysAnswers(t *testing.T) {
	c := Config{Seed: 8}
	without := Run(c)
	c.RateLimits = []RateLimit{limitedFor(3, 1, 2)}
	with := Run(c)
	t.Logf("without %+v", without)
	t.Logf("with %+v", with)
	if with.P50 > 2*without.P50 {
		t.Errorf("median %d ms with limits, %d ms without", with.P50, without.P50)
	}
}

// TestUninformedInstancesExceedStatedRateLimit guards against instances that only learn of a limit by a request beyond it.
func TestUninformedInstancesExceedStatedRateLimit(t *testing.T) {
	for seed := range uint64(5) {
		c := Config{
			Seed: seed, Instances: 80, NoDelegation: true, Interval: 150, Duration: 30 * grclock.Second,
			RateLimits: []RateLimit{{From: 4 * grclock.Second, Until: 30 * grclock.Second, PerSecond: 0.5, Shards: 20, Searchers: 1}},
		}
		if report := Run(c); len(report.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, report.Violations)
		}
	}
}

// TestLimitedRequestsWaitInVain guards against requests that wait until their deadline for searchers whose rate limits others
// use up, against callers that return after the stated time in vain, and against limits that stay unused meanwhile.
func TestLimitedRequestsWaitInVain(t *testing.T) {
	for _, c := range []struct {
		instances int
		interval  grclock.Millis
		perSecond float64
	}{{1, 100, 3}, {5, 100, 3}, {5, 50, 6}, {30, 100, 3}, {30, 100, 1}} {
		report := Run(Config{
			Seed: 9, Instances: c.instances, Interval: c.interval, OnlyOnce: true, CallersReturn: true, Duration: 40 * grclock.Second,
			RateLimits: []RateLimit{{From: 4 * grclock.Second, Until: 40 * grclock.Second, PerSecond: c.perSecond, Shards: 1, Searchers: 2}},
		})
		t.Logf("%+v", report)
		if timeout := 15 * grclock.Millis(100); report.SlowestNotRun > timeout/2 {
			t.Errorf("%+v: rejected after up to %d ms of %d", c, report.SlowestNotRun, timeout)
		}
		if 2*report.ReturnServed < report.Returned {
			t.Errorf("%+v: %d of %d returning callers served", c, report.ReturnServed, report.Returned)
		}
		if units := 2 * c.perSecond * 32; float64(report.Limited) < 0.8*units {
			t.Errorf("%+v: %d attempts of %.0f that the limits allow", c, report.Limited, units)
		}
	}
}
