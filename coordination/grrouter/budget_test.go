package grrouter

import (
	"fmt"
	"testing"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grtable"
)

// TestShareBudgets divides the bound of each service among the instances: nobody
// adds to it, the owners of a shard have most of its, and one that was just lost
// leaves the others nothing.
func TestShareBudgets(t *testing.T) {
	bound := grstat.Bound{Share: 0.2, Count: 200, Window: 10 * grclock.Second}
	var peers []Peer
	for i := range 32 {
		peers = append(peers, Peer{ID: grid.InstanceID(fmt.Sprint("entry-", i)), Domain: grid.FailureDomain(fmt.Sprint("d", i%4))})
	}
	table := &grtable.Table{Version: 1, Routes: []grtable.Route{{
		AllShards: true, Targets: []grtable.Target{{Weight: 1, Services: []grid.Service{"shard-0", "shard-1"}}},
	}}, Services: []grtable.Service{{Name: "shard-0"}, {Name: "shard-1"}, {Name: "single"}}}
	sum := make(map[grid.Service]float64)
	most := make(map[grid.Service]float64)
	for i, self := range peers {
		r := &Router{Policy: grleaf.RoutePolicy(), Extra: bound, Self: self.ID, Domain: self.Domain}
		r.Init()
		var out Out
		others := append(append([]Peer(nil), peers[:i]...), peers[i+1:]...)
		r.SetPeers(1000, others, &out)
		r.SetTable(1000, table, &out)
		for _, s := range table.Services {
			saved := r.budgetOf(s.Name).Reserve
			sum[s.Name] += saved
			most[s.Name] = max(most[s.Name], saved)
		}
		before := r.budgetOf("single")
		r.SetPeers(2000, others[:10], &out)
		if after := r.budgetOf("single"); after != before {
			t.Fatalf("%s: %v after others were lost, %v before", self.ID, after, before)
		}
	}
	whole := bound.Part(1).Reserve
	for _, s := range table.Services {
		if sum[s.Name] > whole*1.001 {
			t.Errorf("%s: the instances may save %.1f, the bound allows %.1f", s.Name, sum[s.Name], whole)
		}
	}
	if most["shard-0"] < 3*most["single"] {
		t.Errorf("an owner has %.1f of %.1f", most["shard-0"], whole)
	}
}
