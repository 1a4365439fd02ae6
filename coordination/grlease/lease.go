// Package grlease bounds how long an instance may act on its copy of the platform's state.
//
// A copy is proven as of a point in time if it holds every change that the platform had
// acknowledged by then. A read of the platform proves it as of the time at which the call
// was sent. The answer of another instance that holds the same copy proves it as of the time
// at which the question was sent, less the age that the answer states. Both times are taken
// from the clock of this instance before anything was sent, so that a copy never looks newer
// than it is, however long a message or a process was held up.
//
// The lease ends some time after the proof. Until there is a new proof, nothing may be done
// that relies on the copy, unless reads of the platform fail: the copy is then the newest
// that can be had, and the lease is extended in short steps.
//
// A Lease is a pure state machine:
//
//	lease := &grlease.Lease{Bound: 3 * grclock.Second}
//	lease.Turn(now)
//	lease.ReadBegan(grlease.Searchers, now, 0)
//	lease.ReadSucceeded(grlease.Searchers, sentAt)
//	mayAct := now <= lease.Until(now)
package grlease

import "geraniumrouter/state/grclock"

// Source is a part of the copy that is read from the platform on its own.
type Source uint8

// The sources.
const (
	Searchers   Source = iota // the list of searchers
	Table                     // the routing table
	Evacuations               // the evacuated failure domains
	SourceCount               // the number of sources
)

// String returns the name of the source in logs.
func (s Source) String() string {
	return [...]string{Searchers: "searchers", Table: "table", Evacuations: "evacuations"}[s]
}

// Times as shares of Lease.Bound. Doubt, the reads of all ranks and a read without an answer
// together leave a part of the term for the delays of the loops, so that an outage is known as
// one before a lease ends.
const (
	termShare  = 11.0 / 12 // from the proof to the end of the lease; the rest is for the way to a searcher
	seekShare  = 0.5       // age of a proof at which other instances are asked for a newer one
	doubtShare = 0.6       // age of a proof at which the instance is in doubt and reads itself
	rankShare  = 1.0 / 240 // between the first reads in doubt of two instances
	probeShare = 1.0 / 6   // until a read without an answer counts as failed; also the extension while reads fail
	askShare   = 1.0 / 15  // during which other instances are asked before a failed read counts
	retryShare = 0.5       // between two reads of an instance that follows the first ranks, after one failed
)

// maxReadRanks is the number of instances that begin to read one after the other when in
// doubt. All others begin together after them, spread over as long again, and repeat failed
// reads seldom.
const maxReadRanks = 8

// shortestWait is the wait of a watch whose answer is wanted at once.
const shortestWait = grclock.Millisecond

// Lease is the lease of one instance on its copy. Set the exported fields before use.
type Lease struct {
	// Bound is the time within which a change that the platform has acknowledged must be in
	// force. 0: the copy may always be used.
	Bound grclock.Millis
	// Evacuations tells that the copy holds the evacuated failure domains, too.
	Evacuations bool

	sources   [SourceCount]sourceState
	turnAt    grclock.Millis // last turn of the event loop
	turned    bool           // there was one
	resumedAt grclock.Millis // first turn after the start or after the process stood still
	wasAway   bool           // the platform was away before the process stood still, and nothing is known since
	peerAway  bool           // another instance said since then that it still is
}

// sourceState is what is known of one source.
type sourceState struct {
	proven   bool
	provenAt grclock.Millis
	reading  bool           // a read has no answer yet
	began    grclock.Millis // of the last read that was begun
	due      grclock.Millis // its answer was or is due
	failed   bool           // a read failed since the last proof
	failedAt grclock.Millis // when that read began
	retrying bool           // the last read of this instance failed
}

// part returns a share of Bound.
func (l *Lease) part(share float64) grclock.Millis {
	return grclock.Millis(share * float64(l.Bound))
}

// used returns the sources that the copy consists of.
func (l *Lease) used() []sourceState {
	if l.Evacuations {
		return l.sources[:]
	}
	return l.sources[:Evacuations]
}

// Turn records a turn of the instance's event loop, before the event is handled. It returns
// how long the process stood still before it, or 0 if that was within the usual.
func (l *Lease) Turn(now grclock.Millis) grclock.Millis {
	gap := now - l.turnAt
	first := !l.turned
	wasAway := l.Away(l.turnAt)
	l.turnAt, l.turned = now, true
	if l.Bound == 0 || !first && gap < l.part(probeShare) {
		return 0
	}
	l.resumedAt, l.wasAway, l.peerAway = now, wasAway, false
	if first {
		return 0
	}
	return gap
}

// ReadBegan records that a call to read the source was sent. The platform may hold its answer
// back for the time given.
func (l *Lease) ReadBegan(source Source, at, wait grclock.Millis) {
	s := &l.sources[source]
	s.reading, s.began, s.due = true, at, at+wait
}

// ReadSucceeded records that everything that the platform had acknowledged by the time given
// has been read from the source and applied.
func (l *Lease) ReadSucceeded(source Source, asOf grclock.Millis) {
	l.wasAway, l.peerAway = false, false
	s := &l.sources[source]
	s.reading, s.retrying = false, false
	s.prove(asOf)
}

