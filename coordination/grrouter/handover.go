package grrouter

import (
	"slices"

	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// An instance that takes over the allocation of a quota grants nothing until its predecessor
// has ceased to. It knows that at once if the predecessor has ended or is leaving, and as soon
// as the predecessor answers that it names this instance as the allocator. After a start it knows
// no predecessor: then every instance that may be running has to answer that. Otherwise it waits
// for the handover time.

// memberView is the list of instances that could allocate until a change.
type memberView struct {
	until grclock.Millis
	known bool // false before the first list
	self  bool // whether this instance was one of them
	peers []Peer
}

// handover is the confirmation that an instance requests from the predecessor or, if it does not
// know one, from every other instance.
type handover struct {
	predecessor grident.InstanceID // "": not known
	terms       grratelimit.QuotaTerms
	confirmed   map[grident.InstanceID]grratelimit.Handover
	askAt       grclock.Millis // a sweep for another organisation does not ask again before
}

// recordView keeps the members before a change, for the handover time.
func (r *Router) recordView(now grclock.Millis) {
	oldest := now - grratelimit.HandoverTime
	for len(r.quotas.pastViews) > 0 && r.quotas.pastViews[0].until < oldest {
		r.quotas.forgottenUntil, r.quotas.pastViews = r.quotas.pastViews[0].until, r.quotas.pastViews[1:]
	}
	view := r.quotas.currentView
	view.until = now
	r.quotas.pastViews = append(r.quotas.pastViews, view)
	r.quotas.currentView = memberView{known: true, self: r.mayAllocate()}
	for i := range r.peers {
		r.quotas.currentView.peers = append(r.quotas.currentView.peers, r.peers[i].Peer)
	}
}

// mayAllocate reports whether the other instances may name this one as an allocator.
func (r *Router) mayAllocate() bool {
	return !r.membership.Leaving && !(r.membership.Unlisted && len(r.peers) > 0)
}

// quotaAllocator returns the instance that allocates the quota of an organisation.
func (r *Router) quotaAllocator(name grident.Organisation) grident.InstanceID {
	return r.allocatorOf("", grident.SearcherID(name), "")
}

// allocatorIn returns the instance that allocated the quota according to an earlier view, or ""
// if that is not known.
func (r *Router) allocatorIn(v *memberView, name grident.Organisation) grident.InstanceID {
	if !v.known {
		return ""
	}
	c := allocatorChoice{seed: grident.Hash(grident.SearcherID(name))}
	if v.self {
		c.consider(r.Self, r.Domain)
	}
	for _, p := range v.peers {
		c.consider(p.ID, p.Domain)
	}
	return c.best
}

// quotaOpensAt returns the time from which this instance may grant units of a quota, the time of
// the change before, and the confirmation that would permit it earlier; nil if there is none.
func (r *Router) quotaOpensAt(name grident.Organisation) (opensAt, changedAt grclock.Millis, h *handover) {
	bound := r.quotaBound()
	opensAt, changedAt, h = r.quotaOpensByViews(name)
	if p := r.quotas.pausedAt; p > 0 && p+bound.HandoverTime() > opensAt {
		return p + bound.HandoverTime(), p, nil
	}
	return opensAt, changedAt, h
}

// quotaOpensByViews returns what quotaOpensAt does for a process that was not suspended.
func (r *Router) quotaOpensByViews(name grident.Organisation) (opensAt, changedAt grclock.Millis, h *handover) {
	bound := r.quotaBound()
	for i := len(r.quotas.pastViews) - 1; i >= 0; i-- {
		v := &r.quotas.pastViews[i]
		predecessor := r.allocatorIn(v, name)
		switch {
		case predecessor == r.Self:
		case predecessor == "":
			return v.until + bound.HandoverTime(), v.until, &handover{}
		case r.peer(predecessor) == nil && !slices.Contains(r.membership.Suspects, predecessor):
			return v.until + bound.LeaseTime(), v.until, nil
		default:
			return v.until + bound.HandoverTime(), v.until, &handover{predecessor: predecessor}
		}
	}
	until := max(r.quotas.forgottenUntil, r.quotas.startedAt)
	return until + bound.HandoverTime(), until, nil
}

// pauseTime is the delay of the sweep from which this process counts as having been suspended.
// The others have not agreed on another allocator before.
const pauseTime = 1500 * grclock.Millisecond

// armSweep lets the sweep run, which notices a suspension of this process.
func (r *Router) armSweep(now grclock.Millis) {
	if r.quotas.sweepAt == 0 {
		r.quotas.sweepAt = now + quotaSweepInterval
	}
}

// checkPause closes the allocators of quotas if this process was suspended: others may have
// taken over, and this instance does not know it yet.
func (r *Router) checkPause(now grclock.Millis) {
	if r.quotas.sweepAt == 0 || now-r.quotas.sweepAt < pauseTime {
		return
	}
	r.quotas.sweepAt, r.quotas.pausedAt = now, now
	// What others confirmed or this instance granted before may be out of date.
	clear(r.quotas.handovers)
	clear(r.quotas.closed)
	bound := r.quotaBound()
	r.quotas.reserveFrom = now + bound.ReserveDelay()
	for key, a := range r.allocators {
		if key.organisation != "" {
			a.Reopen(now + bound.HandoverTime())
		}
	}
}

// hasQuotaAllocator reports whether this instance allocates a quota.
func (r *Router) hasQuotaAllocator() bool {
	for key := range r.allocators {
		if key.organisation != "" {
			return true
		}
	}
	return false
}
