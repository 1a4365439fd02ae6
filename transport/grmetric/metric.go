// Package grmetric gives metrics labels and writes them as text, one value a
// line, in the format that collectors of metrics read:
//
//	grmetric.Count(registry, "requests_total", "route", "r-1", "outcome", "done")
//	grmetric.Observe(registry, "request_ms", 12, "route", "r-1")
//	err := grmetric.Write(w, registry)
package grmetric

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/state/grclock"
)

// sampleSize is the number of latencies that the quantiles of one metric are
// drawn from: enough for the 99th percentile at 4 KB a metric.
const sampleSize = 512

// quantiles are those that are written of each latency.
var quantiles = []float64{0.5, 0.9, 0.99}

// Name returns the name of a metric with labels, given as names and values in
// turn.
func Name(base string, labels ...string) string {
	if len(labels) == 0 {
		return base
	}
	var b strings.Builder
	b.WriteString(base)
	for i := 0; i+1 < len(labels); i += 2 {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		b.WriteString(separator + labels[i] + "=" + strconv.Quote(labels[i+1]))
	}
	b.WriteString("}")
	return b.String()
}

// Count adds one to a counter.
func Count(registry metrics.Registry, base string, labels ...string) {
	metrics.GetOrRegisterCounter(Name(base, labels...), registry).Inc(1)
}

// Set sets a gauge.
func Set(registry metrics.Registry, value int64, base string, labels ...string) {
	metrics.GetOrRegisterGauge(Name(base, labels...), registry).Update(value)
}

// Observe adds a latency, in milliseconds.
func Observe(registry metrics.Registry, base string, span grclock.Millis, labels ...string) {
	made := registry.GetOrRegister(Name(base, labels...), newHistogram)
	if h, ok := made.(metrics.Histogram); ok {
		h.Update(int64(span))
	}
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
}

// Write writes all metrics, in the order of their names.
func Write(w io.Writer, registry metrics.Registry) error {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, line(name, float64(m.Count())))
		case metrics.Gauge:
			lines = append(lines, line(name, float64(m.Value())))
		case metrics.Histogram:
			lines = append(lines, summary(name, m.Snapshot())...)
		}
	})
	slices.Sort(lines)
	out := bufio.NewWriter(w)
	for _, l := range lines {
		out.WriteString(l) // A bufio.Writer keeps its first error for Flush.
	}
	return out.Flush()
}

func line(name string, value float64) string {
	return fmt.Sprintf("%s %s\n", name, strconv.FormatFloat(value, 'g', -1, 64))
}

// summary writes the quantiles, the number and the sum of latencies.
func summary(name string, h metrics.Histogram) []string {
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	of := func(suffix, more string) string {
		joined := strings.Trim(labels+","+more, ",")
		if joined == "" {
			return base + suffix
		}
		return base + suffix + "{" + joined + "}"
	}
	lines := []string{
		line(of("_count", ""), float64(h.Count())),
		line(of("_sum", ""), h.Mean()*float64(h.Count())),
	}
	for i, value := range h.Percentiles(quantiles) {
		label := fmt.Sprintf("quantile=\"%v\"", quantiles[i])
		lines = append(lines, line(of("", label), value))
	}
	return lines
}
