package grrouter

import (
	"fmt"
	"testing"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// TestDivideBudgets checks how the limit of each service is divided among the
// instances: the shares add up to no more than the limit, the owners of a shard get
// most of it, and the shares of the others do not grow right after an instance is
// lost.
func TestDivideBudgets(t *testing.T) {
	limit := grstat.GlobalLimit{Ratio: 0.2, Count: 200, Window: 10 * grclock.Second}
	var peers []Peer
	for i := range 32 {
		peers = append(peers, Peer{ID: grident.InstanceID(fmt.Sprint("entry-", i)), Domain: grident.FailureDomain(fmt.Sprint("d", i%4))})
	}
	table := &grroutes.Table{Version: 1, Routes: []grroutes.Route{{
		FanOut: true, Targets: []grroutes.Target{{Weight: 1, Services: []grident.Service{"shard-0", "shard-1"}}},
	}}, Services: []grroutes.Service{{Name: "shard-0"}, {Name: "shard-1"}, {Name: "single"}}}
	sum := make(map[grident.Service]float64)
	most := make(map[grident.Service]float64)
	for i, self := range peers {
		r := &Router{Policy: grdispatch.RoutePolicy(), ExtraLimit: limit, Self: self.ID, Domain: self.Domain}
		r.Init()
		var out Output
		others := append(append([]Peer(nil), peers[:i]...), peers[i+1:]...)
		r.SetPeers(1000, others, &out)
		r.SetTable(1000, table, &out)
		for _, s := range table.Services {
			share := r.budgetOf(s.Name).Capacity
			sum[s.Name] += share
			most[s.Name] = max(most[s.Name], share)
		}
		before := r.budgetOf("single")
		r.SetPeers(2000, others[:10], &out)
		if after := r.budgetOf("single"); after != before {
			t.Fatalf("%s: budget %v after peers were lost, want %v as before", self.ID, after, before)
		}
	}
	total := limit.InstanceBudget(1).Capacity
	for _, s := range table.Services {
		if sum[s.Name] > total*1.001 {
			t.Errorf("%s: the reserves of all instances add up to %.1f, want at most %.1f", s.Name, sum[s.Name], total)
		}
	}
	if most["shard-0"] < 3*most["single"] {
		t.Errorf("an owner has %.1f of a limit of %.1f, want at least three times the share of a non-owner", most["shard-0"], total)
	}
}
