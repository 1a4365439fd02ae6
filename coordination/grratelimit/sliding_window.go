package grratelimit

import "geraniumrouter/state/grclock"

// windowSlots is the number of slots that a slidingWindow counts units in.
const windowSlots = 51

// slidingWindow counts the units that were granted within the last span of time, and up to a
// slot longer. The span must not change.
type slidingWindow struct {
	slots  [windowSlots]int
	newest int64 // number of the newest slot
	total  int
}

// slotLength returns the length of a slot: one slot more than the span is counted.
func slotLength(span grclock.Millis) grclock.Millis {
	return max((span+windowSlots-2)/(windowSlots-1), 1)
}

// count returns the number of units granted within the span.
func (w *slidingWindow) count(now, span grclock.Millis) int {
	w.advance(now, span)
	return w.total
}

// add records granted units, or with a negative number units that were handed back. Of those
// it takes back no more than the newest slots hold.
func (w *slidingWindow) add(now, span grclock.Millis, units int) {
	w.advance(now, span)
	for slot := w.newest; units < 0 && slot > w.newest-windowSlots; slot-- {
		held := &w.slots[index(slot)]
		back := min(-units, *held)
		*held -= back
		w.total -= back
		units += back
	}
	if units > 0 {
		w.slots[index(w.newest)] += units
		w.total += units
	}
}

// untilFree returns the time until fewer units are counted than at present.
func (w *slidingWindow) untilFree(now, span grclock.Millis) grclock.Millis {
	w.advance(now, span)
	length := slotLength(span)
	for slot := w.newest - windowSlots + 1; slot <= w.newest; slot++ {
		if w.slots[index(slot)] > 0 {
			return max(grclock.Millis(slot+windowSlots)*length-now, 1)
		}
	}
	return 0
}

// advance drops the slots that are older than the span.
func (w *slidingWindow) advance(now, span grclock.Millis) {
	newest := int64(now / slotLength(span))
	for slot := max(w.newest+1, newest-windowSlots+1); slot <= newest; slot++ {
		w.total -= w.slots[index(slot)]
		w.slots[index(slot)] = 0
	}
	w.newest = max(w.newest, newest)
}

func index(slot int64) int {
	return int((slot%windowSlots + windowSlots) % windowSlots)
}
