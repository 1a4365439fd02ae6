package grratelimit

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grroutes"
)

// QuotaBound limits what all instances together may use of a quota: within any window, the
// quota times 1 + Overshoot, and Slack requests more. Set Window.
type QuotaBound struct {
	Window    grclock.Millis
	Overshoot float64 // fraction of the quota
	Slack     float64 // requests
}

// Parts of the overshoot and of the slack; see also reserveShare and openingShare. What is left
// covers the uneven use of own parts.
const (
	leaseShare    = 0.4 // of the overshoot: units that were granted before the window and are used in it
	ownShare      = 0.2 // of the overshoot: own parts that the allocator does not know of
	capacityShare = 0.4 // of the slack: units that accumulate without a burst
	handoverShare = 0.8 // of the quota: rate of grants after a handover
)

// Limits of the lease of quota units. A shorter lease ends before an answer arrives on a busy
// instance; a longer one leaves units at instances without demand.
const (
	minQuotaLease = 50 * grclock.Millisecond
	maxQuotaLease = 200 * grclock.Millisecond
)

// LeaseTime returns the time after the request for units in which they may be used.
func (b *QuotaBound) LeaseTime() grclock.Millis {
	lease := grclock.Millis(leaseShare * b.Overshoot * float64(b.Window))
	return min(max(lease, minQuotaLease), maxQuotaLease)
}

// HandoverTime returns the time from a change of the members until an instance allocates a
// quota that another one may have allocated before.
func (b *QuotaBound) HandoverTime() grclock.Millis { return viewDelay + b.LeaseTime() }

// span returns the time within which units are granted that can be used within one window.
func (b *QuotaBound) span() grclock.Millis { return b.Window + b.LeaseTime() }

// windowUnits returns the most units to grant within span: the quota's requests of a window, its
// burst, and the units that accumulate without a burst.
func (b *QuotaBound) windowUnits(q grroutes.Quota) float64 {
	return Rate(q.PerSecond).per(b.Window) + max(q.Burst, 1) + capacityShare*b.Slack
}

// grantRate returns the rate at which the allocator grants units. It uses up the units of the
// window, so it can be above the rate of the quota: the burst is permitted in each window.
func (b *QuotaBound) grantRate(q grroutes.Quota) Rate {
	return Rate(b.windowUnits(q) * float64(grclock.Second) / float64(b.span()))
}

// handoverRate returns the rate for a span after a handover, in which the units that the
// previous allocator granted count as well.
func (b *QuotaBound) handoverRate(q grroutes.Quota) Rate { return Rate(handoverShare * q.PerSecond) }

// ownRate returns the rate of the own parts of all instances together that the allocator does
// not know of.
func (b *QuotaBound) ownRate(q grroutes.Quota) Rate {
	return Rate(ownShare * b.Overshoot * q.PerSecond)
}

// capacity returns the most units that accumulate at the allocator: at least what requesters
// use of the quota in the time for which they request units. The window limits them in any case.
func (b *QuotaBound) capacity(q grroutes.Quota) float64 {
	return max(q.Burst, 1, Rate(q.PerSecond).per(b.LeaseTime()/2)) + capacityShare*b.Slack
}

// QuotaTerms are the limits of one organisation according to a version of the routing table.
type QuotaTerms struct {
	Quota   grroutes.Quota
	Version grroutes.Version // 0: the limit is one that an upstream states
}

// Timing of the contact between a requester with steady demand and the allocator.
const (
	// ownPartAfter is the time from the last answered request after which a steady requester
	// may use its own part of the quota.
	ownPartAfter = grclock.Second
	// reserveAfter is the time from the last request after which the allocator reserves that
	// part. It is shorter by the time that a request may take to arrive.
	reserveAfter = 800 * grclock.Millisecond
	// contactTime is the time for which the part stays reserved. Another allocator has been
	// agreed on by then.
	contactTime = 10 * grclock.Second
)

// contacts holds the time of the last request of each steady requester.
type contacts map[string]grclock.Millis

// silent returns the number of steady requesters that may be using their own part.
func (c contacts) silent(now grclock.Millis) int {
	n := 0
	for id, at := range c {
		switch {
		case now-at > contactTime+ownPartAfter:
			delete(c, id)
		case now-at > reserveAfter:
			n++
		}
	}
	return n
}
