package grstat

import (
	"math"

	"geraniumrouter/state/grclock"
)

// EventRate estimates the rate of recent events: their count decays by half in each
// HalfLife, which must be set.
type EventRate struct {
	HalfLife grclock.Millis
	count    float64
	at       grclock.Millis // of the last change of count
}

// Add records n events.
func (e *EventRate) Add(now grclock.Millis, n int) {
	e.count = e.decayed(now) + float64(n)
	e.at = now
}

// PerSecond returns the number of events per second.
func (e *EventRate) PerSecond(now grclock.Millis) float64 {
	return e.decayed(now) * math.Ln2 * float64(grclock.Second) / float64(e.HalfLife)
}

func (e *EventRate) decayed(now grclock.Millis) float64 {
	return e.count * math.Exp2(-float64(now-e.at)/float64(e.HalfLife))
}
