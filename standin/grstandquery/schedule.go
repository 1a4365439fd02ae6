package grstandquery

import (
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Schedule returns a small run whose faults are drawn from the seed: replies that
// are duplicated, delayed, dropped or replaced by the end of the connection, new
// index versions and shard maps, and pauses of instances.
func Schedule(seed uint64, bug Bug) Config {
	random := grident.Random{State: seed}
	probability := func(p float64) float64 {
		if random.IntN(2) == 0 {
			return 0
		}
		return p * random.Float64()
	}
	interval := func(low, high int) grclock.Millis {
		if random.IntN(2) == 0 {
			return 0
		}
		return grclock.Millis(low + random.IntN(high-low))
	}
	policy := grdispatch.DefaultPolicy()
	policy.UnresponsiveTimeout = 60
	return Config{
		Seed: random.Uint64(), Instances: 2, Services: 3, Searchers: 2, Slots: 2, ConnLimit: 2 + random.IntN(10),
		Policy: policy, Load: 0.3 + 2*random.Float64(), Queries: 12, Warmup: 1, Deadline: grclock.Millis(40 + random.IntN(200)),
		MaxQueries: 20, CheckInvariants: true, Bug: bug,
		Faults: Faults{
			Duplicate: probability(0.5), Delay: probability(0.5), MaxDelay: grclock.Millis(random.IntN(100)),
			Drop: probability(0.2), Disconnect: probability(0.2),
			IndexInterval: interval(5, 60), MapInterval: interval(5, 60), PauseInterval: interval(10, 80), PauseTime: grclock.Millis(random.IntN(150)),
		},
	}
}
