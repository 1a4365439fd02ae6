package grstandbench

import (
	"strings"
	"sync"
	"testing"
)

// schedules is the number of seeded schedules of faults.
const schedules = 100_000

// TestSchedules checks what must always hold under seeded schedules.
func TestSchedules(t *testing.T) {
	n := schedules
	if testing.Short() {
		n /= 20
	}
	var mu sync.Mutex
	var sum Report
	failed := 0
	Each(n, func(i int) {
		r := Run(Schedule(uint64(i), NoPlant))
		mu.Lock()
		defer mu.Unlock()
		sum.add(&r)
		if len(r.Violations) > 0 && failed < 5 {
			failed++
			t.Errorf("seed %d: %v", i, r.Violations)
		}
	})
	t.Logf("%d done, %d partial, %d not run, %d unknown; %d reruns, %d late replies, %d silent connections",
		sum.Complete, sum.Partial, sum.NotRun, sum.Unknown, sum.Routers.Reruns, sum.Leaves.LateReplies, sum.Leaves.SilentConns)
	for name, count := range map[string]uint64{
		"reruns": sum.Routers.Reruns, "late replies": sum.Leaves.LateReplies,
		"silent connections": sum.Leaves.SilentConns, "partial answers": uint64(sum.Partial), "unknown": uint64(sum.Unknown),
	} {
		if count == 0 {
			t.Errorf("the schedules never led to %s", name)
		}
	}
}

// TestPlanted shows that each check finds the fault that it is for.
func TestPlanted(t *testing.T) {
	for plant, word := range map[Plant]string{
		WrongVersion:     "snapshot:",
		WrongRequest:     "requests:",
		LostRecords:      "coverage:",
		FalseNotRun:      "not run:",
		TooManyConns:     "connections:",
		DoubledRecords:   "records:",
		ForgottenRequest: "never ended",
	} {
		found := false
		for seed := range uint64(200) {
			for _, v := range Run(Schedule(seed, plant)).Violations {
				found = found || strings.Contains(v, word)
			}
		}
		if !found {
			t.Errorf("no check found the planted fault %d (%s)", plant, word)
		}
	}
}
