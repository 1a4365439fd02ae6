package grrouter

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Peer is another instance to which this one can delegate shards that are served in
// the peer's failure domain, so that their answers cross between domains as one
// message.
type Peer struct {
	ID       grident.InstanceID
	Domain   grident.FailureDomain
	Capacity grident.Millicores
}

// peerState is the local state of a peer.
type peerState struct {
	Peer
	failures    int // consecutive failures to answer
	bypassUntil grclock.Millis
	answerDueAt grclock.Millis // when the oldest delegation since its last answer is due; 0: none
}

// SetPeers replaces the list of peers.
func (r *Router) SetPeers(now grclock.Millis, list []Peer, out *Output) {
	if r.peersDiffer(list) {
		r.membersChanged = true
		r.dropOwners()
	}
	old := r.peers
	r.peers = make([]peerState, len(list))
	for i, p := range list {
		r.peers[i].Peer = p
		for _, o := range old {
			if o.ID == p.ID {
				r.peers[i] = o
				r.peers[i].Peer = p
			}
		}
	}
	if r.quotas.startedAt == 0 {
		bound := r.quotaBound()
		r.quotas.startedAt, r.quotas.reserveFrom = now, now+bound.ReserveDelay()
	}
	r.recordMembers(now)
	if r.quotas.knownGrew || len(r.peers) > len(old) {
		r.quotas.knownGrew, r.quotas.membersGrewAt = false, now
	}
	r.updateAllocators(now)
	r.coldShare(now)
	r.setWarmConns(now, out)
	if r.membershipStale {
		r.membershipStale = false
		r.redivideConns(now, out)
	}
	r.divideBudgets(now)
}

// bypassOverduePeers marks peers with an overdue answer as unresponsive.
func (r *Router) bypassOverduePeers(now grclock.Millis) {
	for i := range r.peers {
		if p := &r.peers[i]; p.answerDueAt > 0 && now > p.answerDueAt {
			r.recordPeerAnswer(now, p.ID, false)
		}
	}
}

func (r *Router) peer(id grident.InstanceID) *peerState {
	for i := range r.peers {
		if r.peers[i].ID == id {
			return &r.peers[i]
		}
	}
	return nil
}

// expectAnswer sets the time by which a peer must answer, unless an earlier one is
// pending.
func (r *Router) expectAnswer(id grident.InstanceID, dueAt grclock.Millis) {
	if p := r.peer(id); p != nil && p.answerDueAt == 0 {
		p.answerDueAt = dueAt
	}
}

// recordPeerAnswer records whether a peer answered. A peer that did not is bypassed
// for a while.
func (r *Router) recordPeerAnswer(now grclock.Millis, id grident.InstanceID, answered bool) {
	p := r.peer(id)
	if p == nil {
		return
	}
	p.answerDueAt = 0
	if answered {
		p.failures, p.bypassUntil = 0, 0
		return
	}
	if p.bypassUntil <= now {
		p.bypassUntil = now + bypassBase<<min(p.failures, maxBypassDoublings)
		p.failures++
	}
}
