package grrouter

import (
	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grtable"
)

// The shards of an index are cut into blocks. In each failure domain a few
// instances own a block: they hold the connections to its searchers and know
// their load, and ask them for everybody. The owners follow from the members by
// rendezvous hashing, so that all agree without a word, and the loss of one moves
// its blocks only.
const (
	blockShards = 128 // shards that one message to an owner names at most
	OwnersEach  = 2   // of a block in a failure domain
)

// Connections that are opened ahead of need.
const (
	ownerNear  = 3 // to a searcher of the own domain, by an owner
	ownerFar   = 1 // for second copies
	singleKeep = 1 // to a searcher that every instance asks itself
)

// blocksOf returns the number of blocks of an index of so many shards.
func blocksOf(shards int) int { return (shards + blockShards - 1) / blockShards }

// blockOf returns the block of a service.
func blockOf(name grid.Service, blocks int) int {
	return int(grid.Hash(name) % uint64(max(blocks, 1)))
}

// owners returns the instances of a domain that own a block, this one included.
func (r *Router) owners(domain grid.FailureDomain, block int) []grid.InstanceID {
	var best [OwnersEach]grid.InstanceID
	var rank [OwnersEach]uint64
	consider := func(id grid.InstanceID) {
		own := grid.Mix(grid.Hash(id)^uint64(block)) | 1
		for i := range best {
			if own > rank[i] {
				best[i], id = id, best[i]
				rank[i], own = own, rank[i]
			}
		}
	}
	if domain == r.Domain {
		consider(r.Self)
	}
	for i := range r.peers {
		if r.peers[i].Domain == domain {
			consider(r.peers[i].ID)
		}
	}
	n := 0
	for n < OwnersEach && rank[n] > 0 {
		n++
	}
	return best[:n:n]
}

// owns reports whether this instance owns the block in its domain.
func (r *Router) owns(block int) bool {
	for _, id := range r.owners(r.Domain, block) {
		if id == r.Self {
			return true
		}
	}
	return false
}

// SetTable tells which services are shards, so that their owners can open
// connections ahead of need.
func (r *Router) SetTable(now grclock.Millis, t *grtable.Table, out *Out) {
	r.indexes = make(map[grid.Service]int)
	for i := range t.Routes {
		if !t.Routes[i].AllShards {
			continue
		}
		for _, target := range t.Routes[i].Targets {
			blocks := blocksOf(len(target.Services))
			for _, name := range target.Services {
				r.indexes[name] = blockOf(name, blocks)
			}
		}
	}
	r.singles = make(map[grid.Service]bool)
	for i := range t.Services {
		if _, shard := r.indexes[t.Services[i].Name]; !shard {
			r.singles[t.Services[i].Name] = true
		}
	}
	r.setKeeps(now, out)
	r.shareBudgets(now)
}

// setKeeps tells each leaf how many connections to open ahead of need.
func (r *Router) setKeeps(now grclock.Millis, out *Out) {
	for i, leaf := range r.leaves {
		leaf.SetKeep(now, r.keepOf(r.names[i]), &out.leaf)
		r.settle(now, int32(i), out)
	}
}

// keepOf returns the connections to open ahead of need to a service. One that
// the table does not name yet may soon be a shard.
func (r *Router) keepOf(name grid.Service) grleaf.Kept {
	if r.singles[name] {
		return grleaf.Kept{Near: singleKeep, Far: singleKeep}
	}
	if r.owns(r.indexes[name]) {
		return grleaf.Kept{Near: ownerNear, Far: ownerFar, Owner: true}
	}
	return grleaf.Kept{}
}
