package grrouter

import (
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// MissingShard describes, for logs, a shard that is missing from an answer.
type MissingShard struct {
	Service grident.Service
	Peer    grident.InstanceID        // the peer the shard was delegated to; "" if this instance sent the sub-request
	History grdispatch.AttemptHistory // attempt history of the sub-request, if this instance sent it
}

// maxMissingReported limits the missing shards listed in a result.
const maxMissingReported = 8

// missingShards describes up to maxMissingReported shards without a partial result. It
// must be called before the open sub-requests are abandoned.
func (r *Router) missingShards(now grclock.Millis, q *query) []MissingShard {
	rs := q.route
	if len(rs.parts) == len(rs.services) {
		return nil
	}
	answered := make(map[grident.Service]bool, len(rs.parts))
	for i := range rs.parts {
		answered[rs.parts[i].Service] = true
	}
	var list []MissingShard
	for i, name := range rs.services {
		if answered[name] || i >= len(q.settled) {
			continue
		}
		if len(list) == maxMissingReported {
			break
		}
		list = append(list, r.missingShard(now, q, int32(i)))
	}
	return list
}

func (r *Router) missingShard(now grclock.Millis, q *query, shard int32) MissingShard {
	rs := q.route
	a := MissingShard{Service: rs.services[shard]}
	if rs.delegated[shard] {
		a.Peer = rs.peerOf(shard)
		return a
	}
	if !q.settled[shard] {
		a.History = r.dispatchers[q.dispatchers[shard]].AttemptHistory(now, grdispatch.SubRequestKey{Query: q.id, Shard: shard})
		return a
	}
	for _, f := range rs.failures {
		if f.shard == shard {
			a.History = f.history
		}
	}
	return a
}

// peerOf returns the peer that a shard was delegated to.
func (rs *routeState) peerOf(shard int32) grident.InstanceID {
	for i := range rs.groups {
		for _, s := range rs.groups[i].shards {
			if s == shard {
				return rs.groups[i].peer
			}
		}
	}
	return ""
}

// shardFailure is the attempt history of a sub-request that ended without a partial
// result.
type shardFailure struct {
	shard   int32
	history grdispatch.AttemptHistory
}

func (rs *routeState) recordFailure(done *grdispatch.Done) {
	if len(rs.failures) < maxMissingReported {
		rs.failures = append(rs.failures, shardFailure{done.Key.Shard, done.History})
	}
}
