package grstandfleet

import (
	"testing"

	"geraniumrouter/state/grclock"
)

// Maximum times until a change is in effect on all of 5 instances.
const (
	maxSwitchTime  = 3 * grclock.Second
	maxLeavingTime = 3 * grclock.Second
	maxLossTime    = 3 * grclock.Second
)

// TestSwitchPropagates checks that an accepted switch of the preset is in force on
// all members within maxSwitchTime, also if the platform goes down right after it
// accepted the switch.
func TestSwitchPropagates(t *testing.T) {
	for seed := range uint64(200) {
		f := New(Config{Members: 5, DropProbability: 0.01, Seed: seed})
		f.Run(5 * grclock.Second)
		generation, ok := f.SwitchPreset(int(seed%5), "a")
		if !ok {
			t.Fatal("the platform did not accept the switch")
		}
		f.Platform.Down = seed%2 == 0
		f.Run(maxSwitchTime)
		if have, live := f.CountInForce(generation); have != live {
			t.Errorf("seed %d: switch in force on %d of %d members", seed, have, live)
		}
	}
}

// TestSwitchNotSent checks that TestSwitchPropagates can fail: if the member that
// accepts a switch neither applies nor sends it and the platform is down, it is in
// force on no member.
func TestSwitchNotSent(t *testing.T) {
	f := New(Config{Members: 5, Seed: 1, Bug: DropSwitch})
	f.Run(5 * grclock.Second)
	generation, _ := f.SwitchPreset(0, "a")
	f.Platform.Down = true
	f.Run(maxSwitchTime)
	if have, _ := f.CountInForce(generation); have != 0 {
		t.Errorf("switch in force on %d members although none was sent it", have)
	}
}

// TestRestartDuringOutage checks that an instance that restarts while the
// platform is down gets the preset from its peers and opens connections.
func TestRestartDuringOutage(t *testing.T) {
	for seed := range uint64(100) {
		f := New(Config{Members: 5, DropProbability: 0.01, Seed: seed})
		f.Run(5 * grclock.Second)
		generation, _ := f.SwitchPreset(0, "a")
		f.Run(grclock.Second)
		f.Platform.Down = true
		f.Kill(2)
		f.Run(grclock.Second)
		f.Restart(2)
		f.Run(maxSwitchTime)
		if have, live := f.CountInForce(generation); have != live || live != 5 {
			t.Errorf("seed %d: switch in force on %d of %d members, want 5", seed, have, live)
		}
		for _, d := range f.Divisors() {
			if d != 5 {
				t.Errorf("seed %d: divisors %v, want 5", seed, f.Divisors())
			}
		}
	}
}

// TestAllRestartDuringOutage checks that no preset is in force if all instances
// restart while the platform is down, and that the stored one is in force on all
// after the outage.
func TestAllRestartDuringOutage(t *testing.T) {
	f := New(Config{Members: 5, Seed: 1})
	f.Run(3 * grclock.Second)
	f.SwitchPreset(0, "a")
	f.Run(grclock.Second)
	f.Platform.Down = true
	for i := range 5 {
		f.Kill(i)
	}
	f.Run(100) // messages in flight reach no member
	for i := range 5 {
		f.Restart(i)
	}
	f.Run(5 * grclock.Second)
	if have, _ := f.CountInForce(1); have != 0 {
		t.Errorf("a preset is in force on %d members although none could get it", have)
	}
	f.Platform.Down = false
	f.Run(3 * grclock.Second)
	if have, _ := f.CountInForce(1); have != 5 {
		t.Errorf("preset in force on %d members after the outage, want 5", have)
	}
}

// TestLossFreesConnections checks that the other instances divide the
// connection limits among themselves within maxLossTime after an instance was
// lost.
func TestLossFreesConnections(t *testing.T) {
	for seed := range uint64(100) {
		f := New(Config{Members: 5, DropProbability: 0.01, Seed: seed})
		f.Run(5 * grclock.Second)
		f.Kill(int(seed % 5))
		f.Run(maxLossTime)
		for _, d := range f.Divisors() {
			if d != 4 {
				t.Errorf("seed %d: divisors %v, want 4", seed, f.Divisors())
			}
		}
	}
}

// TestLeavingPropagates checks that no instance sends new work to a searcher within
// maxLeavingTime after one of them detected that it is leaving, although the
// platform still lists it as live.
func TestLeavingPropagates(t *testing.T) {
	for seed := range uint64(100) {
		f := New(Config{Members: 5, DropProbability: 0.01, Seed: seed, Searchers: 20})
		f.Run(5 * grclock.Second)
		f.MarkLeaving(int(seed%5), 3)
		f.Run(maxLeavingTime)
		if n := f.CountLeaving(3); n != 5 {
			t.Errorf("seed %d: searcher is leaving on %d of 5 members", seed, n)
		}
	}
}

// TestFalseSuspicion checks that a paused instance is removed from the list for
// callers and listed again after the pause, and that the others do not use its
// connections meanwhile.
func TestFalseSuspicion(t *testing.T) {
	f := New(Config{Members: 5, Seed: 1})
	f.Run(5 * grclock.Second)
	f.Pause(1, 4*grclock.Second)
	f.Run(3 * grclock.Second)
	if n := f.Entries(0); n != 4 {
		t.Errorf("%d instances are listed while one is paused, want 4", n)
	}
	f.Run(4 * grclock.Second)
	if n := f.Entries(0); n != 5 {
		t.Errorf("%d instances are listed after the pause, want 5", n)
	}
	if v := f.Report().Violations; len(v) > 0 {
		t.Error(v)
	}
}
