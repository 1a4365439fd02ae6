package grstandfleet

import (
	"cmp"
	"fmt"
	"slices"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
)

// Kill stops a member without draining it and closes its connections.
func (f *Fleet) Kill(i int) {
	m := f.members[i]
	m.minGeneration = f.generationAtPeers(m)
	m.alive, m.divisor = false, 0
}

// SwitchOff stops a member and its machine: messages to it are not answered or refused.
func (f *Fleet) SwitchOff(i int) {
	f.Kill(i)
	f.members[i].off = true
}

// generationAtPeers returns the highest generation that both the member and one
// of its reachable live peers have reached. The member can get it from that
// peer after a restart.
func (f *Fleet) generationAtPeers(m *member) grident.Generation {
	highest := grident.Generation(0)
	for _, other := range f.members {
		if other != m && other.alive && !other.paused && other.inForce && !f.partitioned[[2]int{m.index, other.index}] {
			highest = max(highest, other.generation)
		}
	}
	return min(highest, m.generation)
}

// Restart starts a new incarnation of a member that was killed.
func (f *Fleet) Restart(i int) {
	if !f.members[i].alive {
		f.members[i].start()
	}
}

// Pause stops a member for the span, as a long scheduling delay would. Its
// events are queued and run afterwards.
func (f *Fleet) Pause(i int, span grclock.Millis) {
	m := f.members[i]
	if !m.alive || m.paused {
		return
	}
	m.paused = true
	incarnation := m.incarnation
	f.after(span, func() {
		if m.incarnation != incarnation || !m.alive {
			return
		}
		m.paused = false
		backlog := m.backlog
		m.backlog = nil
		for _, do := range backlog {
			do()
		}
	})
}

// SetPartition starts or ends a network partition between two members.
func (f *Fleet) SetPartition(a, b int, partitioned bool) {
	f.partitioned[[2]int{a, b}] = partitioned
	f.partitioned[[2]int{b, a}] = partitioned
}

// SwitchPreset switches the preset through a member, as an operator does. The new
// generation is stored on the platform; ok is false if the platform is down or
// the member does not run.
func (f *Fleet) SwitchPreset(i int, name string) (generation grident.Generation, ok bool) {
	m := f.members[i]
	p := &f.Platform
	if p.Down || !m.alive || m.paused {
		return 0, false
	}
	p.CallCount++
	a := grpreset.ActivePreset{
		Generation: grident.Generation(len(p.switches) + 1), SwitchedAt: f.Now,
		Preset: grpreset.Preset{Name: grpreset.Name(name), MaxQueries: 400, MaxQueue: 256},
	}
	p.switches = append(p.switches, a)
	if f.Config.Bug != DropSwitch {
		m.cluster.SetPreset(f.Now, &a, &m.out)
		m.applyEffects()
	}
	return a.Generation, true
}

// CountInForce returns the number of members on which the generation or a higher one
// is in force, and the number of all members. Killed and paused members are not
// counted.
func (f *Fleet) CountInForce(generation grident.Generation) (count, live int) {
	for _, m := range f.members {
		if m.alive && !m.paused {
			live++
			if m.inForce && m.generation >= generation {
				count++
			}
		}
	}
	return count, live
}

// MarkLeaving makes a member detect that a searcher is leaving.
func (f *Fleet) MarkLeaving(i, searcher int) {
	m := f.members[i]
	s := &f.Platform.searchers[searcher]
	m.cluster.AnnounceDeparture(f.Now, grcluster.Departure{Searcher: s.ID, Incarnation: s.Incarnation, Address: s.Address}, &m.out)
	m.applyEffects()
}

// CountLeaving returns the number of live members that send no new work to the
// searcher because it is leaving.
func (f *Fleet) CountLeaving(searcher int) int {
	n := 0
	for _, m := range f.members {
		if !m.alive {
			continue
		}
		for _, s := range m.cluster.Searchers() {
			if s.ID == f.Platform.searchers[searcher].ID && s.State != 0 {
				n++
			}
		}
	}
	return n
}

