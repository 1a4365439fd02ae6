package grrouter

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Peer is another instance, which can ask the searchers of its failure domain
// on behalf of this one, so that their answers cross between domains as one.
type Peer struct {
	ID     grid.InstanceID
	Domain grid.FailureDomain
}

// peerState is what is known of a peer.
type peerState struct {
	Peer
	silent    int // times in a row that it gave no answer
	shunUntil grclock.Millis
	dueAt     grclock.Millis // of the oldest delegation since its last answer; 0 without one
}

// SetPeers replaces the peers that can be delegated to.
func (r *Router) SetPeers(now grclock.Millis, list []Peer, out *Out) {
	old := r.peers
	r.peers = make([]peerState, len(list))
	for i, p := range list {
		r.peers[i].Peer = p
		for _, o := range old {
			if o.ID == p.ID {
				r.peers[i] = o
				r.peers[i].Domain = p.Domain
			}
		}
	}
	r.setKeeps(now, out)
	r.shareBudgets(now)
}

// shunLate passes by peers that owe an answer.
func (r *Router) shunLate(now grclock.Millis) {
	for i := range r.peers {
		if p := &r.peers[i]; p.dueAt > 0 && now > p.dueAt {
			r.notePeer(now, p.ID, false)
		}
	}
}

func (r *Router) peer(id grid.InstanceID) *peerState {
	for i := range r.peers {
		if r.peers[i].ID == id {
			return &r.peers[i]
		}
	}
	return nil
}

// expect notes by when a peer must say something.
func (r *Router) expect(id grid.InstanceID, dueAt grclock.Millis) {
	if p := r.peer(id); p != nil && p.dueAt == 0 {
		p.dueAt = dueAt
	}
}

// notePeer keeps whether a peer answers. One that does not is passed by for a
// while.
func (r *Router) notePeer(now grclock.Millis, id grid.InstanceID, answered bool) {
	p := r.peer(id)
	if p == nil {
		return
	}
	p.dueAt = 0
	if answered {
		p.silent, p.shunUntil = 0, 0
		return
	}
	if p.shunUntil <= now {
		p.shunUntil = now + shunFirst<<min(p.silent, shunSteps)
		p.silent++
	}
}