// ReadFailed records that the read that began at the time given failed. It reports whether
// that says anything of the platform: the process may have stood still meanwhile.
func (l *Lease) ReadFailed(source Source, began grclock.Millis) bool {
	s := &l.sources[source]
	s.reading, s.retrying = false, true
	if began < l.resumedAt {
		return false
	}
	s.failed, s.failedAt = true, began
	return true
}

// PeerAway records that another instance, asked at the time given, cannot read the platform and
// has no newer proof. That is taken from it only where this instance knew of the outage before
// it stood still: the other one may be cut off alone.
func (l *Lease) PeerAway(askedAt grclock.Millis) {
	l.peerAway = l.peerAway || l.wasAway && askedAt >= l.resumedAt
}

// PeerProven records that another instance holds the same copy, proven as of the time given.
func (l *Lease) PeerProven(asOf grclock.Millis) {
	if at, ok := l.ProvenAt(); ok && asOf <= at {
		return
	}
	l.wasAway, l.peerAway = false, false
	for i := range l.used() {
		l.sources[i].prove(asOf)
	}
}

func (s *sourceState) prove(asOf grclock.Millis) {
	if s.proven && asOf <= s.provenAt {
		return
	}
	s.proven, s.provenAt = true, asOf
	s.failed = s.failed && s.failedAt > asOf
}

// ProvenAt returns the time as of which the whole copy is proven; ok is false if it is not.
func (l *Lease) ProvenAt() (at grclock.Millis, ok bool) {
	at = grclock.Never
	for i := range l.used() {
		if !l.sources[i].proven {
			return 0, false
		}
		at = min(at, l.sources[i].provenAt)
	}
	return at, true
}

// Seeks reports whether other instances are to be asked for a newer proof.
func (l *Lease) Seeks(now grclock.Millis) bool {
	at, ok := l.ProvenAt()
	return l.Bound > 0 && (!ok || now-at > l.part(seekShare))
}

// InDoubt reports whether the proof is so old that the platform has to be read.
func (l *Lease) InDoubt(now grclock.Millis) bool {
	return l.doubtAge(now) > 0
}

// doubtAge returns the time since the instance is in doubt, or 0 if it is not.
func (l *Lease) doubtAge(now grclock.Millis) grclock.Millis {
	if l.Bound == 0 {
		return 0
	}
	at, ok := l.ProvenAt()
	if !ok {
		return l.Bound
	}
	return max(now-at-l.part(doubtShare), 0)
}

// DoubtAt returns the time from which the instance is in doubt of the source.
func (l *Lease) DoubtAt(source Source) grclock.Millis {
	s := &l.sources[source]
	switch {
	case l.Bound == 0:
		return grclock.Never
	case !s.proven:
		return 0
	}
	return s.provenAt + l.part(doubtShare)
}

// WatchWait returns how long the platform may hold back its answer to a watch that is sent
// now, of the longest wait given: the answer is due before the source would be in doubt.
func WatchWait(now, doubtAt, longest grclock.Millis) grclock.Millis {
	return min(longest, max(doubtAt-now, shortestWait))
}

// Away reports whether the platform cannot be read and nobody who was asked has read it, so
// that the copy is the newest that can be had.
func (l *Lease) Away(now grclock.Millis) bool {
	if l.peerAway && l.InDoubt(now) {
		return true
	}
	if min(l.doubtAge(now), now-l.resumedAt) < l.part(askShare) || !l.InDoubt(now) {
		return false
	}
	for i := range l.used() {
		if now > l.DoubtAt(Source(i)) && !l.unreadable(&l.sources[i], now) {
			return false
		}
	}
	return true
}

// unreadable reports whether the last read of the source failed or is overdue, and began when
// the process had last resumed or later.
func (l *Lease) unreadable(s *sourceState, now grclock.Millis) bool {
	overdue := s.reading && s.began >= l.resumedAt && now-s.due >= l.part(probeShare)
	return overdue || s.failed && s.failedAt >= l.resumedAt
}

// Until returns the time until which the copy may be used.
func (l *Lease) Until(now grclock.Millis) grclock.Millis {
	if l.Bound == 0 {
		return grclock.Never
	}
	until := l.ProofUntil()
	if l.Away(now) {
		until = max(until, now+l.part(probeShare))
	}
	return until
}

// ProofUntil returns the time until which the copy may be used by its proof, without the
// extensions while reads fail.
func (l *Lease) ProofUntil() grclock.Millis {
	if l.Bound == 0 {
		return grclock.Never
	}
	at, ok := l.ProvenAt()
	if !ok {
		return 0
	}
	return at + l.part(termShare)
}

// ShouldRead reports whether an instance reads the source. watches tells that it does so
// without a doubt, too. rank is the number of instances that read before it; spread from 0 to 1
// sets the ones apart that follow.
func (l *Lease) ShouldRead(now grclock.Millis, source Source, watches bool, rank int, spread float64) bool {
	if int(source) >= len(l.used()) {
		return false
	}
	s := &l.sources[source]
	if rank >= maxReadRanks && s.retrying && s.began >= l.resumedAt && now-s.began < l.part(retryShare) {
		return false
	}
	steps := float64(min(rank, maxReadRanks))
	if rank >= maxReadRanks {
		steps += spread * maxReadRanks
	}
	return watches || now-l.DoubtAt(source) > l.part(steps*rankShare)
}
