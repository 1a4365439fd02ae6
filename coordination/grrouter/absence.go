package grrouter

import (
	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Absence says why a shard is missing from an answer, for logs.
type Absence struct {
	Service grid.Service
	Peer    grid.InstanceID // that was asked for the shard; "" when it was asked from here
	Trail   grleaf.Trail    // of what was sent from here
}

// maxAbsent bounds the shards that a result names as missing.
const maxAbsent = 8

// absences explains some of the shards without a part. It must be called before
// the sub-requests that are still open are abandoned.
func (r *Router) absences(now grclock.Millis, q *query) []Absence {
	d := q.routed
	if len(d.parts) == len(d.services) {
		return nil
	}
	answered := make(map[grid.Service]bool, len(d.parts))
	for i := range d.parts {
		answered[d.parts[i].Service] = true
	}
	var list []Absence
	for i, name := range d.services {
		if answered[name] || i >= len(q.settled) {
			continue
		}
		if len(list) == maxAbsent {
			break
		}
		list = append(list, r.absence(now, q, int32(i)))
	}
	return list
}

func (r *Router) absence(now grclock.Millis, q *query, shard int32) Absence {
	d := q.routed
	a := Absence{Service: d.services[shard]}
	if d.away[shard] {
		a.Peer = d.peerOf(shard)
		return a
	}
	if !q.settled[shard] {
		a.Trail = r.leaves[q.leaves[shard]].Trail(now, grleaf.SubKey{Query: q.id, Shard: shard})
		return a
	}
	for _, f := range d.failures {
		if f.shard == shard {
			a.Trail = f.trail
		}
	}
	return a
}

// peerOf returns the peer that was asked for a shard.
func (d *routed) peerOf(shard int32) grid.InstanceID {
	for i := range d.groups {
		for _, s := range d.groups[i].shards {
			if s == shard {
				return d.groups[i].peer
			}
		}
	}
	return ""
}

// failure is what became of a sub-request that ended without a part.
type failure struct {
	shard int32
	trail grleaf.Trail
}

func (d *routed) noteFailure(done *grleaf.Done) {
	if len(d.failures) < maxAbsent {
		d.failures = append(d.failures, failure{done.Key.Shard, done.Trail})
	}
}
