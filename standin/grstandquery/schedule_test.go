package grstandquery

import (
	"strings"
	"sync"
	"testing"
)

// schedules is the number of random fault schedules.
const schedules = 100_000

// TestSchedules checks the invariants under random fault schedules, and that the
// schedules lead to reruns, late replies, unresponsive connections, and partial
// and unknown outcomes.
func TestSchedules(t *testing.T) {
	n := schedules
	if testing.Short() {
		n /= 20
	}
	var mu sync.Mutex
	var sum Report
	failed := 0
	ForEachParallel(n, func(i int) {
		r := Run(Schedule(uint64(i), NoBug))
		mu.Lock()
		defer mu.Unlock()
		sum.add(&r)
		if len(r.Violations) > 0 && failed < 5 {
			failed++
			t.Errorf("seed %d: violations %v", i, r.Violations)
		}
	})
	t.Logf("%d done, %d partial, %d not run, %d unknown; %d reruns, %d late replies, %d unresponsive connections",
		sum.Complete, sum.Partial, sum.NotRun, sum.Unknown, sum.RouterCounters.Reruns, sum.DispatcherCounters.LateReplies, sum.DispatcherCounters.UnresponsiveConns)
	for name, count := range map[string]uint64{
		"reruns": sum.RouterCounters.Reruns, "late replies": sum.DispatcherCounters.LateReplies,
		"unresponsive connections": sum.DispatcherCounters.UnresponsiveConns, "partial answers": uint64(sum.Partial), "unknown": uint64(sum.Unknown),
	} {
		if count == 0 {
			t.Errorf("no schedule led to %s", name)
		}
	}
}

// TestInjectedBugs checks that each injected bug is reported by the check for it.
func TestInjectedBugs(t *testing.T) {
	for bug, prefix := range map[Bug]string{
		WrongIndexVersion: "snapshot:",
		WrongQuery:        "requests:",
		MissingRecords:    "coverage:",
		FalseNotRun:       "not run:",
		ExcessConns:       "connections:",
		DuplicateRecords:  "records:",
		MissingAnswer:     "never ended",
	} {
		found := false
		for seed := range uint64(200) {
			for _, v := range Run(Schedule(seed, bug)).Violations {
				found = found || strings.Contains(v, prefix)
			}
		}
		if !found {
			t.Errorf("injected bug %d was not detected: no violation with %q", bug, prefix)
		}
	}
}
