package grcontrol

import (
	"geraniumrouter/coordination/grshare"
	"geraniumrouter/coordination/grspread"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
	"geraniumrouter/state/grtable"
)

// Kind tells what a value is about.
type Kind uint8

// The kinds of values.
const (
	MemberKind     Kind = iota + 1 // an entry instance
	SearcherKind                   // a searcher
	HoldingKind                    // how an instance divides connection limits
	RegisteredKind                 // an id stands in the platform's list of members
	PresetKind                     // the preset in force
	MapKind                        // a shard map
	TableKind                      // the routing table
)

// State is the state of a member or searcher.
type State uint8

// The states, in the order in which one run goes through them. Only Suspect is
// taken back.
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
	Peers   grid.Address
	Callers grid.Address
	Domain  grid.FailureDomain
	Blind   bool // does not reach the platform
}

// Searcher describes a searcher as the platform lists it.
type Searcher struct {
	ID        grid.SearcherID
	Run       grid.Incarnation
	Service   grid.Service
	Address   grid.Address
	Domain    grid.FailureDomain
	Slots     int
	ConnLimit int
	Entered   grid.Revision // at which its entry in the platform's list was made; 0 if not told
}

// Value is one of the things that instances tell each other; Kind says which
// field holds it.
type Value struct {
	Kind     Kind
	Member   Member
	Searcher Searcher
	Holder   grshare.Member
	Holding  grshare.Holding
	Active   *grpreset.Active
	Map      *grsnapshot.Map
	Table    *grtable.Table
}

// Item is an entry of the map that instances keep equal.
type Item = grspread.Item[Value]

// Layout of the versions of members and searchers: the run, then a count of
// changes, then the state, so that a version decides on the state.
const (
	stateBits = 2
	countBits = 14
	runShift  = stateBits + countBits
)

// versionOf returns the version of the nth change of a run.
func versionOf(run grid.Incarnation, count uint64, state State) grspread.Version {
	return grspread.Version(uint64(run)<<runShift | count<<stateBits&(1<<runShift-1) | uint64(state))
}

// StateOf returns the state that a version stands for.
func StateOf(v grspread.Version) State { return State(v & (1<<stateBits - 1)) }

// runOf returns the run that a version stands for.
func runOf(v grspread.Version) grid.Incarnation { return grid.Incarnation(v >> runShift) }

func countOf(v grspread.Version) uint64 { return uint64(v) >> stateBits & (1<<countBits - 1) }

// after returns the version that follows v with another state.
func after(v grspread.Version, state State) grspread.Version {
	return versionOf(runOf(v), countOf(v)+1, state)
}

func memberKey(id grid.InstanceID) grspread.Key     { return grspread.Key("member/" + id) }
func holdingKey(id grid.InstanceID) grspread.Key    { return grspread.Key("holding/" + id) }
func searcherKey(id grid.SearcherID) grspread.Key   { return grspread.Key("searcher/" + id) }
func registeredKey(id grid.InstanceID) grspread.Key { return grspread.Key("registered/" + id) }
func mapKey(c grid.Collection) grspread.Key         { return grspread.Key("map/" + c) }

const (
	presetKey grspread.Key = "preset"
	tableKey  grspread.Key = "table"
)
