package grstandquery

import (
	"testing"

	"geraniumrouter/state/grclock"
)

// Performance targets of queries, and the number of seeds of each measurement.
const (
	maxOfNoHedge        = 0.35 // p99 ÷ p99 without hedges
	maxOfNoStragglers   = 1.5  // p99 ÷ p99 without stragglers
	maxOfOracle         = 1.2  // p99 ÷ p99 with Config.Oracle
	maxExtraLoad        = 1.05
	minGoodput          = 0.9                // under overload
	minGoodputAfterLoss = 0.95               // after the loss of an instance
	maxLossRecovery     = 3 * grclock.Second // time until minGoodputAfterLoss must be reached
	seeds               = 6
)

// pairs returns a config with 20 services of 2 searchers with 2 slots; fours
// returns one with a single service of 4 searchers with 4 slots.
func pairs(s Stragglers) Config { return Config{Stragglers: s, Queries: 6000} }

func fours(s Stragglers) Config {
	return Config{Stragglers: s, Queries: 6000, Services: 1, Searchers: 4, Slots: 4, ConnLimit: 100, ConnectTime: 1}
}

// likeRestrepo returns the config with the network delay of the deployment
// "restrepo" and connection limits of at most 40, as that deployment has.
func likeRestrepo(c Config) Config {
	c.OneWay = 2
	c.ConnLimit = min(c.defaultConnLimit(), 40)
	return c
}

func (c Config) defaultConnLimit() int {
	c.setDefaults()
	return c.ConnLimit
}

func (r *Report) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%-10s p50 %d p99 %d p99.9 %d ms, coverage %.4f, extra load %.4f, goodput %.3f",
		name, r.P50, r.P99, r.P999, r.Coverage, r.ExtraLoad, r.Goodput)
}

func checkRatio(t *testing.T, what string, got, reference grclock.Millis, ratio float64) {
	t.Helper()
	if float64(got) > ratio*float64(reference) {
		t.Errorf("%s: %d ms, want at most %.2f times %d ms", what, got, ratio, reference)
	}
}

// checkStragglers measures a config and the baseline policies. It checks that all
// answers of the former are complete and that its extra load is limited.
func checkStragglers(t *testing.T, c Config) (result, noHedge Report) {
	t.Helper()
	result = RunSeeds(c, seeds)
	baseline := c
	baseline.Policy = NoHedgePolicy()
	noHedge = RunSeeds(baseline, seeds)
	baseline.Policy = FixedHedgePolicy()
	fixed := RunSeeds(baseline, seeds)
	result.log(t, "default")
	noHedge.log(t, "no hedge")
	fixed.log(t, "fixed")
	if result.Coverage != 1 || result.Complete != result.Queries {
		t.Errorf("coverage %v, %d of %d answers complete, want all", result.Coverage, result.Complete, result.Queries)
	}
	if result.ExtraLoad > maxExtraLoad {
		t.Errorf("extra load %.4f, want at most %.2f", result.ExtraLoad, maxExtraLoad)
	}
	return result, noHedge
}

// TestRandomStragglersPairs checks the p99 latency against that without hedges
// while one search in 50 takes 20 times as long.
func TestRandomStragglersPairs(t *testing.T) {
	result, noHedge := checkStragglers(t, pairs(SlowAtRandom))
	checkRatio(t, "p99 against that without hedges", result.P99, noHedge.P99, maxOfNoHedge)
}

// TestRandomStragglersFours is TestRandomStragglersPairs with a single service.
func TestRandomStragglersFours(t *testing.T) {
	result, noHedge := checkStragglers(t, fours(SlowAtRandom))
	checkRatio(t, "p99 against that without hedges", result.P99, noHedge.P99, maxOfNoHedge)
}

// TestRandomStragglersRestrepo is both of these with the delays and connection
// limits of "restrepo".
func TestRandomStragglersRestrepo(t *testing.T) {
	for _, c := range []Config{likeRestrepo(pairs(SlowAtRandom)), likeRestrepo(fours(SlowAtRandom))} {
		result, noHedge := checkStragglers(t, c)
		checkRatio(t, "p99 against that without hedges", result.P99, noHedge.P99, maxOfNoHedge)
	}
}

// TestSlowSearchersRestrepo checks the p99 latency against those without hedges
// and without stragglers while one of 4 searchers is slow for 2 s at a time, with
// the delays and connection limits of "restrepo".
func TestSlowSearchersRestrepo(t *testing.T) {
	result, noHedge := checkStragglers(t, likeRestrepo(fours(SlowSearchers)))
	checkRatio(t, "p99 against that without hedges", result.P99, noHedge.P99, maxOfNoHedge)
	noStragglers := RunSeeds(likeRestrepo(fours(NoStragglers)), seeds)
	checkRatio(t, "p99 against that without stragglers", result.P99, noStragglers.P99, maxOfNoStragglers)
}

