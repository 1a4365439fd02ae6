package grstat

import (
	"math"

	"geraniumrouter/state/grclock"
)

// EventRate estimates the rate of recent events: their count decays by half in each
// half-life, which must be the same in all calls. The zero value has seen none.
type EventRate struct {
	count float64
	at    grclock.Millis // of the last change of count
}

// Add records n events.
func (e *EventRate) Add(now grclock.Millis, n int, halfLife grclock.Millis) {
	e.count = e.decayed(now, halfLife) + float64(n)
	e.at = now
}

// PerSecond returns the number of events per second.
func (e *EventRate) PerSecond(now, halfLife grclock.Millis) float64 {
	return e.decayed(now, halfLife) * math.Ln2 * float64(grclock.Second) / float64(halfLife)
}

func (e *EventRate) decayed(now, halfLife grclock.Millis) float64 {
	return e.count * math.Exp2(-float64(now-e.at)/float64(halfLife))
}
