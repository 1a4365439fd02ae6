package grstandbench

import (
	"context"
	"runtime"
	"sync/atomic"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/grclock"
	"geraniumrouter/transport/grgroup"
)

// NoHedge is the baseline without second copies, with a random searcher.
func NoHedge() grleaf.Policy {
	p := grleaf.DefaultPolicy()
	p.HedgeQuantile, p.AbandonRatio = 0, 0
	p.Choice, p.FixedWindow = grleaf.Random, true
	return p
}

// FixedHedge is the baseline with second copies after a fixed delay and
// searchers in turn.
func FixedHedge() grleaf.Policy {
	p := grleaf.DefaultPolicy()
	p.HedgeDelay, p.AbandonRatio = 30*grclock.Millisecond, 0
	p.Choice = grleaf.RoundRobin
	return p
}

// Each runs the function for 0 to n-1 on all cores and returns when all ended.
func Each(n int, do func(i int)) {
	var next atomic.Int64
	group := grgroup.New(context.Background())
	for range runtime.GOMAXPROCS(0) {
		group.Start(func(context.Context) error {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				do(i)
			}
			return nil
		})
	}
	_ = group.Wait() // The duties return no error.
}

// RunSeeds runs the config with several seeds and returns the means of the
// quantiles and shares and the sums of the counts.
func RunSeeds(c Config, seeds int) Report {
	reports := make([]Report, seeds)
	Each(seeds, func(i int) {
		own := c
		own.Seed = c.Seed*1000 + uint64(i) + 1
		reports[i] = Run(own)
	})
	var sum Report
	for i := range reports {
		sum.add(&reports[i])
	}
	sum.divide(seeds)
	return sum
}

func (r *Report) add(o *Report) {
	r.Asked += o.Asked
	r.Complete += o.Complete
	r.Partial += o.Partial
	r.NotRun += o.NotRun
	r.Unknown += o.Unknown
	r.P50 += o.P50
	r.P99 += o.P99
	r.P999 += o.P999
	r.RefusalP99 += o.RefusalP99
	r.Coverage += o.Coverage
	r.ExtraLoad += o.ExtraLoad
	r.Goodput += o.Goodput
	r.FalseNotRun += o.FalseNotRun
	r.MostConns = max(r.MostConns, o.MostConns)
	r.Violations = append(r.Violations, o.Violations...)
	r.Leaves.Add(&o.Leaves)
	r.Routers.Add(&o.Routers)
}

func (r *Report) divide(n int) {
	r.P50 /= grclock.Millis(n)
	r.P99 /= grclock.Millis(n)
	r.P999 /= grclock.Millis(n)
	r.RefusalP99 /= grclock.Millis(n)
	r.Coverage /= float64(n)
	r.ExtraLoad /= float64(n)
	r.Goodput /= float64(n)
}
