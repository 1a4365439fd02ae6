// Package grregistry decides when a searcher that the platform's list lacks counts as
// gone. The list as read is the truth as of its revision, so what any instance holds of
// before and the list lacks has been removed. The exception are entries that expired
// because the platform was away: their searchers could not renew them, and have some time
// to register again.
//
// A Registry is a pure state machine. It is told of reads and of what they lack, and
// returns what has been removed:
//
//	registry := &grregistry.Registry{}
//	registry.ReadSucceeded(now, revision)
//	registry.Missing("searcher-1", revision)
//	removals := registry.TakeDue(now)
package grregistry

import (
	"slices"
	"strings"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// GracePeriod is how long after an outage an entry may be missing before its searcher
// counts as gone. Running searchers register again within two seconds, and reading
// the list takes additional time.
const GracePeriod = 2500 * grclock.Millisecond

// Removal is the removal of a searcher's entry, known as of a revision.
type Removal struct {
	ID       grident.SearcherID
	Revision grident.Revision
}

// Registry holds what this instance knows of the platform's list. The zero value is ready
// to use.
type Registry struct {
	// LapseTime is the shortest outage in which an entry can expire; 0: any. An outage is no
	// longer than the time between two reads of any instance before and after it.
	LapseTime grclock.Millis

	readUpTo     grident.Revision // every change up to this revision was read; 0: no complete list was read
	outage       bool             // the last read failed
	outageFrom   grclock.Millis   // as of which the platform had served a read before the outage
	failedAt     grclock.Millis   // last failure
	servedAt     grclock.Millis   // as of which the platform is known to have served a read of any instance
	readingSince grclock.Millis   // first successful read of any instance since the start or the last time that entries may have expired
	graceEnd     grclock.Millis   // end of the grace period after the last outage
	peerOutage   bool             // another instance said that the platform was away, last at peerOutageAt
	peerOutageAt grclock.Millis
	pending      map[grident.SearcherID]pendingRemoval
}

// pendingRemoval is a removal that waits for the searcher to register again.
type pendingRemoval struct {
	revision grident.Revision
	deadline grclock.Millis
}

// ReadUpTo returns the revision up to which every change was read, or 0.
func (r *Registry) ReadUpTo() grident.Revision { return r.readUpTo }

// ReadFailed records that reading from the platform failed.
func (r *Registry) ReadFailed(now grclock.Millis) {
	if !r.outage {
		r.outageFrom = r.servedAt
	}
	r.outage, r.failedAt = true, now
}

// PeerOutage records that another instance says that the platform is away, or was until just
// before the time given.
func (r *Registry) PeerOutage(at grclock.Millis) { r.peerOutage, r.peerOutageAt = true, at }

// AwaitsReturns reports whether the platform is away or was until just now, so that searchers
// without an entry may register again.
func (r *Registry) AwaitsReturns(now grclock.Millis) bool { return r.outage || now < r.graceEnd }

// ReadSucceeded records that the platform answered, which ends an outage, and that every
// change up to the revision was read. The grace period starts again for entries that are
// missing already.
func (r *Registry) ReadSucceeded(now grclock.Millis, upTo grident.Revision) {
	if r.readUpTo == 0 {
		r.readingSince = now
	}
	r.readUpTo = max(r.readUpTo, upTo)
	r.endOutage(now)
	r.noteServed(now, now)
}

// Served records that the platform served a read of another instance as of the time given. It
// ends an outage that began before.
func (r *Registry) Served(now, at grclock.Millis) {
	if at > r.failedAt {
		r.endOutage(now)
	}
	r.noteServed(now, at)
}

// noteServed notes the newest time as of which any instance has read the platform.
func (r *Registry) noteServed(now, at grclock.Millis) {
	if r.LapseTime > 0 && at-r.servedAt >= r.LapseTime {
		r.readingSince = now
	}
	r.servedAt = max(r.servedAt, at)
}

func (r *Registry) endOutage(now grclock.Millis) {
	if !r.outage {
		return
	}
	r.outage = false
	if now-r.outageFrom < r.LapseTime {
		return
	}
	r.Restored(now)
}

// Restored records that the platform came back from a copy of its state before the time given.
// The copy may lack newer entries, which their searchers write again, so a grace period starts.
func (r *Registry) Restored(at grclock.Millis) {
	r.readingSince, r.graceEnd = max(r.readingSince, at), max(r.graceEnd, at+GracePeriod)
	for id, m := range r.pending {
		m.deadline = r.graceEnd
		r.pending[id] = m
	}
}

// Listed records that the searcher has an entry.
func (r *Registry) Listed(id grident.SearcherID) { delete(r.pending, id) }

// Missing records that the platform has no entry of the searcher as of the revision. It is
// removed at once, or at the end of a grace period.
func (r *Registry) Missing(id grident.SearcherID, at grident.Revision) {
	if r.pending == nil {
		r.pending = make(map[grident.SearcherID]pendingRemoval)
	}
	m, waiting := r.pending[id]
	if !waiting {
		m.deadline = r.graceEnd
	}
	m.revision = max(m.revision, at)
	r.pending[id] = m
}

// TakeDue returns the removals whose grace period has run out, ordered by searcher.
func (r *Registry) TakeDue(now grclock.Millis) []Removal {
	if r.outage {
		return nil
	}
	var due []Removal
	for id, m := range r.pending {
		if now >= max(m.deadline, r.startGraceEnd(now)) {
			due = append(due, Removal{id, m.revision})
		}
	}
	for _, removal := range due {
		delete(r.pending, removal.ID)
	}
	slices.SortFunc(due, func(a, b Removal) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return due
}

// startGraceEnd returns the end of the grace period of an instance that began to read while
// others could not reach the platform, so that an outage may have ended just before; 0 for
// any other instance.
func (r *Registry) startGraceEnd(now grclock.Millis) grclock.Millis {
	if !r.peerOutage || now-r.peerOutageAt >= GracePeriod {
		return 0
	}
	return r.readingSince + GracePeriod
}