// Divisors returns the connection divisor that each live member applies; 0
// stands for no connections.
func (f *Fleet) Divisors() []int {
	var list []int
	for _, m := range f.members {
		if m.alive {
			list = append(list, m.divisor)
		}
	}
	return list
}

// applyDivisor opens and closes connections according to the member's divisor. A
// reduction takes up to 100 ms, since connections in use are closed later.
func (m *member) applyDivisor() {
	f := m.fleet
	divisor := m.cluster.Divisor()
	if f.Config.Bug == UncoordinatedDivisor && divisor == 0 {
		divisor = 1
	}
	pending := m.cluster.PendingDivisor()
	if pending == 0 {
		m.divisor = divisor
		return
	}
	incarnation := m.incarnation
	f.after(grclock.Millis(f.random.IntN(100)), func() {
		m.deliver(func() {
			if m.incarnation == incarnation && m.cluster.PendingDivisor() > 0 && m.cluster.PendingDivisor() <= pending {
				m.divisor = pending
				m.cluster.ConnectionsReduced(f.Now, pending, &m.out)
				m.applyEffects()
			}
		})
	})
}

// checkConnLimits checks that the members of each group together do not exceed the
// connection limit of a searcher. A paused member keeps its connections.
func (f *Fleet) checkConnLimits() {
	clear(f.openConns)
	for _, m := range f.members {
		if m.alive && m.divisor > 0 {
			f.openConns[m.group] += f.Config.ConnLimit / m.divisor
		}
	}
	for _, n := range f.openConns {
		if n > f.Config.ConnLimit {
			f.reportViolation("connections: %d open, limit %d, divisors %v", n, f.Config.ConnLimit, f.Divisors())
		}
	}
}

// String returns the state of all members, for failure messages.
func (f *Fleet) String() string {
	text := ""
	for _, m := range f.members {
		text += fmt.Sprintf("[%d alive %v paused %v gen %d divisor %d] ", m.index, m.alive, m.paused, m.generation, m.divisor)
	}
	return text
}

// healTime is the time after the end of all faults in which the members must
// converge.
const healTime = 5 * grclock.Second

// Heal ends all faults except for pauses, restarts the killed members and runs
// the simulation for healTime.
func (f *Fleet) Heal() {
	f.Platform.Down, f.Platform.Stale = false, false
	clear(f.partitioned)
	for i, m := range f.members {
		if !m.alive {
			f.Restart(i)
		}
	}
	f.Run(healTime)
}

// CheckConverged checks, after Heal, that the last switch is in force on all
// members and that the connections are divided among all of them.
func (f *Fleet) CheckConverged() {
	if last := grident.Generation(len(f.Platform.switches)); last > 0 {
		if have, live := f.CountInForce(last); have != live {
			f.reportViolation("healed: generation %d is in force on %d of %d members", last, have, live)
		}
	}
	for _, m := range f.members {
		if m.divisor != len(f.members) {
			f.reportViolation("healed: divisors %v, want %d on each member", f.Divisors(), len(f.members))
			return
		}
	}
}

// HashOrder returns the members in the order in which they watch each other.
func (f *Fleet) HashOrder() []int {
	order := make([]int, len(f.members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(grident.Hash(f.members[a].id), grident.Hash(f.members[b].id)) })
	return order
}

// Lists reports whether a member lists another one for callers.
func (f *Fleet) Lists(i, other int) bool {
	return slices.ContainsFunc(f.members[i].cluster.Entries("d1", 1), func(m grcluster.Member) bool { return m.ID == f.members[other].id })
}

// Entries returns the number of entry instances that a member lists for callers.
func (f *Fleet) Entries(i int) int { return len(f.members[i].cluster.Entries("d1", 1)) }
