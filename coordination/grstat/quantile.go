// Package grstat keeps the small running statistics that decisions rest on:
// quantiles of recent latencies, budgets of extra work, and decaying means.
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
	buckets      = 96   // geometric buckets of latency
	bucketRatio  = 1.12 // upper bound ÷ upper bound of the one before
	decayEvery   = 1024 // samples between two halvings of the old ones
	refreshEvery = 32   // samples between two computations of a quantile
)

// upper holds the upper bound of each bucket in milliseconds.
var upper = func() (bounds [buckets]float64) {
	bound := 1.0
	for i := range bounds {
		bounds[i] = bound
		bound *= bucketRatio
	}
	return bounds
}()

// Quantile estimates one quantile of recent spans. The zero value has seen
// none. It never allocates.
type Quantile struct {
	counts [buckets]uint32
	total  uint32
	added  uint32
	cached grclock.Millis
	stale  uint32
}

// Add takes a sample.
func (q *Quantile) Add(span grclock.Millis) {
	q.counts[bucketOf(span)]++
	q.total++
	q.added++
	q.stale++
	if q.added >= decayEvery {
		q.halve()
	}
}

// Count returns the weight of the samples kept.
func (q *Quantile) Count() int { return int(q.total) }

// At returns the span that the given share of the samples do not exceed, or 0
// without samples. The share must be the same in every call, since results are
// cached for a few samples.
func (q *Quantile) At(share float64) grclock.Millis {
	if q.total == 0 {
		return 0
	}
	if q.cached == 0 || q.stale >= refreshEvery || q.total < refreshEvery {
		q.cached = q.compute(share)
		q.stale = 0
	}
	return q.cached
}

func (q *Quantile) compute(share float64) grclock.Millis {
	want := uint32(math.Ceil(share * float64(q.total)))
	seen := uint32(0)
	for i, n := range q.counts {
		seen += n
		if seen >= want {
			return grclock.Millis(math.Ceil(upper[i]))
		}
	}
	return grclock.Millis(upper[buckets-1])
}

func (q *Quantile) halve() {
	q.total, q.added = 0, 0
	for i := range q.counts {
		q.counts[i] /= 2
		q.total += q.counts[i]
	}
}

func bucketOf(span grclock.Millis) int {
	if span <= 1 {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(span)) / math.Log(bucketRatio)))
	return min(i, buckets-1)
}
