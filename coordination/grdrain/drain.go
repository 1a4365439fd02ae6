// Package grdrain implements the phases of an instance's graceful shutdown: the
// instance is removed from the entry lists, keeps serving until the lists that
// callers hold have expired, then refuses new requests and points callers to
// other instances, completes the requests in flight, and only then stops.
//
//	drain := &grdrain.Drain{TTL: 2 * grclock.Second}
//	drain.Start(now)
//	phase := drain.Step(now, inFlight)
package grdrain

import "geraniumrouter/state/grclock"

// Phase is a phase in the life cycle of an instance.
type Phase uint8

// The phases, in their order.
const (
	Serving  Phase = iota
	Leaving        // removed from the entry lists, still serving
	Refusing       // refuses new requests, completes those in flight
	Closing        // nothing in flight; closes connections and releases claims
	Ended
)

// String returns the name of the phase for operators.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "closing", "ended"}[p]
}

// PropagationMargin is added to the TTL, because an entry list may be on its way to a
// caller and the other instances learn of the departure after a short delay.
const PropagationMargin = 500 * grclock.Millisecond

// notifyDuration is the time allowed for notifying the other instances.
const notifyDuration = 300 * grclock.Millisecond

// idleBeforeClosing is how long no request may be in flight before Closing, so that
// requests still arriving are refused with an answer instead of a closed connection.
const idleBeforeClosing = 200 * grclock.Millisecond

// ClosingTime is the time from the last answer to the end of a shutdown, without the time
// to close the callers' connections.
const ClosingTime = idleBeforeClosing + notifyDuration

// Drain is the state of a graceful shutdown. Set TTL before Start.
type Drain struct {
	TTL        grclock.Millis // how long callers cache an entry list
	phase      Phase
	phaseStart grclock.Millis
	idleSince  grclock.Millis // last time a request was in flight, or the start of the phase
}

// Start begins the shutdown. Further calls have no effect.
func (d *Drain) Start(now grclock.Millis) {
	if d.phase == Serving {
		d.phase, d.phaseStart = Leaving, now
	}
}

// Phase returns the current phase.
func (d *Drain) Phase() Phase { return d.phase }

// Step enters the next phase if it is due, and returns the current phase.
// inFlight is the number of requests being served.
func (d *Drain) Step(now grclock.Millis, inFlight int) Phase {
	switch {
	case d.phase == Leaving && now-d.phaseStart >= d.TTL+PropagationMargin:
		d.enter(Refusing, now)
	case d.phase == Refusing && inFlight > 0:
		d.idleSince = now
	case d.phase == Refusing && now-d.idleSince >= idleBeforeClosing:
		d.enter(Closing, now)
	case d.phase == Closing && now-d.phaseStart >= notifyDuration:
		d.enter(Ended, now)
	}
	return d.phase
}

func (d *Drain) enter(p Phase, now grclock.Millis) { d.phase, d.phaseStart, d.idleSince = p, now, now }
