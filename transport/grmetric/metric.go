// Package grmetric adds labels to go-metrics and writes metrics in the Prometheus text
// format, one value per line:
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

// sampleSize is the number of latencies sampled for the quantiles of one metric: enough
// for the 99th percentile, at 4 KB per metric.
const sampleSize = 512

// quantiles lists the quantiles written for each latency metric.
var quantiles = []float64{0.5, 0.9, 0.99}

// Name returns the name of a metric with its labels, which are given as alternating names
// and values.
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

// Count increments a counter by one.
func Count(registry metrics.Registry, base string, labels ...string) {
	metrics.GetOrRegisterCounter(Name(base, labels...), registry).Inc(1)
}

// Set sets a gauge.
func Set(registry metrics.Registry, value int64, base string, labels ...string) {
	metrics.GetOrRegisterGauge(Name(base, labels...), registry).Update(value)
}

// SetFraction sets a gauge with a value that need not be whole.
func SetFraction(registry metrics.Registry, value float64, base string, labels ...string) {
	metrics.GetOrRegisterGaugeFloat64(Name(base, labels...), registry).Update(value)
}

// Observe records a latency, in milliseconds.
func Observe(registry metrics.Registry, base string, latency grclock.Millis, labels ...string) {
	metric := registry.GetOrRegister(Name(base, labels...), newHistogram)
	if h, ok := metric.(metrics.Histogram); ok {
		h.Update(int64(latency))
	}
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
}

// Write writes all metrics as text, with the lines sorted.
func Write(w io.Writer, registry metrics.Registry) error {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, formatLine(name, float64(m.Count())))
		case metrics.Gauge:
			lines = append(lines, formatLine(name, float64(m.Value())))
		case metrics.GaugeFloat64:
			lines = append(lines, formatLine(name, m.Value()))
		case metrics.Histogram:
			lines = append(lines, formatSummary(name, m.Snapshot())...)
		}
	})
	slices.Sort(lines)
	out := bufio.NewWriter(w)
	for _, l := range lines {
		out.WriteString(l) // bufio.Writer returns its first error from Flush.
	}
	return out.Flush()
}

func formatLine(name string, value float64) string {
	return fmt.Sprintf("%s %s\n", name, strconv.FormatFloat(value, 'g', -1, 64))
}

// formatSummary formats the count, sum and quantiles of a latency metric. The sum is
// estimated from the mean of the sample.
func formatSummary(name string, h metrics.Histogram) []string {
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	labelled := func(suffix, extra string) string {
		joined := strings.Trim(labels+","+extra, ",")
		if joined == "" {
			return base + suffix
		}
		return base + suffix + "{" + joined + "}"
	}
	lines := []string{
		formatLine(labelled("_count", ""), float64(h.Count())),
		formatLine(labelled("_sum", ""), h.Mean()*float64(h.Count())),
	}
	for i, value := range h.Percentiles(quantiles) {
		label := fmt.Sprintf("quantile=\"%v\"", quantiles[i])
		lines = append(lines, formatLine(labelled("", label), value))
	}
	return lines
}
