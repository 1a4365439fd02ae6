// Package grsnapshot describes what a query is answered from: one version of
// the index, cut into shards by one version of the shard map.
//
// A query pins a Snapshot when it is planned. Coverage is computed from the
// ranges that were merged, never from those that were expected:
//
//	shards := m.Shards
//	cover := grsnapshot.Coverage{}
//	cover.Reset(shards)
//	cover.Merge(3)
//	share := cover.Fraction()
package grsnapshot

import (
	"fmt"

	"geraniumrouter/state/grid"
)

// Key is a place in a collection's key space.
type Key uint64

// Range is the half-open span of keys [From, To).
type Range struct{ From, To Key }

// Width returns the number of keys in the range.
func (r Range) Width() uint64 { return uint64(r.To - r.From) }

// Contains reports whether the key lies in the range.
func (r Range) Contains(k Key) bool { return r.From <= k && k < r.To }

// String prints the range for people.
func (r Range) String() string { return fmt.Sprintf("[%d,%d)", r.From, r.To) }

// Version is the version of a collection's index.
type Version uint64

// Snapshot names the state of a collection that an answer is drawn from.
type Snapshot struct {
	Index Version
	Map   Version
}

// After reports whether s is newer than o.
func (s Snapshot) After(o Snapshot) bool {
	if s.Index != o.Index {
		return s.Index > o.Index
	}
	return s.Map > o.Map
}

// Shard is a key range and the service whose searchers hold it.
type Shard struct {
	Range   Range
	Service grid.Service
}

// Map cuts a collection's key space into shards for one snapshot. It is not
// changed once it is in use.
type Map struct {
	Collection grid.Collection
	Snapshot   Snapshot
	Shards     []Shard
}

// MapFault tells why a shard map is refused.
type MapFault struct {
	Collection grid.Collection
	Shard      int
	Why        string
}

// Error describes the fault.
func (f *MapFault) Error() string {
	return fmt.Sprintf("shard map of %s: shard %d: %s", f.Collection, f.Shard, f.Why)
}

// Check returns a *MapFault unless the shards are ordered, not empty and do
// not overlap or leave gaps.
func (m *Map) Check() error {
	if len(m.Shards) == 0 {
		return &MapFault{Collection: m.Collection, Why: "has no shards"}
	}
	for i, s := range m.Shards {
		why := ""
		switch {
		case s.Range.From >= s.Range.To:
			why = "has an empty range"
		case s.Service == "":
			why = "names no service"
		case i > 0 && s.Range.From != m.Shards[i-1].Range.To:
			why = "does not start where the one before ends"
		}
		if why != "" {
			return &MapFault{Collection: m.Collection, Shard: i, Why: why}
		}
	}
	return nil
}

// Find returns the index of the shard that holds the key, or -1.
func (m *Map) Find(k Key) int {
	for i := range m.Shards {
		if m.Shards[i].Range.Contains(k) {
			return i
		}
	}
	return -1
}

// Record is one item of an answer. Records of a range come ordered by key and
// then id, each once.
type Record struct {
	Key  Key
	ID   string
	Body string
}
