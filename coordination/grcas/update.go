// Package grcas changes one object of the platform by conditional update
// (compare-and-swap) and determines the outcome of a write whose reply was lost.
//
// An Update is a pure state machine. Apply must detect that the change was already
// applied, for example by an operation id, and report it as AlreadyApplied:
//
//	update := grcas.Update[Ledger]{Apply: addClaims, Deadline: now + 500}
//	step := update.Start()
//	for step.Kind != grcas.Finish {
//		step = update.ReadDone(...) // or ReadFailed or WriteDone, after carrying out the step
//	}
package grcas

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
)

// StepKind is the action that a step requires.
type StepKind uint8

// The steps of an update.
const (
	Read   StepKind = iota // read the object after Pause
	Write                  // write Next on condition that the object still has Version
	Finish                 // the update has ended; see Outcome
)

// Outcome is the outcome of an update.
type Outcome uint8

// The outcomes of an update.
const (
	Applied   Outcome = iota // the object contains the change
	Rejected                 // not applied and never will be; Err holds the reason
	Uncertain                // the platform did not answer in time; a write may have applied or may still apply
)

// Step is the next action of an update.
type Step[T any] struct {
	Kind    StepKind
	Pause   grclock.Millis
	Version grident.Revision
	Next    T // the object to write; for Finish with Applied, the object as changed
	Outcome Outcome
	Err     *grerror.Error
}

// ApplyResult is the result of Apply for an object as read.
type ApplyResult[T any] struct {
	AlreadyApplied bool           // the object already contains the change
	Err            *grerror.Error // why the change cannot be applied to the object, or nil
	Next           T              // the changed object, if neither AlreadyApplied nor Err is set
}

// WriteOutcome is the outcome of one conditional write.
type WriteOutcome uint8

// The outcomes of a conditional write.
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

// Update applies one change to one object. Set the exported fields before Start.
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
func (u *Update[T]) Start() Step[T] { return Step[T]{Kind: Read} }

// StartFromCached returns the first step for an object cached from an earlier update. It
// saves the read; if the object has changed since, the conditional write fails.
func (u *Update[T]) StartFromCached(now grclock.Millis, cached T, version grident.Revision) Step[T] {
	step := u.ReadDone(now, cached, version)
	if step.Kind == Finish {
		return u.Start()
	}
	return step
}

// ReadDone takes the object as read and returns the next step.
func (u *Update[T]) ReadDone(now grclock.Millis, current T, version grident.Revision) Step[T] {
	result := u.Apply(current, version)
	switch {
	case result.AlreadyApplied:
		return Step[T]{Kind: Finish, Outcome: Applied, Version: version, Next: current}
	case result.Err != nil && u.mayHaveApplied && version == u.lastVersion:
		return u.retry(now) // the earlier write may still arrive
	case result.Err != nil:
		return Step[T]{Kind: Finish, Outcome: Rejected, Err: result.Err}
	case now >= u.Deadline:
		return u.timeOut()
	}
	u.lastVersion, u.lastWritten = version, result.Next
	return Step[T]{Kind: Write, Version: version, Next: result.Next}
}

// ReadFailed records that the object could not be read and returns the next step.
func (u *Update[T]) ReadFailed(now grclock.Millis) Step[T] { return u.retry(now) }

// WriteDone takes the outcome of the write and returns the next step. version is that
// of the object after an applied write.
func (u *Update[T]) WriteDone(now grclock.Millis, outcome WriteOutcome, version grident.Revision) Step[T] {
	switch outcome {
	case WriteApplied:
		return Step[T]{Kind: Finish, Outcome: Applied, Version: version, Next: u.lastWritten}
	case WriteUnknown:
		u.mayHaveApplied = true
	}
	if outcome == VersionConflict {
		return Step[T]{Kind: Read}
	}
	return u.retry(now)
}

// retry retries with a read after an exponentially growing pause with jitter, until
// the deadline.
func (u *Update[T]) retry(now grclock.Millis) Step[T] {
	u.pause = min(maxPause, max(firstPause, 2*u.pause))
	pause := u.pause/2 + grclock.Millis(u.Random.IntN(int(u.pause/2)+1))
	if now+pause >= u.Deadline {
		return u.timeOut()
	}
	return Step[T]{Kind: Read, Pause: pause}
}

func (u *Update[T]) timeOut() Step[T] {
	if u.mayHaveApplied {
		return Step[T]{Kind: Finish, Outcome: Uncertain}
	}
	fault := grerror.New(grerror.PlatformDown, "the platform did not answer in time")
	return Step[T]{Kind: Finish, Outcome: Rejected, Err: fault}
}
