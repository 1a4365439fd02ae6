package grrouter

import (
	"slices"
	"testing"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

func newRateLimitRouter(self grident.InstanceID, peers []grident.InstanceID, m Membership) *Router {
	r := &Router{Self: self, Domain: "d1"}
	r.Init()
	var list []Peer
	for _, id := range peers {
		list = append(list, Peer{ID: id, Domain: "d1"})
	}
	r.SetMembership(m)
	r.SetPeers(0, list, &Output{})
	return r
}

func askFor(wanted int) []RateLimitAsk {
	return []RateLimitAsk{{Service: "s1", Searcher: "i-1", Domain: "d1", Request: grratelimit.Request{
		Statement: grratelimit.Statement{Kind: grratelimit.Limited, Rate: 20}, Wanted: wanted,
	}}}
}

// grantedIn returns the units that an instance grants to all that ask it in a time span.
func grantedIn(r *Router, span grclock.Millis) int {
	units := 0
	for now := 10 * grclock.Second; now < 10*grclock.Second+span; now += 50 {
		units += r.GrantRateLimits(now, "x", askFor(100))[0].Units
	}
	return units
}

// TestPartitionsExceedLimit guards against two partitions that each allocate the whole limit.
func TestPartitionsExceedLimit(t *testing.T) {
	one := newRateLimitRouter("a", nil, Membership{Unreachable: 4})
	others := newRateLimitRouter("b", nil, Membership{Unreachable: 1})
	for _, id := range []grident.InstanceID{"c", "d", "e"} {
		others.peers = append(others.peers, peerState{Peer: Peer{ID: id, Domain: "d2"}}) // "b" allocates in its own domain.
	}
	small, large := grantedIn(one, 10*grclock.Second), grantedIn(others, 10*grclock.Second)
	if sum := small + large; sum > 200 || small == 0 || large < 3*small {
		t.Errorf("%d units granted by one instance and %d by four others, 200 allowed in all", small, large)
	}
}

// TestLeavingInstanceAllocates guards against an instance that grants units while another has taken over from it.
func TestLeavingInstanceAllocates(t *testing.T) {
	if n := grantedIn(newRateLimitRouter("a", nil, Membership{}), grclock.Second); n == 0 {
		t.Error("an instance on its own grants nothing")
	}
	leaving := newRateLimitRouter("a", []grident.InstanceID{"b"}, Membership{Leaving: true})
	if g := leaving.GrantRateLimits(10*grclock.Second, "b", askFor(1))[0]; !g.Refused {
		t.Errorf("a leaving instance answers %+v, want a refusal", g)
	}
}

// TestOneAllocatorPerSearcher checks that all instances name the same allocator, in the searcher's failure domain.
func TestOneAllocatorPerSearcher(t *testing.T) {
	ids := []grident.InstanceID{"a", "b", "c", "d", "e", "f"}
	domains := []grident.FailureDomain{"d1", "d1", "d2", "d2", "d3", "d3"}
	used := make(map[grident.InstanceID]bool)
	for n := range 50 {
		searcher, domain := grident.SearcherID(string(rune('A'+n))), domains[n%len(domains)]
		named := make(map[grident.InstanceID]bool)
		for i, self := range ids {
			r := &Router{Self: self, Domain: domains[i]}
			r.Init()
			var peers []Peer
			for k, id := range ids {
				if k != i {
					peers = append(peers, Peer{ID: id, Domain: domains[k]})
				}
			}
			r.SetPeers(0, peers, &Output{})
			named[r.allocatorOf("s1", searcher, domain)] = true
		}
		if len(named) != 1 {
			t.Fatalf("searcher %s: allocators %v", searcher, named)
		}
		for id := range named {
			used[id] = true
			if domains[slices.Index(ids, id)] != domain {
				t.Errorf("searcher in %s: allocator %s is in another domain", domain, id)
			}
		}
	}
	if len(used) != len(ids) {
		t.Errorf("only %v of %v allocate", used, ids)
	}
}

// TestRestartedSearcherKeepsLimit guards against a limit that a searcher's earlier run stated.
func TestRestartedSearcherKeepsLimit(t *testing.T) {
	r := newRateLimitRouter("a", nil, Membership{})
	searcher := grdispatch.Searcher{ID: "i-1", Domain: "d1", Slots: 2, ConnLimit: 2, Incarnation: 1}
	r.SetService(0, "s1", []grdispatch.Searcher{searcher}, &Output{})
	limit := grratelimit.Statement{Kind: grratelimit.Limited, Rate: 1}
	r.LearnRateLimit(5000, "s1", "i-1", 1, limit, &Output{})
	if s, _ := r.Dispatcher(0).RateLimitOf(5000, "i-1", 1); s != limit {
		t.Fatalf("learned %v, want %v", s, limit)
	}
	searcher.Incarnation = 2
	r.SetService(6000, "s1", []grdispatch.Searcher{searcher}, &Output{})
	r.LearnRateLimit(6500, "s1", "i-1", 1, limit, &Output{}) // A late message on the earlier run.
	if s, _ := r.Dispatcher(0).RateLimitOf(7000, "i-1", 2); s != (grratelimit.Statement{}) {
		t.Errorf("%v is known of a run that stated nothing", s)
	}
}
