package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"syscall"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/standin/grstanddemo"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grclient"
	"geraniumrouter/transport/grgroup"
)

// Parameters of the measurement over real connections.
const (
	wirePort        = 28000
	wireCallers     = 8
	wireServiceTime = 4 * grclock.Millisecond
)

// measureWire runs a deployment in this process and measures the latency of queries and the
// CPU time per sub-request, including that of the callers and searchers.
func measureWire(w io.Writer, queries int) error {
	clock := grclock.System()
	cluster := &grstanddemo.Cluster{Deployment: grstanddata.Kinoko(), Port: wirePort, MedianSearchTime: wireServiceTime, Clock: clock}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	cluster.Start(ctx)
	if err := grstanddemo.Prepare(ctx, cluster); err != nil {
		return err
	}
	before := cpuTime()
	start := clock.Now()
	latencies, complete, err := runQueries(ctx, cluster, queries)
	if err != nil {
		return err
	}
	cpuUsed, elapsed := cpuTime()-before, clock.Now()-start
	services := cluster.Deployment.Collections[0].Services
	subRequests := float64(len(latencies) * services)
	slices.Sort(latencies)
	quantile := func(q float64) grclock.Millis { return latencies[int(q*float64(len(latencies)-1))] }
	fmt.Fprintf(w, "%d queries of %d sub-requests in %d ms\n", len(latencies), services, elapsed)
	fmt.Fprintf(w, "answered whole: %d\n", complete)
	fmt.Fprintf(w, "p50 %d ms, p99 %d ms, p99.9 %d ms\n", quantile(0.5), quantile(0.99), quantile(0.999))
	fmt.Fprintf(w, "processor time for a sub-request, callers and searchers included: %.1f µs\n", cpuUsed/subRequests)
	return cluster.Stop()
}

// runQueries sends the queries from several concurrent callers. It returns the latencies and
// the number of complete answers.
func runQueries(ctx context.Context, cluster *grstanddemo.Cluster, queries int) ([]grclock.Millis, int64, error) {
	var complete atomic.Int64
	group := grgroup.New(ctx)
	lists := make([][]grclock.Millis, wireCallers)
	for i := range lists {
		group.Start(func(ctx context.Context) error {
			client := &grclient.Client{Clock: cluster.Clock, Seeds: []grident.Address{cluster.Layout().CallerAddress(i % grstanddemo.EntryCount)}}
			for range queries / wireCallers {
				start := cluster.Clock.Now()
				answer, err := client.Query(ctx, grwire.QueryRequest{Collection: string(cluster.Deployment.Collections[0].Collection), DeadlineMS: 1000})
				if err != nil {
					return err
				}
				if answer.Outcome == "done" {
					complete.Add(1)
				}
				lists[i] = append(lists[i], cluster.Clock.Now()-start)
			}
			return nil
		})
	}
	err := group.Wait()
	return slices.Concat(lists...), complete.Load(), err
}

// cpuTime returns the user and system CPU time that this process has used, in
// microseconds.
func cpuTime() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	micros := func(t syscall.Timeval) float64 { return float64(t.Sec)*1e6 + float64(t.Usec) }
	return micros(usage.Utime) + micros(usage.Stime)
}
