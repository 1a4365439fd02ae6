// Package grclaim ensures that requests that are not idempotent run at most once. A
// request is dispatched only by the holder of the claim on its id. Claims are entries
// of ledgers, which are objects on the platform changed by conditional update. That
// update alone guarantees correctness; neither leases nor clocks are needed for it.
//
// Claims on one ledger that arrive while a write is in flight are combined into the
// next write:
//
//	partition := &grclaim.Partition{Window: 10 * grclock.Minute}
//	partition.Claim(claim)
//	if batch, ok := partition.Next(now); ok {
//		// run a grcas.Update with batch.Apply, then
//		decisions := partition.Complete(batch, outcome, ledger)
//	}
package grclaim

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grrequestid"
)

// Token identifies one attempt to claim an id. It is unique among all attempts.
type Token string

// State is the state of a claimed request.
type State uint8

// The states of an entry.
const (
	Pending        State = iota // claimed; may be running
	Done                        // completed; Text holds the answer
	UnknownOutcome              // may have run; the answer is unknown
)

// Entry is the claim on one request id.
type Entry struct {
	Token Token
	State State
	Text  string
}

// Ledger is the content of the platform object that holds the claims of one
// partition.
type Ledger struct {
	ExpiredBefore grclock.Millis // ids created before are refused and removed
	FencingWrites uint64         // number of writes made to invalidate earlier ones that may still arrive
	Entries       map[grident.RequestID]Entry
}

// Partitions is the number of partitions, each with its own ledger.
const Partitions = 64

// PartitionOf returns the partition that holds the claims on an id.
func PartitionOf(id grident.RequestID) int { return int(grident.Hash(id) % Partitions) }

// Claim is an attempt to claim an id.
type Claim struct {
	ID    grident.RequestID
	Token Token
}

// Outcome is the outcome of a request under its claim.
type Outcome struct {
	Claim
	State State
	Text  string
}

// Verdict is the result of a claim.
type Verdict uint8

// The verdicts.
const (
	Granted        Verdict = iota // dispatch the request; no other attempt ever will
	AlreadyClaimed                // another attempt holds the claim; see Entry for its state
	Expired                       // the id is older than the retention window
	Full                          // the ledger is full
	Unavailable                   // the platform did not answer; never dispatch the request
)

// Decision is the verdict on one claim.
type Decision struct {
	Claim   Claim
	Verdict Verdict
	Entry   Entry // entry of the holder, for AlreadyClaimed
}

// maxEntries bounds the entries of a ledger, to keep the object well under 1 MB.
const maxEntries = 4000

// Batch is the set of updates that one write applies to a ledger.
type Batch struct {
	Claims   []Claim
	Outcomes []Outcome
	Releases []Claim // claims that were not used, including those whose write may still arrive
	Now      grclock.Millis
	Window   grclock.Millis // how long ids are retained
	safeFrom uint64         // value of Ledger.FencingWrites from which the releases are safe; 0 if not yet set
}

// Apply returns the ledger with the batch applied. alreadyApplied is true if
// the ledger already contains the whole batch.
func (b *Batch) Apply(l Ledger) (next Ledger, alreadyApplied bool) {
	next = l.clone()
	changed := b.expire(&next)
	for _, c := range b.Claims {
		if decide(&l, c).Verdict == Granted || !next.claimable(c) {
			continue
		}
		next.Entries[c.ID] = Entry{Token: c.Token}
		changed = true
	}
	for _, o := range b.Outcomes {
		entry, held := next.Entries[o.ID]
		if held && entry.Token == o.Token && entry.State == Pending {
			next.Entries[o.ID] = Entry{Token: o.Token, State: o.State, Text: o.Text}
			changed = true
		}
	}
	if b.release(&next) {
		changed = true
	}
	return next, !changed
}

// release deletes unused claims. A delayed write could create one of them again, so
// the ledger is written even if there is nothing to delete: this changes the object's
// version, and the condition of the delayed write then fails.
func (b *Batch) release(l *Ledger) bool {
	held := false
	for _, c := range b.Releases {
		if entry, found := l.Entries[c.ID]; found && entry.Token == c.Token && entry.State == Pending {
			delete(l.Entries, c.ID)
			held = true
		}
	}
	fenced := b.safeFrom > 0 && l.FencingWrites >= b.safeFrom
	if len(b.Releases) == 0 || fenced && !held {
		return false
	}
	l.FencingWrites++
	b.safeFrom = l.FencingWrites
	return true
}

// expire removes ids older than the window, expiriesPerWindow times within each
// window. It reports whether it changed the ledger.
func (b *Batch) expire(l *Ledger) bool {
	limit := b.Now - b.Window
	if limit-l.ExpiredBefore < b.Window/expiriesPerWindow {
		return false
	}
	l.ExpiredBefore = limit
	for id := range l.Entries {
		if createdAt, err := grrequestid.Time(id); err != nil || createdAt < limit {
			delete(l.Entries, id)
		}
	}
	return true
}

// expiriesPerWindow is how often old ids are removed within a window.
const expiriesPerWindow = 16

// decide returns the verdict on a claim from the ledger as written.
func decide(l *Ledger, c Claim) Decision {
	entry, held := l.Entries[c.ID]
	switch {
	case held && entry.Token == c.Token:
		return Decision{Claim: c, Verdict: Granted}
	case held:
		return Decision{Claim: c, Verdict: AlreadyClaimed, Entry: entry}
	case l.expired(c.ID):
		return Decision{Claim: c, Verdict: Expired}
	}
	return Decision{Claim: c, Verdict: Full}
}

func (l *Ledger) claimable(c Claim) bool {
	_, held := l.Entries[c.ID]
	return !held && !l.expired(c.ID) && len(l.Entries) < maxEntries
}

func (l *Ledger) expired(id grident.RequestID) bool {
	createdAt, err := grrequestid.Time(id)
	return err != nil || createdAt < l.ExpiredBefore
}

func (l *Ledger) clone() Ledger {
	next := Ledger{ExpiredBefore: l.ExpiredBefore, FencingWrites: l.FencingWrites, Entries: make(map[grident.RequestID]Entry, len(l.Entries)+1)}
	for id, entry := range l.Entries {
		next.Entries[id] = entry
	}
	return next
}
