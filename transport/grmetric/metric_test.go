package grmetric

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"geraniumrouter/state/grclock"
)

// TestWrite compares the text of counters, gauges and latencies, with and without labels,
// with a golden file.
func TestWrite(t *testing.T) {
	registry := metrics.NewRegistry()
	Count(registry, "requests_total", "route", "r-1", "outcome", "done")
	Count(registry, "requests_total", "route", "r-1", "outcome", "done")
	Count(registry, "requests_total", "route", `odd"name`, "outcome", "partial")
	Set(registry, 7, "table_version")
	for latency := range grclock.Millis(100) {
		Observe(registry, "request_ms", latency+1, "route", "r-1")
	}
	Observe(registry, "lookup_ms", 3)
	var text strings.Builder
	if err := Write(&text, registry); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "metrics", []byte(text.String()))
}
