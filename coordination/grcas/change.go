// Package grcas changes one object of the platform by conditional update
// (compare-and-swap) and determines the outcome of a write whose reply was lost.
//
// A Change is a pure state machine. Apply must detect that the change was already
// applied, for example by an operation id, and report it as settled:
//
//	change := grcas.Change[Ledger]{Apply: addClaims, Deadline: now + 500}
//	step := change.Start(now)
//	for step.Kind != grcas.Finish {
//		step = change.Got(...) // or ReadFailed or Wrote, after carrying out the step
//	}
package grcas

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
)

// StepKind is the action that a step requires.
type StepKind uint8

// The steps of a change.
const (
	Read   StepKind = iota // read the object after Pause
	Write                  // write Next on condition that the object still has Version
	Finish                 // the change has ended; see End
)

// Outcome is the outcome of a change.
type Outcome uint8

// The outcomes of a change.
const (
	Applied   Outcome = iota // the object contains the change
	Rejected                 // not applied and never will be; Fault holds the reason
	Uncertain                // the platform did not answer in time; a write may have applied or may still apply
)

// Step is the next action of a change.
type Step[T any] struct {
	Kind    StepKind
	Pause   grclock.Millis
	Version grident.Revision
	Next    T // the object to write; for Finish with Applied, the object as changed
	Outcome Outcome
	Fault   *grerror.Error
}

// ApplyResult is the result of Apply for an object as read.
type ApplyResult[T any] struct {
	AlreadyApplied bool           // the object already contains the change
	Fault          *grerror.Error // why the change cannot be applied to the object, or nil
	Next           T              // the changed object, if neither Settled nor Fault is set
}

// WriteOutcome is the outcome of a conditional update.
type WriteOutcome uint8

// The outcomes of a conditional update.
const (
	WriteApplied    WriteOutcome = iota // applied
	VersionConflict                     // not applied: the object has another version
	NotSent                             // not applied: no byte of the request was sent
	WriteUnknown                        // no answer; it may have applied or may still apply
)

// Pauses between attempts.
const (
	firstPause = 10 * grclock.Millisecond
	maxPause   = 500 * grclock.Millisecond
)

// Update is one change of one object. Set the exported fields before Start.
type Update[T any] struct {
	Apply          func(current T, version grident.Revision) ApplyResult[T]
	Deadline       grclock.Millis
	Random         grident.Random
	pause          grclock.Millis
	mayHaveApplied bool             // a write may have applied or may still apply
	lastVersion    grident.Revision // condition of the last write
	lastWritten    T                // object of the last write
}

// Start returns the first step.
func (c *Update[T]) Start() Step[T] { return Step[T]{Kind: Read} }

// StartFromCached returns the first step for an object cached from an earlier change. It
// saves the read; if the object has changed since, the conditional update fails.
func (c *Update[T]) StartFromCached(now grclock.Millis, remembered T, version grident.Revision) Step[T] {
	step := c.ReadDone(now, remembered, version)
	if step.Kind == Finish {
		return c.Start()
	}
	return step
}

// ReadDone takes the object as read and returns the next step.
func (c *Update[T]) ReadDone(now grclock.Millis, current T, version grident.Revision) Step[T] {
	verdict := c.Apply(current, version)
	switch {
	case verdict.AlreadyApplied:
		return Step[T]{Kind: Finish, Outcome: Applied, Version: version, Next: current}
	case verdict.Fault != nil && c.mayHaveApplied && version == c.lastVersion:
		return c.retry(now) // the earlier write may still arrive
	case verdict.Fault != nil:
		return Step[T]{Kind: Finish, Outcome: Rejected, Fault: verdict.Fault}
	case now >= c.Deadline:
		return c.timeOut()
	}
	c.lastVersion, c.lastWritten = version, verdict.Next
	return Step[T]{Kind: Write, Version: version, Next: verdict.Next}
}

// ReadFailed records that the object could not be read and returns the next step.
func (c *Update[T]) ReadFailed(now grclock.Millis) Step[T] { return c.retry(now) }

// WriteDone takes the outcome of the write and returns the next step. version is that of
// the object after an applied write.
func (c *Update[T]) WriteDone(now grclock.Millis, end WriteOutcome, version grident.Revision) Step[T] {
	switch end {
	case WriteApplied:
		return Step[T]{Kind: Finish, Outcome: Applied, Version: version, Next: c.lastWritten}
	case WriteUnknown:
		c.mayHaveApplied = true
	}
	if end == VersionConflict {
		return Step[T]{Kind: Read}
	}
	return c.retry(now)
}

// retry retries with a read after an exponentially growing pause with jitter, until
// the deadline.
func (c *Update[T]) retry(now grclock.Millis) Step[T] {
	c.pause = min(maxPause, max(firstPause, 2*c.pause))
	pause := c.pause/2 + grclock.Millis(c.Random.IntN(int(c.pause/2)+1))
	if now+pause >= c.Deadline {
		return c.timeOut()
	}
	return Step[T]{Kind: Read, Pause: pause}
}

func (c *Update[T]) timeOut() Step[T] {
	if c.mayHaveApplied {
		return Step[T]{Kind: Finish, Outcome: Uncertain}
	}
	fault := grerror.New(grerror.PlatformDown, "the platform did not answer in time")
	return Step[T]{Kind: Finish, Outcome: Rejected, Fault: fault}
}
