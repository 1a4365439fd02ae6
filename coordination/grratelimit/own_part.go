package grratelimit

import (
	"math"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// ownPart paces the requests that an instance may run without a unit of the allocator. Time is
// divided into slots of the mean interval, with a random phase, so that instances that lose
// the allocator together do not all use a slot at once. Each slot permits one request; slots
// do not accumulate.
type ownPart struct {
	phase    float64 // of the slots, in intervals; drawn with the first slot
	drawn    bool
	interval float64 // in milliseconds
	last     int64   // newest slot that is used or was skipped
	seen     int64   // newest slot in which a request came
}

// take uses a slot and reports whether there was one. If the interval is longer than
// longestIdle, the first slot after a pause is skipped: otherwise many idle instances could
// each use one at the same time.
func (o *ownPart) take(now grclock.Millis, rate Rate, longestIdle grclock.Millis, random *grident.Random) bool {
	if rate <= 0 {
		return false
	}
	if !o.drawn {
		o.phase, o.drawn = random.Float64(), true
	}
	slot := o.slot(now, rate)
	skips := o.interval != rate.interval() || slot > o.seen+1
	o.interval, o.seen = rate.interval(), slot
	if skips && o.interval > float64(longestIdle) {
		o.last = slot
	}
	if skips {
		o.last = min(o.last, slot)
	}
	if slot <= o.last {
		return false
	}
	o.last = slot
	return true
}

func (o *ownPart) slot(now grclock.Millis, rate Rate) int64 {
	return int64(math.Floor(float64(now)/rate.interval() + o.phase))
}

// wait returns the time until the next slot.
func (o *ownPart) wait(now grclock.Millis, rate Rate) grclock.Millis {
	if rate <= 0 {
		return grclock.Second
	}
	at := (float64(o.slot(now, rate)+1) - o.phase) * rate.interval()
	return max(roundedUp(at-float64(now)), 1)
}
