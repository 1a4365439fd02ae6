package grcluster

import (
	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/state/grsnapshot"
)

// ValueKind is the type of a replicated value.
type ValueKind uint8

// The kinds of values.
const (
	MemberKind           ValueKind = iota + 1 // an entry instance
	SearcherKind                              // a searcher
	DivisorKind                               // the published connection divisor of an instance
	RegisteredMemberKind                      // an instance is in the platform's list of members
	PresetKind                                // the active preset
	ShardMapKind                              // a shard map
	RoutingTableKind                          // the routing table
	RateLimitKind                             // the rate limit that a searcher states
	EvacuationKind                            // a failure domain whose searchers get no requests
	DepartureKind                             // a searcher's announcement that it leaves
)

// State is the state of a member or searcher.
type State uint8

// The states, in the order in which one run passes through them. Only Suspect can
// change back to Live.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

// String returns the name of the state for operators.
func (s State) String() string { return [...]string{"live", "suspect", "leaving", "gone"}[s&3] }

// Member describes an entry instance.
type Member struct {
	grconnlimit.Member
	PeerAddress         grident.Address
	CallerAddress       grident.Address
	Domain              grident.FailureDomain
	PlatformUnreachable bool // cannot reach the platform
	Capacity            grident.Millicores
}

// Searcher describes a searcher as the platform lists it.
type Searcher struct {
	ID              grident.SearcherID
	Incarnation     grident.Incarnation
	Service         grident.Service
	Address         grident.Address
	Domain          grident.FailureDomain
	Slots           int
	ConnLimit       int
	CreatedRevision grident.Revision // at which its entry in the platform's list was created; 0 if unknown
	Cold            ColdStatement    // what its entry says
}

// Value is a replicated value. Kind determines which of the other fields are set.
type Value struct {
	Kind             ValueKind
	Member           Member
	Searcher         Searcher
	Copied           bool // of a searcher: its entry may be of a copy from which the platform came back
	Publisher        grconnlimit.Member
	PublishedDivisor grconnlimit.PublishedDivisor
	Preset           *grpreset.ActivePreset
	ShardMap         *grsnapshot.ShardMap
	RoutingTable     *grroutes.Table
	RateLimit        RateLimit
	EvacuatedDomain  grident.FailureDomain
	Departure        Departure
}

// Item is an entry of the replicated map.
type Item = grgossip.Item[Value]

// Bit layout of the versions of members and searchers, from the highest bit: the run,
// the number of the change within the run, and the state. The version thus determines
// the state: of two versions, the one of the later run wins, then the one of the later
// change, then the one of the later state.
const (
	stateBits = 2
	countBits = 14
	runShift  = stateBits + countBits
)

// versionOf returns the version of the nth change of a run.
func versionOf(run grident.Incarnation, count uint64, state State) grgossip.Version {
	return grgossip.Version(uint64(run)<<runShift | count<<stateBits&(1<<runShift-1) | uint64(state))
}

// StateOf returns the state that a version encodes.
func StateOf(v grgossip.Version) State { return State(v & (1<<stateBits - 1)) }

// runOf returns the run that a version encodes.
func runOf(v grgossip.Version) grident.Incarnation { return grident.Incarnation(v >> runShift) }

func countOf(v grgossip.Version) uint64 { return uint64(v) >> stateBits & (1<<countBits - 1) }

// nextVersion returns the next version of the same run, with the given state.
func nextVersion(v grgossip.Version, state State) grgossip.Version {
	return versionOf(runOf(v), countOf(v)+1, state)
}

func memberKey(id grident.InstanceID) grgossip.Key     { return grgossip.Key("member/" + id) }
func divisorKey(id grident.InstanceID) grgossip.Key    { return grgossip.Key("holding/" + id) }
func searcherKey(id grident.SearcherID) grgossip.Key   { return grgossip.Key("searcher/" + id) }
func registeredKey(id grident.InstanceID) grgossip.Key { return grgossip.Key("registered/" + id) }
func rateLimitKey(id grident.SearcherID) grgossip.Key  { return grgossip.Key("limit/" + id) }
func departureKey(id grident.SearcherID) grgossip.Key  { return grgossip.Key("departure/" + id) }
func shardMapKey(c grident.Collection) grgossip.Key    { return grgossip.Key("map/" + c) }

func evacuationKey(d grident.FailureDomain) grgossip.Key { return grgossip.Key("evacuation/" + d) }

const (
	presetKey       grgossip.Key = "preset"
	routingTableKey grgossip.Key = "table"
)
