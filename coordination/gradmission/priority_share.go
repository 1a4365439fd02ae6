package gradmission

import "geraniumrouter/state/grclock"

// starvationRatio is the served share of a priority ÷ that of all below which the priority
// counts as starved. A quarter is guaranteed; the rest absorbs variations.
const starvationRatio = 0.35

// Standing is the position of a priority among all that have sent requests recently.
type Standing uint8

// The standings of a priority.
const (
	MostUrgent Standing = iota // none is more urgent, or it is starved
	LessUrgent                 // requests that are more urgent go first
	Ahead                      // a larger share of it was admitted than of a more urgent one
)

// PriorityShare compares the admitted shares of the requests of different priorities; 0 is
// the most urgent. The zero value is usable.
type PriorityShare struct {
	loads map[int]*priorityLoad
}

type priorityLoad struct{ sent, admitted usage }

func (l *priorityLoad) share(now grclock.Millis) float64 {
	return l.admitted.decay(now) / max(l.sent.decay(now), 1e-9)
}

// StandingOf returns the standing of a priority.
func (p *PriorityShare) StandingOf(now grclock.Millis, priority int) Standing {
	own := p.loads[priority]
	if own == nil || len(p.loads) == 1 {
		return MostUrgent
	}
	share := own.share(now)
	sent, admitted := 0.0, 0.0
	standing := MostUrgent
	for other, load := range p.loads {
		sent += load.sent.decay(now)
		admitted += load.admitted.decay(now)
		if other >= priority {
			continue
		}
		standing = max(standing, LessUrgent)
		if share > load.share(now) {
			standing = Ahead
		}
	}
	if standing == LessUrgent && share < starvationRatio*admitted/max(sent, 1e-9) {
		return MostUrgent
	}
	return standing
}

// Record records a request and whether it was admitted, and drops idle priorities.
func (p *PriorityShare) Record(now grclock.Millis, priority int, admitted bool) {
	if p.loads == nil {
		p.loads = make(map[int]*priorityLoad)
	}
	load := p.loads[priority]
	if load == nil {
		load = &priorityLoad{}
		p.loads[priority] = load
	}
	load.sent.decay(now)
	load.sent.units++
	load.sent.seenAt = now
	if admitted {
		load.admitted.decay(now)
		load.admitted.units++
	}
	for other, l := range p.loads {
		if now-l.sent.seenAt >= SourceIdle {
			delete(p.loads, other)
		}
	}
}
