// Package grdrain leads an instance through a graceful shutdown: it leaves the
// lists of entries, serves on until the lists handed out have run out, refuses
// new work with a hint of others, ends what is in flight, and only then ends.
//
//	drain := &grdrain.Drain{TTL: 2 * grclock.Second}
//	drain.Start(now)
//	phase := drain.Step(now, inFlight)
package grdrain

import "geraniumrouter/state/grclock"

// Phase is a step of the life of an instance.
type Phase uint8

// The phases, in their order.
const (
	Serving  Phase = iota
	Leaving        // out of the lists of entries, serving on
	Refusing       // refuses new work, ends what is in flight
	Closing        // nothing in flight; connections close and claims are released
	Ended
)

// String returns the name of the phase for operators.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "closing", "ended"}[p]
}

// Margin is added to the ttl: a list can be on its way to a caller, and the
// other instances learn of the leaving a little later.
const Margin = 500 * grclock.Millisecond

// closeFor is the time in which the others are told.
const closeFor = 300 * grclock.Millisecond

// quietFor is how long nothing must be in flight before Closing, so that
// requests on their way in are answered with a refusal rather than cut off.
const quietFor = 200 * grclock.Millisecond

// Drain is the state of the shutdown. Set TTL before Start.
type Drain struct {
	TTL   grclock.Millis // for which callers keep a list of entries
	phase Phase
	since grclock.Millis
	quiet grclock.Millis // start of the span without anything in flight
}

// Start begins the shutdown; a second call changes nothing.
func (d *Drain) Start(now grclock.Millis) {
	if d.phase == Serving {
		d.phase, d.since = Leaving, now
	}
}

// Phase returns the current phase.
func (d *Drain) Phase() Phase { return d.phase }

// Step moves on to the next phase if it is time, and returns the phase.
func (d *Drain) Step(now grclock.Millis, inFlight int) Phase {
	switch {
	case d.phase == Leaving && now-d.since >= d.TTL+Margin:
		d.enter(Refusing, now)
	case d.phase == Refusing && inFlight > 0:
		d.quiet = now
	case d.phase == Refusing && now-d.quiet >= quietFor:
		d.enter(Closing, now)
	case d.phase == Closing && now-d.since >= closeFor:
		d.enter(Ended, now)
	}
	return d.phase
}

func (d *Drain) enter(p Phase, now grclock.Millis) { d.phase, d.since, d.quiet = p, now, now }
