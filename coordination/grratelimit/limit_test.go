package grratelimit

import (
	"fmt"
	"testing"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

func limited(rate Rate) Statement { return Statement{Kind: Limited, Rate: rate} }

// fleet is a number of instances that share the limit of one upstream in virtual time. The
// instance that allocates it changes, and each instance learns of that at another time.
type fleet struct {
	random     grident.Random
	allowances []Allowance
	allocators []*Allocator // by instance; nil where it does not allocate
	views      []int        // for each instance, the one that it takes for the allocator
	sent       []grclock.Millis
	noHandover bool
}

func newFleet(seed uint64, instances int) *fleet {
	f := &fleet{random: grident.Random{State: seed}, allowances: make([]Allowance, instances), views: make([]int, instances)}
	f.allocators = make([]*Allocator, instances)
	f.allocators[0] = &Allocator{}
	return f
}

// setView lets an instance take another one for the allocator from now on.
func (f *fleet) setView(now grclock.Millis, instance, allocator int) {
	f.views[instance] = allocator
	f.allocators[instance] = nil
	if instance == allocator {
		f.allocators[instance] = &Allocator{OpensAt: now + HandoverTime}
		if f.noHandover {
			f.allocators[instance].OpensAt = 0
		}
	}
}

// step lets an instance handle one more request, if it wants to send one.
func (f *fleet) step(now grclock.Millis, instance int, stated Statement) {
	a := &f.allowances[instance]
	a.Want(now)
	if request, ok := a.Ask(now, true); ok {
		to := f.allocators[f.views[instance]]
		if to == nil {
			a.Failed(now)
		} else {
			a.Granted(now, now, to.Grant(now, grident.InstanceID(fmt.Sprint(instance)), request, 1))
		}
	}
	if a.Permits(now) {
		a.Use(now)
		f.sent = append(f.sent, now)
		a.State(now, stated)
	}
}

// most returns the largest number of requests sent within any window from a time on.
func (f *fleet) most(from, window grclock.Millis) int {
	most := 0
	for i, start := range f.sent {
		n := 0
		for _, at := range f.sent[i:] {
			if at < start+window {
				n++
			}
		}
		if start >= from {
			most = max(most, n)
		}
	}
	return most
}

// play runs the instances for 30 s. Each wants to send a request every interval, on
// average; with changes, the allocator changes every 6 s.
func (f *fleet) play(rate Rate, interval int, changes bool) {
	type change struct {
		at                  grclock.Millis
		instance, allocator int
	}
	var pending []change
	for now := grclock.Millis(0); now < 30*grclock.Second; now++ {
		if changes && now%6000 == 5000 {
			next := f.random.IntN(len(f.allowances))
			for i := range f.allowances {
				pending = append(pending, change{now + grclock.Millis(f.random.IntN(int(viewDelay))), i, next})
			}
		}
		for _, c := range pending {
			if c.at == now && f.views[c.instance] != c.allocator {
				f.setView(now, c.instance, c.allocator)
			}
		}
		for i := range f.allowances {
			if f.random.IntN(interval) == 0 {
				f.step(now, i, limited(rate))
			}
		}
	}
}

// checkWindow is the window in which the requests of all instances are counted.
const checkWindow = 4 * grclock.Second

// allowedInWindow returns the units that may be granted for use in a window: the lease of
// the first ones began before it.
func allowedInWindow(rate Rate) float64 {
	return rate.per(checkWindow+LeaseTime) + 1 + max(1, rate.per(batchTime))
}

// TestSumExceedsLimit guards against more requests of all instances together than the limit allows.
func TestSumExceedsLimit(t *testing.T) {
	for seed := range uint64(60) {
		random := grident.Random{State: seed}
		instances, rate := 1+random.IntN(30), Rate(0.2+40*random.Float64()*random.Float64())
		f := newFleet(seed, instances)
		f.play(rate, 1+random.IntN(300), seed%2 == 0)
		if n := f.most(checkWindow, checkWindow); float64(n) > allowedInWindow(rate) {
			t.Errorf("seed %d: %d instances sent %d requests in a window, %.1f allowed", seed, instances, n, allowedInWindow(rate))
		}
		if allowed := rate.per(30*grclock.Second) + float64(instances) + 5; float64(len(f.sent)) > allowed {
			t.Errorf("seed %d: %d instances sent %d requests in all, %.1f allowed", seed, instances, len(f.sent), allowed)
		}
	}
}

// TestTwoAllocatorsExceedLimit guards against units granted by two instances while views differ, and shows that the check finds them.
func TestTwoAllocatorsExceedLimit(t *testing.T) {
	const rate, instances, half = 20, 20, 10
	for _, noHandover := range []bool{false, true} {
		f := newFleet(3, instances)
		f.noHandover = noHandover
		for now := grclock.Millis(0); now < 16*grclock.Second; now++ {
			for i := range instances {
				if now == 10*grclock.Second && i >= half || now == 10*grclock.Second+viewDelay && i < half {
					f.setView(now, i, instances-1)
				}
				if f.random.IntN(instances) == 0 {
					f.step(now, i, limited(rate))
				}
			}
		}
		if exceeded := float64(f.most(checkWindow, checkWindow)) > allowedInWindow(rate); exceeded != noHandover {
			t.Errorf("without a pause before the new allocator grants: %v; limit exceeded: %v", noHandover, exceeded)
		}
	}
}

// TestLimitStaysUnused guards against a limit that demand would use up and that is not used.
func TestLimitStaysUnused(t *testing.T) {
	for _, c := range []struct {
		instances int
		rate      Rate
	}{{1, 20}, {5, 20}, {30, 20}, {30, 2}} {
		f := newFleet(1, c.instances)
		f.play(c.rate, 10*c.instances, false)
		if used := float64(len(f.sent)) / c.rate.per(30*grclock.Second); used < 0.85 {
			t.Errorf("%d instances used %.2f of a limit of %v", c.instances, used, c.rate)
		}
	}
}

// TestChangedLimit follows a limit that falls, rises and ends.
func TestChangedLimit(t *testing.T) {
	var a Allowance
	var l Allocator
	request := func(now grclock.Millis) Grant {
		t.Helper()
		r, ok := a.Ask(now, true)
		if !ok {
			t.Fatalf("no units requested at %d ms", now)
		}
		g := l.Grant(now, "entry-1", r, 1)
		a.Granted(now, now, g)
		return g
	}
	for range 200 {
		a.Want(900)
	}
	a.State(900, limited(100))
	request(900)
	for range 200 {
		a.Want(1900)
	}
	if g := request(1900); g.Units != 21 {
		t.Fatalf("%d units granted, want those of %d ms and one more", g.Units, batchTime)
	}
	if a.State(1910, limited(1)); a.Permits(1910) {
		t.Error("units of the higher limit remain after it fell")
	}
	request(2400)
	if a.State(3000, limited(50)); a.Limited() != true || a.Record().Statement().Rate != 50 {
		t.Error("a limit that rose is not recorded")
	}
	if a.State(3100, Statement{}); !a.Limited() {
		t.Error("an answer that says nothing ended the limit")
	}
	if a.State(3200, Statement{Kind: Unlimited}); !a.Permits(3200) {
		t.Error("requests are held back after the limit ended")
	}
	if _, ok := a.Ask(9000, true); ok {
		t.Error("units requested without a limit")
	}
}

// TestOlderStatementIgnored guards against a limit that another instance still believes in after it ended.
func TestOlderStatementIgnored(t *testing.T) {
	var a Allowance
	a.State(1000, limited(5))
	r, _ := a.Ask(1000, true)
	a.State(1100, Statement{Kind: Unlimited})
	var l Allocator
	a.Granted(1200, 1000, l.Grant(1150, "entry-1", r, 1))
	if a.Limited() {
		t.Error("an older statement replaced a newer one")
	}
}

// TestZeroLimitIsProbed guards against an upstream that gets nothing for ever because it once stated 0.
func TestZeroLimitIsProbed(t *testing.T) {
	f := newFleet(1, 5)
	f.play(0, 100, false)
	if n := len(f.sent) - len(f.allowances); n < 1 || n > 4 {
		t.Errorf("%d requests in 30 s beyond the first of each instance, want 1 to 4", n)
	}
}

// TestUnitsExpire checks that a unit is not used after LeaseTime from the request for it.
func TestUnitsExpire(t *testing.T) {
	var a Allowance
	a.State(0, limited(10))
	if _, ok := a.Ask(0, true); !ok {
		t.Fatal("no units requested")
	}
	a.Granted(400, 0, Grant{Units: 2, Statement: limited(10)})
	if !a.Permits(LeaseTime-1) || a.Permits(LeaseTime) {
		t.Error("units are good until another time than LeaseTime after the request")
	}
}
