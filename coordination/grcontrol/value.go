package grcontrol

import (
	"geraniumrouter/coordination/grshare"
	"geraniumrouter/coordination/grspread"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
	"geraniumrouter/state/grtable"
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
	grshare.Member
	PeerAddress         grid.Address
	CallerAddress       grid.Address
	Domain              grid.FailureDomain
	PlatformUnreachable bool // cannot reach the platform
}

// Searcher describes a searcher as the platform lists it.
type Searcher struct {
	ID              grid.SearcherID
	Incarnation     grid.Incarnation
	Service         grid.Service
	Address         grid.Address
	Domain          grid.FailureDomain
	Slots           int
	ConnLimit       int
	CreatedRevision grid.Revision // at which its entry in the platform's list was created; 0 if unknown
}

// Value is a replicated value. Kind determines which of the other fields are set.
type Value struct {
	Kind             ValueKind
	Member           Member
	Searcher         Searcher
	Publisher        grshare.Member
	PublishedDivisor grshare.PublishedDivisor
	Preset           *grpreset.ActivePreset
	ShardMap         *grsnapshot.ShardMap
	RoutingTable     *grtable.Table
}

// Item is an entry of the replicated map.
type Item = grspread.Item[Value]

// Bit layout of the versions of members and searchers, from the highest bit: the run,
// the number of the change within the run, and the state.
const (
	stateBits = 2
	countBits = 14
	runShift  = stateBits + countBits
)

// versionOf returns the version of the nth change of a run.
func versionOf(run grid.Incarnation, count uint64, state State) grspread.Version {
	return grspread.Version(uint64(run)<<runShift | count<<stateBits&(1<<runShift-1) | uint64(state))
}

// StateOf returns the state that a version encodes.
func StateOf(v grspread.Version) State { return State(v & (1<<stateBits - 1)) }

// runOf returns the run that a version encodes.
func runOf(v grspread.Version) grid.Incarnation { return grid.Incarnation(v >> runShift) }

func countOf(v grspread.Version) uint64 { return uint64(v) >> stateBits & (1<<countBits - 1) }

// nextVersion returns the next version of the same run, with the given state.
func nextVersion(v grspread.Version, state State) grspread.Version {
	return versionOf(runOf(v), countOf(v)+1, state)
}

func memberKey(id grid.InstanceID) grspread.Key     { return grspread.Key("member/" + id) }
func divisorKey(id grid.InstanceID) grspread.Key    { return grspread.Key("holding/" + id) }
func searcherKey(id grid.SearcherID) grspread.Key   { return grspread.Key("searcher/" + id) }
func registeredKey(id grid.InstanceID) grspread.Key { return grspread.Key("registered/" + id) }
func mapKey(c grid.Collection) grspread.Key         { return grspread.Key("map/" + c) }

const (
	presetKey grspread.Key = "preset"
	tableKey  grspread.Key = "table"
)
