package grdispatch

import (
	"math"
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Two instances may send the same sub-request: the owner that it was delegated to, and
// the requesting instance if the owner does not respond. Neither knows what the other
// sent, so the searchers are divided between them in advance: one is
// reserved for the requesting instance, which sends to no other, and the owner counts
// it as having received the sub-request already. Together they therefore never send to
// more searchers than allowed, whatever the timing.

// ReserveSearcher returns the searcher that an instance reserves for itself when it
// delegates a sub-request to an owner in the given failure domain. It prefers a searcher
// of another domain than the owner's, so that one domain's outage does not affect both.
// It returns 0 if no searcher accepts work.
func (d *Dispatcher) ReserveSearcher(now grclock.Millis, owner grident.FailureDomain) grident.SearcherTag {
	best, bestScore := grident.SearcherTag(0), math.Inf(1)
	for i := range d.searchers {
		r := &d.searchers[i]
		if !r.usable() {
			continue
		}
		score := d.expectedWait(now, r)
		if r.Domain == owner || r.refuses(now) || r.ejectedUntil > now || d.limited(now, r) {
			score += triedPenalty
		}
		if score < bestScore {
			best, bestScore = r.tag, score
		}
	}
	return best
}

// allows reports whether the sub-request may be sent to the searcher.
func (d *Dispatcher) allows(s *pendingRequest, searcher int32) bool {
	tag := d.searchers[searcher].tag
	switch {
	case s.OnlySearcher != 0:
		return tag == s.OnlySearcher
	case s.ReservedSearcher == 0 || tag == s.ReservedSearcher:
		return true
	}
	used := 1 // the reserved searcher
	for k, other := range s.sentTo[:s.sent] {
		if other == searcher {
			return true
		}
		if d.searchers[other].tag != s.ReservedSearcher && !slices.Contains(s.sentTo[:k], other) {
			used++
		}
	}
	return used < d.maxAttempts(s)
}

// restricted reports whether the sub-request may be sent to some searchers only.
func (s *pendingRequest) restricted() bool { return s.OnlySearcher != 0 || s.ReservedSearcher != 0 }
