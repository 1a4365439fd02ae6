package grrouter

import (
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// GroupAnswer is a peer's answer to a delegation.
type GroupAnswer struct {
	PartialResults []PartialResult  // with merged bodies: the first holds all records
	MoreExpected   bool             // the peer is still waiting for the other shards
	Failed         bool             // no answer arrived
	Failure        *granswer.Answer // of a request to one service: the failure that a searcher answered with
	MayHaveStarted bool             // with Failed: the peer may have started sub-requests of the group

	TypicalRemaining grclock.Millis // the peer's typical remaining time for callers of the route; 0: not known
	WorkOff          grclock.Millis // time until the searchers begin what waits at the peer for the group's shards; 0: no queue, or not known
}

// HandleGroupAnswer handles a peer's answer to a delegation.
func (r *Router) HandleGroupAnswer(now grclock.Millis, peer grident.InstanceID, id grident.QueryID, index int32, answer *GroupAnswer, out *Output) {
	r.recordPeerAnswer(now, peer, !answer.Failed)
	q := r.queries[id]
	if q == nil || q.route == nil || int(index) >= len(q.route.groups) {
		return
	}
	r.typicalRemainingOf(q.route.route.Name).SetFallback(answer.TypicalRemaining)
	g := &q.route.groups[index]
	if !g.open {
		return
	}
	if answer.Failed {
		// A peer that has announced further results has the group, even if this call did not arrive.
		r.requestGroupDirectly(now, q, g, answer.MayHaveStarted || g.moreExpected, out)
		r.endRouteIfDue(now, q, out)
		return
	}
	r.earlyRejections.recordReport(now, q, g, answer.WorkOff)
	r.mergeGroup(now, q, g, answer, out)
	r.requestRest(now, q, out)
	r.endRouteIfDue(now, q, out)
}

// mergeGroup merges a group's partial results. Shards that are missing from a final
// answer count as failed. The peer merges the records of its shards into one body, so
// the answer can only be used or dropped as a whole.
func (r *Router) mergeGroup(now grclock.Millis, q *query, g *group, answer *GroupAnswer, out *Output) {
	rs := q.route
	if !rs.accepts(g, answer.PartialResults) {
		return
	}
	for _, p := range answer.PartialResults {
		shard := rs.shardOf(g, p.Service)
		if q.settled[shard] {
			rs.failedShards-- // It had failed when requested directly.
		} else {
			r.settleShard(now, q, shard, out)
		}
		rs.parts = append(rs.parts, p)
	}
	if answer.Failure != nil {
		rs.failure = answer.Failure
	}
	g.moreExpected = answer.MoreExpected
	if answer.MoreExpected {
		return
	}
	g.open = false
	for _, shard := range g.shards {
		switch {
		case q.settled[shard]:
		case rs.isAwaited(shard):
			q.started = true // Another instance has the shard too and may still answer.
		default:
			r.settleShard(now, q, shard, out)
			rs.failedShards++
			if answer.WorkOff > 0 {
				rs.starvedShards++
			}
		}
	}
}

// accepts reports whether the partial results all belong to the group and none repeats
// a shard that has been answered.
func (rs *routeState) accepts(g *group, parts []PartialResult) bool {
	for i, p := range parts {
		if rs.shardOf(g, p.Service) < 0 {
			return false
		}
		same := func(other PartialResult) bool { return other.Service == p.Service }
		if slices.ContainsFunc(rs.parts, same) || slices.ContainsFunc(parts[:i], same) {
			return false
		}
	}
	return true
}

// reservedSearcher returns the searcher of a shard that a group must leave to the
// requesting instance; 0: none.
func (rs *routeState) reservedSearcher(shard int32) grident.SearcherTag {
	if int(shard) >= len(rs.reserved) {
		return 0
	}
	return rs.reserved[shard]
}

// shardOf returns the shard of a group that a service holds, or -1.
func (rs *routeState) shardOf(g *group, name grident.Service) int32 {
	for _, shard := range g.shards {
		if rs.services[shard] == name {
			return shard
		}
	}
	return -1
}

// settleShard ends a shard according to a peer's answer. If this instance has sent a
// sub-request to the shard as well, it is abandoned.
func (r *Router) settleShard(now grclock.Millis, q *query, shard int32, out *Output) {
	q.settled[shard] = true
	q.pending--
	q.started = true
	if !q.route.delegated[shard] {
		dispatcher := q.dispatchers[shard]
		r.dispatchers[dispatcher].Abandon(now, grdispatch.SubRequestKey{Query: q.id, Shard: shard}, &out.dispatcher)
		r.collect(now, dispatcher, out)
	}
}

// requestGroupDirectly requests the shards of a group directly after its peer failed to
// answer. If the peer may have sent the sub-requests, each direct one is an extra
// attempt: it needs a permit from the service's budget and goes to the reserved searcher
// only. Shards that have no reserved searcher or that the budget denies count as failed.
func (r *Router) requestGroupDirectly(now grclock.Millis, q *query, g *group, mayHaveStarted bool, out *Output) {
	rs := q.route
	g.open, g.moreExpected = false, false
	q.started = q.started || mayHaveStarted
	r.Counters.GroupsRevoked++
	q.submitting = true
	var again []int32
	var reserved map[int32]grident.SearcherTag
	if mayHaveStarted {
		reserved = make(map[int32]grident.SearcherTag)
	}
	for k, shard := range g.shards {
		unheld := !r.dispatchers[q.dispatchers[shard]].MayConnect()
		switch {
		case q.settled[shard] || !rs.delegated[shard] || rs.isAwaited(shard):
		case unheld && !mayHaveStarted && g.onlyReserved:
			again, reserved = append(again, shard), withReserved(reserved, shard, g.reserved[k])
		case unheld && !mayHaveStarted:
			again = append(again, shard)
		case unheld && g.reserved[k] != 0 && !g.onlyReserved:
			again, reserved = append(again, shard), withReserved(reserved, shard, g.reserved[k])
		case !mayHaveStarted:
			r.submitDirectly(now, q, shard, 0, out)
		case g.reserved[k] != 0 && r.dispatchers[q.dispatchers[shard]].AllowDuplicate(now):
			r.submitDirectly(now, q, shard, g.reserved[k], out)
		default:
			q.settled[shard] = true
			q.pending--
			rs.failedShards++
		}
	}
	if len(again) > 0 {
		r.redelegate(now, q, again, reserved, out)
	}
	q.submitting = false
}

func withReserved(all map[int32]grident.SearcherTag, shard int32, tag grident.SearcherTag) map[int32]grident.SearcherTag {
	if all == nil {
		all = make(map[int32]grident.SearcherTag)
	}
	all[shard] = tag
	return all
}

// submitDirectly submits the sub-request to a shard that had been delegated. If the
// peer may have sent it too, onlySearcher is the one searcher that may get it; otherwise
// it is 0.
func (r *Router) submitDirectly(now grclock.Millis, q *query, shard int32, onlySearcher grident.SearcherTag, out *Output) {
	q.route.delegated[shard] = false
	dispatcher := q.dispatchers[shard]
	sub := r.subRequest(q, grdispatch.SubRequestKey{Query: q.id, Shard: shard})
	if onlySearcher != 0 {
		sub.Credit, sub.OnlySearcher = grdispatch.CreditNone, onlySearcher
		sub.MaxAttempts = max(sub.MaxAttempts-1, 1)
	}
	r.dispatchers[dispatcher].Submit(now, sub, &out.dispatcher)
	r.collect(now, dispatcher, out)
}

// requestRest requests the remaining partial results from peers if the partial-result
// deadline has come before the required share is in.
func (r *Router) requestRest(now grclock.Millis, q *query, out *Output) {
	rs := q.route
	want := rs.requiredParts() - len(rs.parts)
	if now < rs.partialDeadline-responseMargin || want <= 0 {
		return
	}
	for i := range rs.groups {
		g := &rs.groups[i]
		if !g.open || !g.moreExpected || g.restRequested {
			continue
		}
		g.restRequested = true
		out.Delegations = append(out.Delegations, Delegation{
			To: g.peer, Query: q.id, Group: int32(i), Deadline: q.deadline - responseMargin, RequestRest: true, RestWanted: want,
		})
	}
}

// bypassUnresponsive bypasses peers that have not reported anything by peerGrace after
// the partial-result deadline. It requests directly as many shards as the required
// share lacks, plus one; shards that the budget denies are left to the peer, which may
// still respond.
func (r *Router) bypassUnresponsive(now grclock.Millis, q *query, out *Output) {
	rs := q.route
	if now < rs.partialDeadline+peerGrace || rs.peersBypassed || r.handledLate(now, q) {
		return
	}
	rs.peersBypassed = true
	want := rs.requiredParts() - len(rs.parts) + 1
	q.submitting = true
	var again []int32
	reserved := make(map[int32]grident.SearcherTag)
	for i := range rs.groups {
		g := &rs.groups[i]
		if !g.open || g.moreExpected {
			continue
		}
		r.recordPeerAnswer(now, g.peer, false)
		for k, shard := range g.shards {
			if !r.dispatchers[q.dispatchers[shard]].MayConnect() {
				if want > 0 && g.reserved[k] != 0 && !g.onlyReserved {
					want--
					again, reserved[shard] = append(again, shard), g.reserved[k]
				}
				continue
			}
			if want > 0 && g.reserved[k] != 0 && r.dispatchers[q.dispatchers[shard]].AllowDuplicate(now) {
				want--
				q.started = true
				r.submitDirectly(now, q, shard, g.reserved[k], out)
			}
		}
	}
	if len(again) > 0 {
		r.redelegate(now, q, again, reserved, out)
	}
	q.submitting = false
}

// handledLate reports whether this instance handled the timer too late to conclude that
// peers are unresponsive: their answers may be waiting to be read. The peers then get
// another peerGrace.
func (r *Router) handledLate(now grclock.Millis, q *query) bool {
	rs := q.route
	if now-(rs.partialDeadline+peerGrace) <= normalLag {
		return false
	}
	if rs.graceUntil == 0 {
		rs.graceUntil = now + peerGrace
		r.deadlines.Push(timer{rs.graceUntil, q.id})
	}
	return now < rs.graceUntil
}

// releaseGroups notifies peers that the results of their open groups are no longer
// needed, so that they cancel the attempts and free the searchers.
func (r *Router) releaseGroups(q *query, out *Output) {
	for i := range q.route.groups {
		g := &q.route.groups[i]
		if !g.open {
			continue
		}
		g.open = false
		out.Delegations = append(out.Delegations, Delegation{To: g.peer, Query: q.id, Group: int32(i), Release: true})
	}
}
