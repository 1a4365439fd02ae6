package grrouter

import (
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

const (
	// maxConfirmers is the number of instances above which an instance does not ask all others
	// after a start: its requests for one organisation alone would take a message to each.
	maxConfirmers = 200
	// maxConfirmations bounds the requests for confirmation within one sweep interval, of about 80
	// bytes each.
	maxConfirmations = 256
)

// confirmHandovers asks predecessors, or all other instances, whether they take this one for the
// allocator. It repeats that in each sweep until they have answered or the handover time is over.
func (r *Router) confirmHandovers(now grclock.Millis, out *Output) {
	if now >= r.quotas.asksRefillAt {
		r.quotas.asksLeft, r.quotas.asksRefillAt = maxConfirmations, now+quotaSweepInterval
	}
	for name, h := range r.quotas.handovers {
		a := r.allocators[allocatorKey{organisation: name}]
		switch {
		case a == nil || now >= a.OpensAt || h.predecessor != "" && r.peer(h.predecessor) == nil:
			delete(r.quotas.handovers, name)
		case h.predecessor == "" && r.openConfirmed(now, name, h, a):
		case now < h.askAt:
		case h.predecessor != "":
			h.ask(now, h.predecessor, name, out)
			r.quotas.asksLeft--
		case len(r.peers) < maxConfirmers:
			r.quotas.asksLeft -= r.askAll(now, name, h, r.quotas.asksLeft, out)
		}
	}
}

// askAll asks the instances that have not confirmed yet, at most the given number. It returns the
// number of requests.
func (r *Router) askAll(now grclock.Millis, name grident.Organisation, h *handover, most int, out *Output) int {
	sent := 0
	for i := range r.peers {
		if id := r.peers[i].ID; sent < most && !h.hasConfirmed(id) {
			h.ask(now, id, name, out)
			sent++
		}
	}
	return sent
}

// hasConfirmed reports whether the instance has answered.
func (h *handover) hasConfirmed(id grident.InstanceID) bool {
	_, ok := h.confirmed[id]
	return ok
}

// ask asks one instance for confirmation.
func (h *handover) ask(now grclock.Millis, to grident.InstanceID, name grident.Organisation, out *Output) {
	h.askAt = now + quotaSweepInterval
	out.addRateLimitAsk(to, grdispatch.RateLimitAsk{
		Organisation: name, AskedAt: now, Confirm: true, Request: grratelimit.Request{Terms: h.terms},
	})
}

// handleConfirmation processes the answer of an instance that was asked for confirmation.
func (r *Router) handleConfirmation(now grclock.Millis, name grident.Organisation, g *grdispatch.RateLimitGrant) {
	a, h := r.allocators[allocatorKey{organisation: name}], r.quotas.handovers[name]
	if h != nil && h.predecessor != "" && g.From != h.predecessor {
		return
	}
	if a == nil || h == nil || g.Failed || !g.Grant.Refused || g.Grant.Allocator != r.Self {
		return
	}
	if h.confirmed == nil {
		h.confirmed = make(map[grident.InstanceID]grratelimit.Handover)
	}
	h.confirmed[g.From] = g.Grant.Handover
	switch {
	case h.predecessor == "":
		r.openConfirmed(now, name, h, a)
		return
	case g.Grant.Handover.Complete:
		a.TakeOver(now, g.Grant.Handover)
	default:
		bound := r.quotaBound()
		a.OpenBy(now + bound.LeaseTime())
	}
	delete(r.quotas.handovers, name)
}

// openConfirmed opens the allocator if every instance that may be running has confirmed that it
// takes this one for the allocator. Nobody else can be granting units then.
func (r *Router) openConfirmed(now grclock.Millis, name grident.Organisation, h *handover, a *allocator) bool {
	if !r.membership.Settled || r.membership.Isolated || r.knownInstances() > 1+len(r.peers) {
		return false
	}
	// An instance that finds no other may be the first that is registered.
	if len(r.peers) == 0 && now < r.quotas.membersGrewAt+settleTime {
		return false
	}
	var total grratelimit.Handover
	for i := range r.peers {
		told, confirmed := h.confirmed[r.peers[i].ID]
		if !confirmed {
			return false
		}
		total.Granted += max(told.Granted, 0)
		switch {
		case told.Complete && total.Complete:
			total.Left = min(total.Left, told.Left)
		case told.Complete:
			total.Left, total.Complete = told.Left, true
		}
	}
	if total.Complete {
		a.TakeOver(now, total)
	} else {
		a.OpenConfirmed(now, total.Granted)
	}
	delete(r.quotas.handovers, name)
	return true
}

// closedAllocator is what a successor has to know of an allocator that this instance was.
type closedAllocator struct {
	at       grclock.Millis
	handover grratelimit.Handover
}

// completeTime is the time after the end of an allocator within which a successor may go on with
// what it knew. Successors ask in each sweep; one that asks later may be another run of the
// first, which does not know what that one granted.
const completeTime = 3 * quotaSweepInterval

// handoverOf returns what a successor has to know of the allocator that this instance was.
func (r *Router) handoverOf(now grclock.Millis, name grident.Organisation) grratelimit.Handover {
	c := r.quotas.closed[name]
	c.handover.Complete = c.handover.Complete && now-c.at <= completeTime
	return c.handover
}

// removeClosed forgets allocators whose units have left the window.
func (r *Router) removeClosed(now grclock.Millis) {
	bound := r.quotaBound()
	for name, c := range r.quotas.closed {
		if now-c.at > bound.ReserveDelay() {
			delete(r.quotas.closed, name)
		}
	}
}
