package grstandquery

import (
	"context"
	"runtime"
	"sync/atomic"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/transport/grgroup"
)

// NoHedgePolicy returns the baseline policy without hedges. It chooses searchers at
// random.
func NoHedgePolicy() grdispatch.Policy {
	p := grdispatch.DefaultPolicy()
	p.HedgeQuantile, p.CancelRatio = 0, 0
	p.LoadBalancing, p.FixedWindow = grdispatch.Random, true
	return p
}

// FixedHedgePolicy returns the baseline policy with hedges after a fixed delay of
// 30 ms. It chooses searchers in turn.
func FixedHedgePolicy() grdispatch.Policy {
	p := grdispatch.DefaultPolicy()
	p.HedgeDelay, p.CancelRatio = 30*grclock.Millisecond, 0
	p.LoadBalancing = grdispatch.RoundRobin
	return p
}

// ForEachParallel calls the function with 0 to n-1, in parallel on all cores,
// and returns when all calls have returned.
func ForEachParallel(n int, do func(i int)) {
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
	_ = group.Wait() // The goroutines return no error.
}

// RunSeeds runs a config with several seeds. In the result, quantiles and ratios
// are means, counts are sums, and PeakConns is the maximum.
func RunSeeds(c Config, seeds int) Report {
	reports := make([]Report, seeds)
	ForEachParallel(seeds, func(i int) {
		withSeed := c
		withSeed.Seed = c.Seed*1000 + uint64(i) + 1
		reports[i] = Run(withSeed)
	})
	var sum Report
	for i := range reports {
		sum.add(&reports[i])
	}
	sum.divide(seeds)
	return sum
}

func (r *Report) add(o *Report) {
	r.Queries += o.Queries
	r.Complete += o.Complete
	r.Partial += o.Partial
	r.NotRun += o.NotRun
	r.Unknown += o.Unknown
	r.P50 += o.P50
	r.P99 += o.P99
	r.P999 += o.P999
	r.NotRunP99 += o.NotRunP99
	r.Coverage += o.Coverage
	r.ExtraLoad += o.ExtraLoad
	r.Goodput += o.Goodput
	r.FalseNotRun += o.FalseNotRun
	r.PeakConns = max(r.PeakConns, o.PeakConns)
	r.Violations = append(r.Violations, o.Violations...)
	r.DispatcherCounters.Add(&o.DispatcherCounters)
	r.RouterCounters.Add(&o.RouterCounters)
}

func (r *Report) divide(n int) {
	r.P50 /= grclock.Millis(n)
	r.P99 /= grclock.Millis(n)
	r.P999 /= grclock.Millis(n)
	r.NotRunP99 /= grclock.Millis(n)
	r.Coverage /= float64(n)
	r.ExtraLoad /= float64(n)
	r.Goodput /= float64(n)
}
