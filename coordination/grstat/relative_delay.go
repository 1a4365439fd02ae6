package grstat

import "geraniumrouter/state/grclock"

// RelativeDelay measures how much later than the fastest message of one sender other
// messages arrive, from send and receive timestamps. The clocks need not be
// synchronised: the smallest difference seen stands for the clock offset plus the
// minimum network delay. The zero value has seen no message.
type RelativeDelay struct {
	minDelay grclock.Millis
	seen     bool
}

// Update adds a message and returns its delay in ms above that of the fastest message
// so far.
func (d *RelativeDelay) Update(sent, received grclock.Millis) grclock.Millis {
	delay := received - sent
	if !d.seen || delay < d.minDelay {
		d.minDelay, d.seen = delay, true
	}
	return delay - d.minDelay
}
