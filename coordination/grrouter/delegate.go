package grrouter

import (
	"math"
	"slices"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Peer is another instance, which can ask the searchers of its failure domain
// on behalf of this one, so that their answers cross between domains as one.
type Peer struct {
	ID     grid.InstanceID
	Domain grid.FailureDomain
}

// Delegation asks a peer for the parts of a group of shards, or, with Rest, for
// those that were missing from its first answer. With Release nobody waits for
// the group any more.
type Delegation struct {
	To       grid.InstanceID
	Query    grid.QueryID
	Group    int32
	Services []grid.Service
	CutAt    grclock.Millis // by which the peer must say what it has
	Deadline grclock.Millis
	Rest     bool
	Want     int // parts that are needed of the rest
	Release  bool
}

// GroupAnswer is what a peer says of a group.
type GroupAnswer struct {
	Parts  []Part // their bodies are merged: the first holds all records
	More   bool   // the peer still waits for the other shards
	Failed bool   // no answer came
	Sent   bool   // after Failed: the peer may have started it
}

// Terms of delegations.
const (
	leastGroup = 2                         // shards that are worth a message to a peer
	hopMargin  = 4 * grclock.Millisecond   // for the way back from a peer
	shunFirst  = 500 * grclock.Millisecond // that a silent peer is passed by, doubled each time
	shunSteps  = 4                         // doublings
	restWait   = 150 * grclock.Millisecond // in which the rest must be asked for
	peerGrace  = 15 * grclock.Millisecond  // after an answer in part is due, until a peer counts as silent
)

// peerState is what is known of a peer.
type peerState struct {
	Peer
	silent    int // times in a row that it gave no answer
	shunUntil grclock.Millis
	dueAt     grclock.Millis // of the oldest delegation since its last answer; 0 without one
}

// group is the shards of a query that a peer asks.
type group struct {
	peer     grid.InstanceID
	shards   []int32
	open     bool // an answer may come
	more     bool // the peer has a rest
	restSent bool
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
}

// delegate deals the shards that this instance does not own to peers that do:
// those of the own failure domain first, then those of as few others as hold
// the rest. What nobody can be asked for stays here.
func (r *Router) delegate(now grclock.Millis, q *query) {
	d := q.routed
	d.away = resized(d.away, len(q.leaves))
	if len(r.peers) == 0 || len(q.leaves) < leastGroup {
		return
	}
	r.shunLate(now)
	blocks := blocksOf(len(q.leaves))
	for block := range blocks {
		far := r.notOwned(q, block, blocks)
		domains := r.domains()
		for len(far) >= leastGroup && len(domains) > 0 {
			var domain grid.FailureDomain
			domain, domains = r.nextDomain(q, far, domains)
			far = r.group(now, q, far, domain, block)
		}
	}
}

// group gives the shards that a domain holds to one of their owners there, and
// returns the others.
func (r *Router) group(now grclock.Millis, q *query, far []int32, domain grid.FailureDomain, block int) []int32 {
	peer, known := r.pickOwner(now, domain, block)
	if !known {
		return far
	}
	others, held := r.partShards(q, far, domain)
	if len(held) < leastGroup {
		return far
	}
	for _, shard := range held {
		q.routed.away[shard] = true
	}
	q.routed.groups = append(q.routed.groups, group{peer: peer, shards: held, open: true})
	return others
}

// notOwned returns the shards of a block that this instance does not own.
func (r *Router) notOwned(q *query, block, blocks int) []int32 {
	owned := r.owns(block)
	var far []int32
	for i, leaf := range q.leaves {
		if blockOf(q.routed.services[i], blocks) != block {
			continue
		}
		if !owned || !r.leaves[leaf].ServedIn(r.Domain) {
			far = append(far, int32(i))
		}
	}
	return far
}

// domains returns the failure domains of the peers.
func (r *Router) domains() []grid.FailureDomain {
	var list []grid.FailureDomain
	for i := range r.peers {
		if !slices.Contains(list, r.peers[i].Domain) {
			list = append(list, r.peers[i].Domain)
		}
	}
	return list
}

// nextDomain takes the domain out of the list that holds the most of the shards,
// with some chance for the others, so that the work spreads. The own domain
// goes first.
func (r *Router) nextDomain(q *query, far []int32, list []grid.FailureDomain) (grid.FailureDomain, []grid.FailureDomain) {
	best, bestScore := 0, -1.0
	for i, domain := range list {
		score := float64(r.held(q, far, domain)) * (1 + r.random.Float())
		if domain == r.Domain {
			score = math.Inf(1)
		}
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	domain := list[best]
	return domain, slices.Delete(list, best, best+1)
}

// held counts the shards that a domain holds.
func (r *Router) held(q *query, shards []int32, domain grid.FailureDomain) int {
	n := 0
	for _, shard := range shards {
		if r.leaves[q.leaves[shard]].ServedIn(domain) {
			n++
		}
	}
	return n
}

// pickOwner draws one of the owners of a block in a domain that answer.
func (r *Router) pickOwner(now grclock.Millis, domain grid.FailureDomain, block int) (grid.InstanceID, bool) {
	owners := r.owners(domain, block)
	first := r.random.Below(max(len(owners), 1))
	for k := range owners {
		id := owners[(first+k)%len(owners)]
		if p := r.peer(id); p != nil && p.shunUntil <= now {
			return id, true
		}
	}
	return "", false
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

// partShards divides the shards into those that a domain does not hold, and
// those that it does.
func (r *Router) partShards(q *query, far []int32, domain grid.FailureDomain) (others, held []int32) {
	for _, shard := range far {
		if r.leaves[q.leaves[shard]].ServedIn(domain) {
			held = append(held, shard)
		} else {
			others = append(others, shard)
		}
	}
	return others, held
}

// sendGroups adds the delegations of a query to the actions.
func (r *Router) sendGroups(q *query, out *Out) {
	d := q.routed
	for i := range d.groups {
		g := &d.groups[i]
		services := make([]grid.Service, len(g.shards))
		for k, shard := range g.shards {
			services[k] = d.services[shard]
			r.leaves[q.leaves[shard]].Delegated()
		}
		r.Counters.Delegated++
		r.expect(g.peer, d.cutAt+peerGrace)
		out.Delegations = append(out.Delegations, Delegation{
			To: g.peer, Query: q.id, Group: int32(i), Services: services, CutAt: d.cutAt - hopMargin, Deadline: q.deadline - hopMargin,
		})
	}
}

// GroupDone takes the answer of a peer to a delegation.
func (r *Router) GroupDone(now grclock.Millis, peer grid.InstanceID, id grid.QueryID, index int32, answer *GroupAnswer, out *Out) {
	r.notePeer(now, peer, !answer.Failed)
	q := r.queries[id]
	if q == nil || q.routed == nil || int(index) >= len(q.routed.groups) {
		return
	}
	g := &q.routed.groups[index]
	if !g.open {
		return
	}
	if answer.Failed {
		r.askStraight(now, q, g, answer.Sent, out)
		r.endRouteIfDue(now, q, out)
		return
	}
	r.takeGroup(now, q, g, answer, out)
	r.askRest(now, q, out)
	r.endRouteIfDue(now, q, out)
}

// takeGroup merges the parts of a group. Those that are missing for good count
// as failed. The records of the parts can't be told apart, so that all are taken
// or none.
func (r *Router) takeGroup(now grclock.Millis, q *query, g *group, answer *GroupAnswer, out *Out) {
	d := q.routed
	if !d.fits(g, answer.Parts) {
		return
	}
	for _, p := range answer.Parts {
		shard := d.shardOf(g, p.Service)
		if q.settled[shard] {
			d.failed-- // It had failed straight.
		} else {
			r.settleShard(now, q, shard, out)
		}
		d.parts = append(d.parts, p)
	}
	g.more = answer.More
	if answer.More {
		return
	}
	g.open = false
	for _, shard := range g.shards {
		if !q.settled[shard] {
			r.settleShard(now, q, shard, out)
			d.failed++
		}
	}
}

// fits reports whether the parts are of the group, and none of their shards is
// answered yet.
func (d *routed) fits(g *group, parts []Part) bool {
	for i, p := range parts {
		if d.shardOf(g, p.Service) < 0 {
			return false
		}
		same := func(other Part) bool { return other.Service == p.Service }
		if slices.ContainsFunc(d.parts, same) || slices.ContainsFunc(parts[:i], same) {
			return false
		}
	}
	return true
}

// shardOf returns the shard of a group that a service holds, or -1.
func (d *routed) shardOf(g *group, name grid.Service) int32 {
	for _, shard := range g.shards {
		if d.services[shard] == name {
			return shard
		}
	}
	return -1
}

// settleShard ends a shard by what a peer said of it. A sub-request that was
// sent from here as well is not needed any more.
func (r *Router) settleShard(now grclock.Millis, q *query, shard int32, out *Out) {
	q.settled[shard] = true
	q.open--
	q.started = true
	if !q.routed.away[shard] {
		leaf := q.leaves[shard]
		r.leaves[leaf].Abandon(now, grleaf.SubKey{Query: q.id, Shard: shard}, &out.leaf)
		r.settle(now, leaf, out)
	}
}

// askStraight sends the sub-requests of a group that a peer did not answer. If
// the peer may have sent them, each is one more arrival at its service, and one
// attempt is used up; what the budget does not allow counts as failed.
func (r *Router) askStraight(now grclock.Millis, q *query, g *group, sent bool, out *Out) {
	d := q.routed
	g.open, g.more = false, false
	q.started = q.started || sent
	r.Counters.Undelegated++
	q.submitting = true
	for _, shard := range g.shards {
		switch {
		case q.settled[shard] || !d.away[shard]:
		case !sent || r.leaves[q.leaves[shard]].SpendExtra():
			r.submitStraight(now, q, shard, sent, out)
		default:
			q.settled[shard] = true
			q.open--
			d.failed++
		}
	}
	q.submitting = false
}

// submitStraight sends the sub-request to a shard that was delegated before.
func (r *Router) submitStraight(now grclock.Millis, q *query, shard int32, sent bool, out *Out) {
	q.routed.away[shard] = false
	leaf := q.leaves[shard]
	sub := r.subOf(q, grleaf.SubKey{Query: q.id, Shard: shard})
	if sent {
		sub.Earns = grleaf.EarnsNone
		sub.MaxAttempts = max(sub.MaxAttempts-1, 1)
	}
	r.leaves[leaf].Submit(now, sub, &out.leaf)
	r.settle(now, leaf, out)
}

// askRest asks peers for the rest of their groups when an answer in part is due
// and the required share is not in.
func (r *Router) askRest(now grclock.Millis, q *query, out *Out) {
	d := q.routed
	want := d.needed() - len(d.parts)
	if now < d.cutAt-hopMargin || want <= 0 {
		return
	}
	for i := range d.groups {
		g := &d.groups[i]
		if !g.open || !g.more || g.restSent {
			continue
		}
		g.restSent = true
		out.Delegations = append(out.Delegations, Delegation{
			To: g.peer, Query: q.id, Group: int32(i), Deadline: q.deadline - hopMargin, Rest: true, Want: want,
		})
	}
}

// passSilent goes past peers that have said nothing although an answer in part
// was due a while ago. As many shards as the required share lacks are asked
// straight, and one more; what the budget does not allow is left to the peer,
// which may wake.
func (r *Router) passSilent(now grclock.Millis, q *query, out *Out) {
	d := q.routed
	if now < d.cutAt+peerGrace || d.passed {
		return
	}
	d.passed = true
	want := d.needed() - len(d.parts) + 1
	q.submitting = true
	for i := range d.groups {
		g := &d.groups[i]
		if !g.open || g.more {
			continue
		}
		r.notePeer(now, g.peer, false)
		for _, shard := range g.shards {
			if want > 0 && r.leaves[q.leaves[shard]].SpendExtra() {
				want--
				q.started = true
				r.submitStraight(now, q, shard, true, out)
			}
		}
	}
	q.submitting = false
}

// expect notes by when a peer must say something.
func (r *Router) expect(id grid.InstanceID, dueAt grclock.Millis) {
	if p := r.peer(id); p != nil && p.dueAt == 0 {
		p.dueAt = dueAt
	}
}

// releaseGroups tells peers that nobody waits for their groups any more, so that
// they free the searchers.
func (r *Router) releaseGroups(q *query, out *Out) {
	for i := range q.routed.groups {
		g := &q.routed.groups[i]
		if !g.open {
			continue
		}
		g.open = false
		out.Delegations = append(out.Delegations, Delegation{To: g.peer, Query: q.id, Group: int32(i), Release: true})
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
