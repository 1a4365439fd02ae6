package grstandfleet

import (
	"testing"

	"geraniumrouter/state/grclock"
)

// Targets of control at 5 instances.
const (
	switchWithin  = 3 * grclock.Second
	leavingWithin = 3 * grclock.Second
	lossWithin    = 3 * grclock.Second
)

// TestSwitchSpreads checks that a switch is in force on all within the target,
// also with the platform down right after its acceptance.
func TestSwitchSpreads(t *testing.T) {
	for seed := range uint64(200) {
		f := New(Config{Members: 5, Drop: 0.01, Seed: seed})
		f.Run(5 * grclock.Second)
		generation, ok := f.Switch(int(seed%5), "a")
		if !ok {
			t.Fatal("the switch was not accepted")
		}
		f.Platform.Down = seed%2 == 0
		f.Run(switchWithin)
		if have, live := f.InForce(generation); have != live {
			t.Errorf("seed %d: in force on %d of %d", seed, have, live)
		}
	}
}

// TestSwitchLost shows what TestSwitchSpreads would find: an accepted switch
// that is told to nobody while the platform is down.
func TestSwitchLost(t *testing.T) {
	f := New(Config{Members: 5, Seed: 1, Plant: LoseSwitch})
	f.Run(5 * grclock.Second)
	generation, _ := f.Switch(0, "a")
	f.Platform.Down = true
	f.Run(switchWithin)
	if have, _ := f.InForce(generation); have != 0 {
		t.Errorf("in force on %d although it was told to nobody", have)
	}
}

// TestRestartDuringOutage checks that an instance that restarts without the
// platform takes the preset from its peers.
func TestRestartDuringOutage(t *testing.T) {
	for seed := range uint64(100) {
		f := New(Config{Members: 5, Drop: 0.01, Seed: seed})
		f.Run(5 * grclock.Second)
		generation, _ := f.Switch(0, "a")
		f.Run(grclock.Second)
		f.Platform.Down = true
		f.Kill(2)
		f.Run(grclock.Second)
		f.Restart(2)
		f.Run(switchWithin)
		if have, live := f.InForce(generation); have != live || live != 5 {
			t.Errorf("seed %d: in force on %d of %d", seed, have, live)
		}
		for _, d := range f.Divisors() {
			if d != 5 {
				t.Errorf("seed %d: divisors %v", seed, f.Divisors())
			}
		}
	}
}

// TestAllRestartDuringOutage checks that without platform and peers nothing is
// in force.
func TestAllRestartDuringOutage(t *testing.T) {
	f := New(Config{Members: 5, Seed: 1})
	f.Run(3 * grclock.Second)
	f.Switch(0, "a")
	f.Run(grclock.Second)
	f.Platform.Down = true
	for i := range 5 {
		f.Kill(i)
	}
	f.Run(100) // what was on its way is lost
	for i := range 5 {
		f.Restart(i)
	}
	f.Run(5 * grclock.Second)
	if have, _ := f.InForce(1); have != 0 {
		t.Errorf("a preset is in force on %d without any source", have)
	}
	f.Platform.Down = false
	f.Run(3 * grclock.Second)
	if have, _ := f.InForce(1); have != 5 {
		t.Errorf("in force on %d after the outage", have)
	}
}

// TestLossFreesShare checks that the connections of a lost instance are in use
// by the others within the target.
func TestLossFreesShare(t *testing.T) {
	for seed := range uint64(100) {
		f := New(Config{Members: 5, Drop: 0.01, Seed: seed})
		f.Run(5 * grclock.Second)
		f.Kill(int(seed % 5))
		f.Run(lossWithin)
		for _, d := range f.Divisors() {
			if d != 4 {
				t.Errorf("seed %d: divisors %v", seed, f.Divisors())
			}
		}
	}
}

// TestLeavingSpreads checks that no instance gives new work to a searcher that
// one of them found leaving, although the platform's list still calls it live.
func TestLeavingSpreads(t *testing.T) {
	for seed := range uint64(100) {
		f := New(Config{Members: 5, Drop: 0.01, Seed: seed, Searchers: 20})
		f.Run(5 * grclock.Second)
		f.MarkLeaving(int(seed%5), 3)
		f.Run(leavingWithin)
		if n := f.KnowLeaving(3); n != 5 {
			t.Errorf("seed %d: known to %d of 5", seed, n)
		}
	}
}

// TestFalseSuspicion checks that a paused instance is listed again after it
// goes on, and keeps its connections meanwhile.
func TestFalseSuspicion(t *testing.T) {
	f := New(Config{Members: 5, Seed: 1})
	f.Run(5 * grclock.Second)
	f.Pause(1, 4*grclock.Second)
	f.Run(3 * grclock.Second)
	if n := f.Entries(0); n != 4 {
		t.Errorf("%d entries are listed while one is paused, want 4", n)
	}
	f.Run(4 * grclock.Second)
	if n := f.Entries(0); n != 5 {
		t.Errorf("%d entries are listed afterwards, want 5", n)
	}
	if v := f.Report().Violations; len(v) > 0 {
		t.Error(v)
	}
}
