// Package grclaim makes requests that are not idempotent run at most once. A
// request is dispatched only by the holder of the claim on its id; claims are
// entries of ledgers, which are objects of the platform changed by conditional
// update. Correctness rests on that update alone: no lease and no clock.
//
// Claims of one ledger that come while a write is in flight go into the next
// write together:
//
//	partition := &grclaim.Partition{Window: 10 * grclock.Minute}
//	partition.Claim(claim)
//	if batch, ok := partition.Next(now); ok {
//		// run a grchange.Change with batch.Apply, then
//		verdicts := partition.Finish(batch, end, ledger)
//	}
package grclaim

import (
	"geraniumrouter/state/grclaimid"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Token names one try to claim an id; no other try ever uses it.
type Token string

// State is what became of a claimed request.
type State uint8

// The states of an entry.
const (
	Pending State = iota // claimed; it may be running
	Done                 // ran; Text holds the answer
	Lost                 // it may have run; no answer is known
)

// Entry is the claim on one request id.
type Entry struct {
	Token Token
	State State
	Text  string
}

// Ledger is the object that holds the claims of one partition.
type Ledger struct {
	ExpiredBefore grclock.Millis // ids made before are refused and forgotten
	Fences        uint64         // writes that only made earlier ones impossible
	Entries       map[grid.RequestID]Entry
}

// Partitions is the number of ledgers.
const Partitions = 64

// PartitionOf returns the partition that holds the claims on an id.
func PartitionOf(id grid.RequestID) int { return int(grid.Hash(id) % Partitions) }

// Claim is a try to claim an id.
type Claim struct {
	ID    grid.RequestID
	Token Token
}

// Outcome is what became of a request whose claim is held.
type Outcome struct {
	Claim
	State State
	Text  string
}

// Verdict is the answer to a claim.
type Verdict uint8

// The verdicts.
const (
	Granted     Verdict = iota // dispatch it; nobody else ever does
	Taken                      // another try holds it; Entry tells what became of it
	Expired                    // the id is too old to be remembered
	Full                       // the ledger has no room
	Unavailable                // the platform did not answer; never dispatch it
)

// Decision is the verdict on one claim.
type Decision struct {
	Claim   Claim
	Verdict Verdict
	Entry   Entry // of the holder, for Taken
}

// maxEntries bounds a ledger, to keep the object well under a megabyte.
const maxEntries = 4000

// Batch is what one write is to bring into a ledger.
type Batch struct {
	Claims   []Claim
	Outcomes []Outcome
	Releases []Claim // claims that were not used, or may still arrive
	Now      grclock.Millis
	Window   grclock.Millis // time for which ids are remembered
	fenced   uint64         // fences needed for the releases to be safe; 0 if none
}

// Apply brings the batch into the ledger. settled is true when nothing of it is
// missing there.
func (b *Batch) Apply(l Ledger) (next Ledger, settled bool) {
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

// release deletes unused claims. A write that is still on its way could bring
// one back, so the ledger is written even where there is nothing to delete:
// with another version of the object the late write can no longer apply.
func (b *Batch) release(l *Ledger) bool {
	held := false
	for _, c := range b.Releases {
		if entry, found := l.Entries[c.ID]; found && entry.Token == c.Token && entry.State == Pending {
			delete(l.Entries, c.ID)
			held = true
		}
	}
	fenced := b.fenced > 0 && l.Fences >= b.fenced
	if len(b.Releases) == 0 || fenced && !held {
		return false
	}
	l.Fences++
	b.fenced = l.Fences
	return true
}

// expire forgets ids older than the window, now and then.
func (b *Batch) expire(l *Ledger) bool {
	limit := b.Now - b.Window
	if limit-l.ExpiredBefore < b.Window/expiriesPerWindow {
		return false
	}
	l.ExpiredBefore = limit
	for id := range l.Entries {
		if madeAt, err := grclaimid.Time(id); err != nil || madeAt < limit {
			delete(l.Entries, id)
		}
	}
	return true
}

// expiriesPerWindow is how often old ids are forgotten within a window.
const expiriesPerWindow = 16

// decide returns the verdict on a claim that follows from a ledger.
func decide(l *Ledger, c Claim) Decision {
	entry, held := l.Entries[c.ID]
	switch {
	case held && entry.Token == c.Token:
		return Decision{Claim: c, Verdict: Granted}
	case held:
		return Decision{Claim: c, Verdict: Taken, Entry: entry}
	case l.expired(c.ID):
		return Decision{Claim: c, Verdict: Expired}
	}
	return Decision{Claim: c, Verdict: Full}
}

func (l *Ledger) claimable(c Claim) bool {
	_, held := l.Entries[c.ID]
	return !held && !l.expired(c.ID) && len(l.Entries) < maxEntries
}

func (l *Ledger) expired(id grid.RequestID) bool {
	madeAt, err := grclaimid.Time(id)
	return err != nil || madeAt < l.ExpiredBefore
}

func (l *Ledger) clone() Ledger {
	next := Ledger{ExpiredBefore: l.ExpiredBefore, Fences: l.Fences, Entries: make(map[grid.RequestID]Entry, len(l.Entries)+1)}
	for id, entry := range l.Entries {
		next.Entries[id] = entry
	}
	return next
}
