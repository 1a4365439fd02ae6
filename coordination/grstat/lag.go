package grstat

import "geraniumrouter/state/grclock"

// Lag tells how much later than usual messages of one sender arrive, from the
// times by the sender's and the receiver's clocks. The clocks need not agree: the
// least difference seen stands for both their distance and the usual way. The
// zero value has seen no message.
type Lag struct {
	least grclock.Millis
	seen  bool
}

// Note takes a message and returns by how much it came later than the fastest.
func (l *Lag) Note(sent, received grclock.Millis) grclock.Millis {
	way := received - sent
	if !l.seen || way < l.least {
		l.least, l.seen = way, true
	}
	return way - l.least
}
