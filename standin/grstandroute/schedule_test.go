package grstandroute

import (
	"flag"
	"testing"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

var (
	schedules            = flag.Int("schedules", 60, "number of random fault schedules")
	maxAttemptsSchedules = flag.Int("allowances", 1000, "number of short random schedules of faults at owners")
)

// TestSchedules checks the invariants under random mixes of faults, with and
// without delegation.
func TestSchedules(t *testing.T) {
	for seed := range uint64(*schedules) {
		c := mixedFaults(seed)
		if report := Run(c); len(report.Violations) > 0 {
			t.Fatalf("seed %d: %+v: violations %v", seed, c, report.Violations)
		}
	}
}

// mixedFaults draws a run with a mix of faults.
func mixedFaults(seed uint64) Config {
	random := grident.Random{State: seed}
	c := Config{Seed: seed, Duration: 6 * grclock.Second, Instances: 2 + random.IntN(7), Shards: 5 + random.IntN(30)}
	c.Searchers = 2 + random.IntN(2)
	c.NoDelegation = random.IntN(4) == 0
	if random.IntN(2) == 0 {
		c.SearcherPause = 100
	}
	if random.IntN(3) == 0 {
		c.SlowShare = 0.15
	}
	if random.IntN(2) == 0 {
		c.LostShare, c.FailedShare = 0.05*random.Float64(), 0.05*random.Float64()
	}
	if random.IntN(3) == 0 {
		c.InstancePause = grclock.Millis(50 + random.IntN(900))
	}
	c.KillInstance = random.IntN(4) == 0
	if random.IntN(3) == 0 {
		c.PeerDelay = grclock.Millis(20 + random.IntN(400))
	}
	return c
}

// TestMaxAttempts checks that no request runs on more searchers of a shard than its
// route allows while owners are late, paused, killed or slow, so that the
// requesting instance may bypass an owner that is still working.
func TestMaxAttempts(t *testing.T) {
	ran := 0
	for seed := range uint64(*maxAttemptsSchedules) {
		report := Run(ownerFaults(seed))
		if len(report.Violations) > 0 {
			t.Fatalf("seed %d: %+v: violations %v", seed, ownerFaults(seed), report.Violations)
		}
		ran += report.ExtraAttempts
	}
	if ran == 0 {
		t.Error("no sub-request had an extra attempt, so that nothing was checked")
	}
}

// ownerFaults draws a short run in which messages from owners come late or never.
func ownerFaults(seed uint64) Config {
	random := grident.Random{State: seed}
	return Config{
		Seed: seed, Duration: 2200, Interval: 40, Instances: 2 + random.IntN(5), Shards: 4 + random.IntN(5),
		Domains: 1 + random.IntN(4), Searchers: 2 + random.IntN(3), SearcherPause: 150, SearcherPauseGap: 300,
		PeerDelay: grclock.Millis(1 + random.IntN(600)), InstancePause: grclock.Millis(random.IntN(500)),
		SlowShare: 0.3 * random.Float64(), LostShare: 0.1 * random.Float64(), FailedShare: 0.1 * random.Float64(),
		KillInstance: random.IntN(3) == 0,
	}
}

// TestInjectedBugs checks that a violation is reported for each injected bug.
func TestInjectedBugs(t *testing.T) {
	for _, c := range []Config{
		{Seed: 1, Bug: LostReplyAsNotSent, LostShare: 0.2},
		{Seed: 1, Bug: NoExtraLimit, LostShare: 0.3, FailedShare: 0.4, SlowShare: 0.3},
		{Seed: 1, Bug: IgnoreReserved, Searchers: 3, Instances: 8, SearcherPause: 120, SearcherPauseGap: 500, InstancePause: 400, PeerDelay: 300},
	} {
		if report := Run(c); len(report.Violations) == 0 {
			t.Errorf("injected bug %d was not detected", c.Bug)
		}
	}
}

// TestSearcherPauses checks that hedges keep nearly all requests within the
// objective although searchers pause for longer than it, and that few attempts
// are extra.
func TestSearcherPauses(t *testing.T) {
	report := Run(Config{Seed: 3, SearcherPause: 120})
	t.Logf("%+v", report)
	if share := float64(report.InObjective) / float64(report.Requests); share < 0.98 {
		t.Errorf("%.3f of the requests within the objective, want at least 0.98", share)
	}
	if share := float64(report.ExtraAttempts) / float64(report.Attempts); share > 0.1 {
		t.Errorf("%.3f of the attempts are extra, want at most 0.1", share)
	}
}

// TestDelegationReducesCrossDomain checks that delegation at least halves the
// attempts between failure domains, and that hardly fewer requests are answered
// within the objective.
func TestDelegationReducesCrossDomain(t *testing.T) {
	with := Run(Config{Seed: 5, SearcherPause: 120, Instances: 8})
	without := Run(Config{Seed: 5, SearcherPause: 120, Instances: 8, NoDelegation: true})
	t.Logf("with %+v", with)
	t.Logf("without %+v", without)
	if 2*with.CrossDomain > without.CrossDomain {
		t.Errorf("%d cross-domain attempts with delegation, %d without", with.CrossDomain, without.CrossDomain)
	}
	if float64(with.InObjective) < 0.98*float64(without.InObjective) {
		t.Errorf("%d requests within the objective with delegation, %d without", with.InObjective, without.InObjective)
	}
}

// TestPausedOwner checks that requesting instances bypass an owner that is paused:
// most requests are still answered within the objective.
func TestPausedOwner(t *testing.T) {
	report := Run(Config{Seed: 7, InstancePause: 700, Instances: 8})
	t.Logf("%+v", report)
	if share := float64(report.InObjective) / float64(report.Requests); share < 0.8 {
		t.Errorf("%.3f of the requests within the objective, want at least 0.8", share)
	}
}

// TestElapsedBeforeSending checks that callers that used up some of the latency
// objective before they sent the request get a partial answer sooner if they
// state their remaining time: at most half as many answers are late, with
// hardly fewer partial results.
func TestElapsedBeforeSending(t *testing.T) {
	c := Config{Seed: 9, SearcherPause: 100, SearcherPauseGap: 1000, Objective: 60, Elapsed: 20, Instances: 8, Shards: 30}
	stated := Run(c)
	c.NoRemainingTime = true
	unstated := Run(c)
	t.Logf("stated %+v", stated)
	t.Logf("not stated %+v", unstated)
	if late, before := stated.Requests-stated.InObjective, unstated.Requests-unstated.InObjective; 2*late > before {
		t.Errorf("%d of %d not within the objective, %d if callers do not state their remaining time", late, stated.Requests, before)
	}
	if stated.Coverage < 0.98*unstated.Coverage {
		t.Errorf("%.3f of the partial results, %.3f if callers do not state their remaining time", stated.Coverage, unstated.Coverage)
	}
}

// TestRemainingTimeFromPeers checks that answers are better if instances inform
// each other of the remaining time of callers. Each instance receives too few
// requests of a route to learn the typical remaining time by itself.
func TestRemainingTimeFromPeers(t *testing.T) {
	c := Config{Seed: 9, Interval: 150, Objective: 60, Elapsed: 25, SearcherPause: 100, SearcherPauseGap: 1000, Instances: 24, Shards: 30, PeersReportRemaining: true}
	reported := Run(c)
	c.PeersReportRemaining = false
	checkBetter(t, reported, Run(c))
}

// checkBetter checks that answers are clearly better with a feature than without:
// at most half as many are late, and the score is at least a tenth higher.
func checkBetter(t *testing.T, with, without Report) {
	t.Helper()
	t.Logf("with %+v", with)
	t.Logf("without %+v", without)
	if late, before := with.Requests-with.InObjective, without.Requests-without.InObjective; 2*late > before {
		t.Errorf("%d of %d not within the objective, %d without the feature", late, with.Requests, before)
	}
	if with.Score < 1.1*without.Score {
		t.Errorf("score %.3f, %.3f without the feature", with.Score, without.Score)
	}
}

// TestReplyTimeDividesShards checks that more requests are answered within the
// objective if routers know the processing time of a partial result. They then
// divide the shards of a failure domain among several owners, so that no
// instance becomes a bottleneck.
func TestReplyTimeDividesShards(t *testing.T) {
	c := Config{Seed: 11, Instances: 16, Shards: 88, Domains: 4, Interval: 150, Objective: 80, SearcherPause: 100, ReplyTime: 2}
	divided := Run(c)
	c.ReplyTimeUnknown = true
	checkBetter(t, divided, Run(c))
}
