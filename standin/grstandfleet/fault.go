package grstandfleet

import (
	"fmt"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
)

// Kill ends a member at once; its connections close.
func (f *Fleet) Kill(i int) {
	m := f.members[i]
	m.floor = f.floorFor(m)
	m.alive, m.conns = false, 0
}

// floorFor returns the generation in force on the member if a live peer that it
// can reach knows it too.
func (f *Fleet) floorFor(m *member) grid.Generation {
	known := grid.Generation(0)
	for _, other := range f.members {
		if other != m && other.alive && !other.paused && other.inForce && !f.cuts[[2]int{m.index, other.index}] {
			known = max(known, other.generation)
		}
	}
	return min(known, m.generation)
}

// Restart begins a new run of a member that was killed.
func (f *Fleet) Restart(i int) {
	if !f.members[i].alive {
		f.members[i].start()
	}
}

// Pause stops a member for the span; what comes for it waits.
func (f *Fleet) Pause(i int, span grclock.Millis) {
	m := f.members[i]
	if !m.alive || m.paused {
		return
	}
	m.paused = true
	run := m.run
	f.after(span, func() {
		if m.run != run || !m.alive {
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

// Cut separates two members, or joins them again.
func (f *Fleet) Cut(a, b int, cut bool) {
	f.cuts[[2]int{a, b}] = cut
	f.cuts[[2]int{b, a}] = cut
}

// Switch lets an operator switch the preset at a member. The switch is accepted
// by the platform's conditional update; ok is false when it was not.
func (f *Fleet) Switch(i int, name string) (generation grid.Generation, ok bool) {
	m := f.members[i]
	p := &f.Platform
	if p.Down || !m.alive || m.paused {
		return 0, false
	}
	p.Calls++
	a := grpreset.Active{
		Generation: grid.Generation(len(p.active) + 1), SwitchedAt: f.Now,
		Preset: grpreset.Preset{Name: grpreset.Name(name), MaxQueries: 400, MaxQueue: 256},
	}
	p.active = append(p.active, a)
	if f.Config.Plant != LoseSwitch {
		m.control.Adopt(f.Now, &a, &m.out)
		m.carryOut()
	}
	return a.Generation, true
}

// InForce returns the number of live members on which the generation or a
// higher one is in force, and the number of live members.
func (f *Fleet) InForce(generation grid.Generation) (have, live int) {
	for _, m := range f.members {
		if m.alive && !m.paused {
			live++
			if m.inForce && m.generation >= generation {
				have++
			}
		}
	}
	return have, live
}

// MarkLeaving lets a member find that a searcher is leaving.
func (f *Fleet) MarkLeaving(i, searcher int) {
	m := f.members[i]
	m.control.MarkLeaving(f.Now, f.Platform.list[searcher].ID, 1, &m.out)
	m.carryOut()
}

// KnowLeaving returns the number of live members that give a searcher no new
// work.
func (f *Fleet) KnowLeaving(searcher int) int {
	n := 0
	for _, m := range f.members {
		if !m.alive {
			continue
		}
		for _, s := range m.control.Searchers() {
			if s.ID == f.Platform.list[searcher].ID && s.State != 0 {
				n++
			}
		}
	}
	return n
}

// Divisors returns the divisor of each live member.
func (f *Fleet) Divisors() []int {
	var list []int
	for _, m := range f.members {
		if m.alive {
			list = append(list, m.conns)
		}
	}
	return list
}

// useShare opens and closes connections as the member may. Those in use close
// a while later.
func (m *member) useShare() {
	f := m.fleet
	divisor := m.control.Divisor()
	if f.Config.Plant == TakeAtOnce && divisor == 0 {
		divisor = 1
	}
	lower := m.control.Lowering()
	if lower == 0 {
		m.conns = divisor
		return
	}
	run := m.run
	f.after(grclock.Millis(f.random.Below(100)), func() {
		m.deliver(func() {
			if m.run == run && m.control.Lowering() > 0 && m.control.Lowering() <= lower {
				m.conns = lower
				m.control.Lowered(f.Now, lower, &m.out)
				m.carryOut()
			}
		})
	})
}

// checkShares checks that the connections of all members together are within
// the limit. A paused member keeps its connections.
func (f *Fleet) checkShares() {
	clear(f.totals)
	for _, m := range f.members {
		if m.alive && m.conns > 0 {
			f.totals[m.group] += f.Config.ConnLimit / m.conns
		}
	}
	for _, n := range f.totals {
		if n > f.Config.ConnLimit {
			f.violate("connections: %d of %d, divisors %v", n, f.Config.ConnLimit, f.Divisors())
		}
	}
}

// String describes the members, for traces.
func (f *Fleet) String() string {
	text := ""
	for _, m := range f.members {
		text += fmt.Sprintf("[%d alive %v paused %v gen %d divisor %d] ", m.index, m.alive, m.paused, m.generation, m.conns)
	}
	return text
}

// healTime is enough for all to agree again.
const healTime = 5 * grclock.Second

// Heal ends all faults, restarts what was killed and lets everything settle.
func (f *Fleet) Heal() {
	f.Platform.Down, f.Platform.Stale = false, false
	clear(f.cuts)
	for i, m := range f.members {
		if !m.alive {
			f.Restart(i)
		}
	}
	f.Run(healTime)
}

// CheckHealed checks that the last switch is in force on all, and that each
// holds its part of the connections.
func (f *Fleet) CheckHealed() {
	if last := grid.Generation(len(f.Platform.active)); last > 0 {
		if have, live := f.InForce(last); have != live {
			f.violate("healed: generation %d is in force on %d of %d", last, have, live)
		}
	}
	for _, m := range f.members {
		if m.conns != len(f.members) {
			f.violate("healed: divisors %v of %d members", f.Divisors(), len(f.members))
			return
		}
	}
}

// Entries returns the number of entries that a member tells callers to use.
func (f *Fleet) Entries(i int) int { return len(f.members[i].control.Entries("d1", 1)) }
