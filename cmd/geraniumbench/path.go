package main

import (
	"fmt"
	"io"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/standin/grstandquery"
)

// pathSeeds is the number of random seeds over which each row is averaged.
const pathSeeds = 6

// measurePath simulates the query path in virtual time and prints a row for each
// combination of straggler pattern, hedging policy and layout, and for each load.
func measurePath(w io.Writer) {
	fmt.Fprintf(w, "%-8s %-10s %-9s %6s %6s %7s %9s %7s %8s\n",
		"services", "stragglers", "policy", "p50", "p99", "p99.9", "coverage", "extra", "goodput")
	policies := []struct {
		name   string
		policy grdispatch.Policy
	}{{"own", grdispatch.DefaultPolicy()}, {"no hedge", grstandquery.NoHedgePolicy()}, {"fixed", grstandquery.FixedHedgePolicy()}}
	for kind, name := range []string{"none", "stretches", "random"} {
		for _, p := range policies {
			c := grstandquery.Config{Stragglers: grstandquery.Stragglers(kind), Policy: p.policy, Queries: 6000}
			printRow(w, "pairs", name, p.name, grstandquery.RunSeeds(c, pathSeeds))
			c.Services, c.Searchers, c.Slots, c.ConnLimit, c.ConnectTime = 1, 4, 4, 100, 1
			printRow(w, "fours", name, p.name, grstandquery.RunSeeds(c, pathSeeds))
		}
	}
	for _, load := range []float64{0.5, 1, 2, 4} {
		c := grstandquery.Config{Load: load, Deadline: 300, Queries: 6000}
		printRow(w, "pairs", "none", fmt.Sprintf("load %g", load), grstandquery.RunSeeds(c, pathSeeds))
	}
}

func printRow(w io.Writer, services, stragglers, policy string, r grstandquery.Report) {
	fmt.Fprintf(w, "%-8s %-10s %-9s %6d %6d %7d %9.4f %7.4f %8.3f\n",
		services, stragglers, policy, r.P50, r.P99, r.P999, r.Coverage, r.ExtraLoad, r.Goodput)
}