// TestSlowSearchersFours checks the p99 latency against that without hedges
// while one of 4 searchers is slow for 2 s at a time.
func TestSlowSearchersFours(t *testing.T) {
	result, noHedge := checkStragglers(t, fours(SlowSearchers))
	checkRatio(t, "p99 against that without hedges", result.P99, noHedge.P99, maxOfNoHedge)
}

// TestSlowSearchersFoursVsNoStragglers checks the p99 latency of the same
// stragglers against that without stragglers.
func TestSlowSearchersFoursVsNoStragglers(t *testing.T) {
	result, noStragglers := RunSeeds(fours(SlowSearchers), seeds), RunSeeds(fours(NoStragglers), seeds)
	checkRatio(t, "p99 against that without stragglers", result.P99, noStragglers.P99, maxOfNoStragglers)
}

// lowLoad is a load at which one searcher of a pair can do the work of both. At
// half of the capacity of the pair, the work takes all slots of one searcher, so
// that its queue grows without limit while the other is slow, whatever the policy.
const lowLoad = 0.25

// TestSlowSearchersPairs checks the p99 latency against that without hedges
// while one of the two searchers of a service is slow, so that half of the slots
// are left for the same work.
func TestSlowSearchersPairs(t *testing.T) {
	c := pairs(SlowSearchers)
	c.Load = lowLoad
	result, noHedge := checkStragglers(t, c)
	checkRatio(t, "p99 against that without hedges", result.P99, noHedge.P99, maxOfNoHedge)
}

// TestSlowSearchersPairsVsNoStragglers checks the p99 latency of the same
// stragglers against that without stragglers.
func TestSlowSearchersPairsVsNoStragglers(t *testing.T) {
	c := pairs(SlowSearchers)
	c.Load = lowLoad
	result := RunSeeds(c, seeds)
	c.Stragglers = NoStragglers
	noStragglers := RunSeeds(c, seeds)
	checkRatio(t, "p99 against that without stragglers", result.P99, noStragglers.P99, maxOfNoStragglers)
}

// TestSlowSearchersPairsVsOracle checks the p99 latency at half of the capacity
// against that of instances that know at once which searchers are slow. At this
// load, that is the best that a policy can achieve.
func TestSlowSearchersPairsVsOracle(t *testing.T) {
	c := pairs(SlowSearchers)
	result, _ := checkStragglers(t, c)
	c.Oracle = true
	oracle := RunSeeds(c, seeds)
	oracle.log(t, "oracle")
	checkRatio(t, "p99 against that of the oracle", result.P99, oracle.P99, maxOfOracle)
}

// TestOverload checks the goodput at up to four times the capacity, that queries
// beyond it are refused quickly, and the invariants.
func TestOverload(t *testing.T) {
	const deadline = 300
	for _, load := range []float64{0.5, 1, 2, 4} {
		r := RunSeeds(Config{Load: load, Deadline: deadline, Queries: 6000, CheckInvariants: true}, seeds)
		r.log(t, "load")
		if load > 1 && r.Goodput < minGoodput {
			t.Errorf("load %.1f: goodput %.3f, want at least %.2f", load, r.Goodput, minGoodput)
		}
		if r.NotRunP99 >= deadline/10 {
			t.Errorf("load %.1f: p99 latency of refused queries %d ms, want less than a tenth of the deadline", load, r.NotRunP99)
		}
		for _, v := range r.Violations {
			t.Errorf("load %.1f: %s", load, v)
		}
	}
}

// TestInstanceLost checks that the goodput recovers within maxLossRecovery
// after one of 5 instances is killed at twice the capacity, and the invariants.
func TestInstanceLost(t *testing.T) {
	const killAt = 8 * grclock.Second
	c := Config{Seed: 1, Load: 2, Deadline: 300, KillAt: killAt, Queries: 12000, CheckInvariants: true}
	r := Run(c)
	after := r.GoodputBetween(c, killAt+maxLossRecovery, killAt+maxLossRecovery+5*grclock.Second)
	t.Logf("goodput after the loss %.3f, at most %d connections to a searcher", after, r.PeakConns)
	if after < minGoodputAfterLoss {
		t.Errorf("goodput after the loss %.3f, want at least %.2f", after, minGoodputAfterLoss)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
}
