package grrouter

import (
	"maps"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// The shards of an index are divided into blocks. In each failure domain a few
// instances own a block: they hold connections to its searchers, know their load, and
// send the sub-requests on behalf of all instances. The owners are computed from the
// member list, see chooseOwners, so that all instances agree without communication.
const (
	blockSize       = 128 // upper limit of the average number of shards in a block; a message to an owner names shards of one block only
	OwnersPerDomain = 2   // owners of a block in each failure domain
)

// Warm connections, opened before they are needed.
const (
	ownerLocalConns    = 3 // from an owner to a searcher of the local domain
	ownerRemoteConns   = 1 // from an owner to a searcher of a remote domain, for hedges
	singleServiceConns = 1 // from any instance to a searcher of a service that is not a shard
)

// blocksOf returns the number of blocks for a number of shards.
func blocksOf(shards int) int { return (shards + blockSize - 1) / blockSize }

// blockOf returns the block of a service.
func blockOf(name grident.Service, blocks int) int {
	return int(grident.Hash(name) % uint64(max(blocks, 1)))
}

// ownerCache holds the owners by the newest members and table. They are needed for each
// request, and computed once after a change of these.
type ownerCache struct {
	ownerBlocks int // number of blocks of the newest table
	ownersOf    map[ownerKey][][]grident.InstanceID
}

// ownerKey identifies the owners of all blocks of a failure domain.
type ownerKey struct {
	by     ownerCandidates
	domain grident.FailureDomain
}

// ownerCandidates selects the instances among which owners are chosen.
type ownerCandidates uint8

const (
	// peerCandidates are the instances that requests can be delegated to, and this instance.
	// Without divided connections an instance owns shards once it is ready.
	peerCandidates ownerCandidates = iota
	// memberCandidates are the members that this instance can reach, ready or not, so that
	// connections are divided alike from the start.
	memberCandidates
	// allocatorCandidates are the peers, and this instance if it may allocate rate limits.
	allocatorCandidates
)

// dropOwners drops the owners that were computed, after a change of what they depend on.
func (r *Router) dropOwners() { clear(r.ownersOf) }

// owners returns the instances of a domain that own a block; this instance can be one
// of them.
func (r *Router) owners(domain grident.FailureDomain, block int) []grident.InstanceID {
	if r.connsDivided {
		return r.ownersBy(memberCandidates, domain, block)
	}
	return r.ownersBy(peerCandidates, domain, block)
}

// ownersBy returns the owners of a block in a domain among some candidates.
func (r *Router) ownersBy(by ownerCandidates, domain grident.FailureDomain, block int) []grident.InstanceID {
	if block >= max(r.ownerBlocks, 1) {
		// A request by an older table with more shards.
		return chooseOwners(r.candidates(by, domain), block+1)[block]
	}
	key := ownerKey{by, domain}
	list, known := r.ownersOf[key]
	if !known {
		list = chooseOwners(r.candidates(by, domain), max(r.ownerBlocks, 1))
		if r.ownersOf == nil {
			r.ownersOf = make(map[ownerKey][][]grident.InstanceID)
		}
		r.ownersOf[key] = list
	}
	return list[block]
}

// candidates returns the instances of a domain among which its owners are chosen.
func (r *Router) candidates(by ownerCandidates, domain grident.FailureDomain) []Peer {
	var list []Peer
	if by == memberCandidates {
		for _, m := range r.membership.Members {
			if m.Domain == domain {
				list = append(list, m)
			}
		}
		return list
	}
	if domain == r.Domain && (by == peerCandidates || r.mayAllocate()) {
		list = append(list, Peer{ID: r.Self, Domain: r.Domain, Capacity: r.Capacity})
	}
	for i := range r.peers {
		if r.peers[i].Domain == domain {
			list = append(list, r.peers[i].Peer)
		}
	}
	return list
}

// ownerRank is the rank of an instance in rendezvous hashing; the highest is chosen. It is
// never 0.
func ownerRank(id grident.InstanceID, seed uint64) uint64 { return rankFor(grident.Hash(id), seed) }

// rankFor is ownerRank for the hash of an instance.
func rankFor(hash, seed uint64) uint64 { return grident.Mix(hash^seed) | 1 }

// owns reports whether this instance owns the block in its domain.
func (r *Router) owns(block int) bool {
	for _, id := range r.owners(r.Domain, block) {
		if id == r.Self {
			return true
		}
	}
	return false
}

// OwnedBlocks returns the number of blocks of the newest table that this instance owns.
func (r *Router) OwnedBlocks() int {
	n := 0
	for block := range r.ownerBlocks {
		if r.owns(block) {
			n++
		}
	}
	return n
}

// SetTable sets the table that defines which services are shards, and updates the warm
// connections and the budgets of the dispatchers accordingly.
func (r *Router) SetTable(now grclock.Millis, t *grroutes.Table, out *Output) {
	oldBlocks, oldSingles := r.shardBlocks, r.singleServices
	r.shardBlocks = make(map[grident.Service]int)
	r.ownerBlocks = 0
	r.dropOwners()
	for i := range t.Routes {
		if !t.Routes[i].FanOut {
			continue
		}
		for _, target := range t.Routes[i].Targets {
			blocks := blocksOf(len(target.Services))
			r.ownerBlocks = max(r.ownerBlocks, blocks)
			for _, name := range target.Services {
				r.shardBlocks[name] = blockOf(name, blocks)
			}
		}
	}
	r.singleServices = make(map[grident.Service]bool)
	for i := range t.Services {
		if _, shard := r.shardBlocks[t.Services[i].Name]; !shard {
			r.singleServices[t.Services[i].Name] = true
		}
	}
	r.retireServices(now, t, oldBlocks, oldSingles)
	r.membersChanged = r.membersChanged || !maps.Equal(oldBlocks, r.shardBlocks)
	r.updateAllocators(now)
	r.setWarmConns(now, out)
	r.redivideConns(now, out)
	r.divideBudgets(now)
	r.setColdTerms(now, t, out)
	r.setQuotas(now, t)
}

// setWarmConns sets the number of warm connections of each dispatcher.
func (r *Router) setWarmConns(now grclock.Millis, out *Output) {
	for i, dispatcher := range r.dispatchers {
		dispatcher.SetWarmConns(now, r.warmConnsFor(now, r.serviceNames[i]), &out.dispatcher)
		r.collect(now, int32(i), out)
	}
}

// warmConnsFor returns the number of warm connections to a service. A service that is
// not in the table yet may become a shard, so it is treated as one of block 0.
func (r *Router) warmConnsFor(now grclock.Millis, name grident.Service) grdispatch.WarmConnTargets {
	p := r.placeOf(name)
	if p.single {
		return grdispatch.WarmConnTargets{Local: singleServiceConns, Remote: singleServiceConns}
	}
	if r.owns(p.block) && !r.isRetired(now, name) {
		return grdispatch.WarmConnTargets{Local: ownerLocalConns, Remote: ownerRemoteConns, Owner: true}
	}
	return grdispatch.WarmConnTargets{}
}
