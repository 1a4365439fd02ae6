// Package grchange changes one object of the platform by conditional update
// and finds out what became of a write whose reply was lost.
//
// A Change is a pure state machine. Apply must recognise its own earlier
// effect, for example by an operation id, and report it as settled:
//
//	change := grchange.Change[Ledger]{Apply: addClaims, Deadline: now + 500}
//	step := change.Start(now)
//	for step.Kind != grchange.Finish {
//		step = change.Read(...) // or change.Wrote(...), after doing the step
//	}
package grchange

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
)

// StepKind tells what to do next.
type StepKind uint8

// The steps of a change.
const (
	Read   StepKind = iota // read the object after the pause
	Write                  // write Next if the object still has Version
	Finish                 // over; see End
)

// End is how a change ended.
type End uint8

// The ends of a change.
const (
	Applied   End = iota // in force, by this change
	Rejected             // not applied and never will be; Fault says why
	Uncertain            // the platform did not say in time; it may yet apply
)

// Step is what to do next.
type Step[T any] struct {
	Kind    StepKind
	Pause   grclock.Millis
	Version grid.Revision
	Next    T // to write; at the end of an applied change the object with it
	End     End
	Fault   *grfault.Fault
}

// Verdict is what Apply says of the object as read.
type Verdict[T any] struct {
	Settled bool           // the change is already in it
	Fault   *grfault.Fault // the change cannot be made to it
	Next    T              // the object with the change, where neither holds
}

// WriteEnd is how a conditional update ended.
type WriteEnd uint8

// The ends of a conditional update.
const (
	Done     WriteEnd = iota // applied
	Outdated                 // the object has another version
	NotSent                  // not applied: no byte of it was sent
	Lost                     // no answer; it may have applied or may yet apply
)

// Pauses between tries.
const (
	firstPause = 10 * grclock.Millisecond
	maxPause   = 500 * grclock.Millisecond
)

// Change is one change to one object. Set the exported fields before Start.
type Change[T any] struct {
	Apply    func(current T, version grid.Revision) Verdict[T]
	Deadline grclock.Millis
	Random   grid.Random
	pause    grclock.Millis
	wrote    bool // a write may have applied or may yet apply
	version  grid.Revision
	next     T // as last written
}

// Start returns the first step.
func (c *Change[T]) Start() Step[T] { return Step[T]{Kind: Read} }

// StartFrom returns the first step where the object is remembered from an
// earlier change. It saves the read; if the object has changed since, the
// conditional update finds out.
func (c *Change[T]) StartFrom(now grclock.Millis, remembered T, version grid.Revision) Step[T] {
	step := c.Got(now, remembered, version)
	if step.Kind == Finish {
		return c.Start()
	}
	return step
}

// Got takes the object as read.
func (c *Change[T]) Got(now grclock.Millis, current T, version grid.Revision) Step[T] {
	verdict := c.Apply(current, version)
	switch {
	case verdict.Settled:
		return Step[T]{Kind: Finish, End: Applied, Version: version, Next: current}
	case verdict.Fault != nil && c.wrote && version == c.version:
		return c.again(now) // the write may still arrive
	case verdict.Fault != nil:
		return Step[T]{Kind: Finish, End: Rejected, Fault: verdict.Fault}
	case now >= c.Deadline:
		return c.late()
	}
	c.version, c.next = version, verdict.Next
	return Step[T]{Kind: Write, Version: version, Next: verdict.Next}
}

// ReadFailed notes that the object could not be read.
func (c *Change[T]) ReadFailed(now grclock.Millis) Step[T] { return c.again(now) }

// Wrote takes the end of the write.
func (c *Change[T]) Wrote(now grclock.Millis, end WriteEnd, version grid.Revision) Step[T] {
	switch end {
	case Done:
		return Step[T]{Kind: Finish, End: Applied, Version: version, Next: c.next}
	case Lost:
		c.wrote = true
	}
	if end == Outdated {
		return Step[T]{Kind: Read}
	}
	return c.again(now)
}

// again reads once more after a growing pause with jitter, until the deadline.
func (c *Change[T]) again(now grclock.Millis) Step[T] {
	c.pause = min(maxPause, max(firstPause, 2*c.pause))
	pause := c.pause/2 + grclock.Millis(c.Random.Below(int(c.pause/2)+1))
	if now+pause >= c.Deadline {
		return c.late()
	}
	return Step[T]{Kind: Read, Pause: pause}
}

func (c *Change[T]) late() Step[T] {
	if c.wrote {
		return Step[T]{Kind: Finish, End: Uncertain}
	}
	fault := grfault.New(grfault.PlatformDown, "the platform did not answer in time")
	return Step[T]{Kind: Finish, End: Rejected, Fault: fault}
}
