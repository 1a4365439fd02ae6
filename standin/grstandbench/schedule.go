package grstandbench

import (
	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Schedule returns a small run whose faults are drawn from the seed: replies
// that are doubled, late, lost or cut, index versions and shard maps that
// change, and instances that pause.
func Schedule(seed uint64, plant Plant) Config {
	random := grid.Random{State: seed}
	maybe := func(p float64) float64 {
		if random.Below(2) == 0 {
			return 0
		}
		return p * random.Float()
	}
	span := func(low, high int) grclock.Millis {
		if random.Below(2) == 0 {
			return 0
		}
		return grclock.Millis(low + random.Below(high-low))
	}
	policy := grleaf.DefaultPolicy()
	policy.SilentLimit = 60
	return Config{
		Seed: random.Uint64(), Instances: 2, Services: 3, Searchers: 2, Slots: 2, ConnLimit: 2 + random.Below(10),
		Policy: policy, Load: 0.3 + 2*random.Float(), Queries: 12, Warmup: 1, Deadline: grclock.Millis(40 + random.Below(200)),
		MaxQueries: 20, Check: true, Plant: plant,
		Faults: Faults{
			Duplicate: maybe(0.5), Delay: maybe(0.5), DelayBy: grclock.Millis(random.Below(100)),
			Drop: maybe(0.2), Cut: maybe(0.2),
			Versions: span(5, 60), Repartition: span(5, 60), Pause: span(10, 80), PauseFor: grclock.Millis(random.Below(150)),
		},
	}
}
