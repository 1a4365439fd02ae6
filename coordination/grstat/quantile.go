// Package grstat provides small running statistics for load balancing and load
// control: quantiles of recent latencies, token buckets for extra work, and moving
// averages.
//
//	var latencies grstat.Quantile
//	latencies.Add(12)
//	threshold := latencies.At(0.95)
package grstat

import (
	"math"

	"geraniumrouter/state/grclock"
)

const (
	buckets      = 96   // number of histogram buckets, with geometrically growing bounds
	bucketRatio  = 1.12 // upper bound ÷ upper bound of the previous bucket
	decayEvery   = 1024 // samples between two halvings of all counts
	refreshEvery = 32   // samples between two computations of the quantile
)

// upperBounds holds the upper bound of each bucket in milliseconds.
var upperBounds = func() (bounds [buckets]float64) {
	bound := 1.0
	for i := range bounds {
		bounds[i] = bound
		bound *= bucketRatio
	}
	return bounds
}()

// Quantile estimates one quantile of recent durations from a decaying histogram. The
// zero value has no samples. It never allocates.
type Quantile struct {
	counts       [buckets]uint32
	total        uint32
	sinceDecay   uint32
	cached       grclock.Millis
	sinceCompute uint32
}

// Add adds a sample.
func (q *Quantile) Add(sample grclock.Millis) {
	q.counts[bucketOf(sample)]++
	q.total++
	q.sinceDecay++
	q.sinceCompute++
	if q.sinceDecay >= decayEvery {
		q.halve()
	}
}

// Count returns the decayed number of samples.
func (q *Quantile) Count() int { return int(q.total) }

// At returns the duration that the given share of the samples do not exceed, or 0
// without samples. All calls must pass the same share, since the result is cached for
// a few samples.
func (q *Quantile) At(share float64) grclock.Millis {
	if q.total == 0 {
		return 0
	}
	if q.cached == 0 || q.sinceCompute >= refreshEvery || q.total < refreshEvery {
		q.cached = q.compute(share)
		q.sinceCompute = 0
	}
	return q.cached
}

func (q *Quantile) compute(share float64) grclock.Millis {
	rank := uint32(math.Ceil(share * float64(q.total)))
	seen := uint32(0)
	for i, n := range q.counts {
		seen += n
		if seen >= rank {
			return grclock.Millis(math.Ceil(upperBounds[i]))
		}
	}
	return grclock.Millis(upperBounds[buckets-1])
}

func (q *Quantile) halve() {
	q.total, q.sinceDecay = 0, 0
	for i := range q.counts {
		q.counts[i] /= 2
		q.total += q.counts[i]
	}
}

func bucketOf(sample grclock.Millis) int {
	if sample <= 1 {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(sample)) / math.Log(bucketRatio)))
	return min(i, buckets-1)
}
