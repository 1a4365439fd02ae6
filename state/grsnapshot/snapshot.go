// Package grsnapshot describes the data that a query reads: one version of a collection's
// index, partitioned into shards by one version of the shard map.
//
// A query is pinned to a Snapshot when it is planned. Coverage is computed from the ranges
// that were merged, never from those that were expected:
//
//	shards := m.Shards
//	cover := grsnapshot.Coverage{}
//	cover.Reset(shards)
//	cover.MarkMerged(3)
//	share := cover.Fraction()
package grsnapshot

import (
	"fmt"

	"geraniumrouter/state/grident"
)

// Key is a key in a collection's key space.
type Key uint64

// Range is the half-open key range [From, To).
type Range struct{ From, To Key }

// Width returns the number of keys in the range.
func (r Range) Width() uint64 { return uint64(r.To - r.From) }

// Contains reports whether the key lies in the range.
func (r Range) Contains(k Key) bool { return r.From <= k && k < r.To }

// String returns the range as "[From,To)".
func (r Range) String() string { return fmt.Sprintf("[%d,%d)", r.From, r.To) }

// Version is the version of a collection's index or of its shard map.
type Version uint64

// Snapshot identifies the state of a collection that a query reads: the versions of its
// index and of its shard map.
type Snapshot struct {
	IndexVersion Version
	MapVersion   Version
}

// NewerThan reports whether s is newer than o: by index version, then by map version.
func (s Snapshot) NewerThan(o Snapshot) bool {
	if s.IndexVersion != o.IndexVersion {
		return s.IndexVersion > o.IndexVersion
	}
	return s.MapVersion > o.MapVersion
}

// Shard is a key range and the service whose searchers hold its records.
type Shard struct {
	Range   Range
	Service grident.Service
}

// ShardMap partitions a collection's key space into shards for one snapshot. It is immutable
// once it is in use.
type ShardMap struct {
	Collection grident.Collection
	Snapshot   Snapshot
	Shards     []Shard
}

// MapError is the error for an invalid shard map.
type MapError struct {
	Collection grident.Collection
	Shard      int
	Reason     string
}

// Error returns the collection, the index of the invalid shard and the reason.
func (e *MapError) Error() string {
	return fmt.Sprintf("shard map of %s: shard %d: %s", e.Collection, e.Shard, e.Reason)
}

// Validate returns nil if there is at least one shard, each names a service and has a
// non-empty range, and the ranges are in ascending order without gaps or overlaps. The
// error is a *MapError.
func (m *ShardMap) Validate() error {
	if len(m.Shards) == 0 {
		return &MapError{Collection: m.Collection, Reason: "has no shards"}
	}
	for i, s := range m.Shards {
		reason := ""
		switch {
		case s.Range.From >= s.Range.To:
			reason = "has an empty range"
		case s.Service == "":
			reason = "names no service"
		case i > 0 && s.Range.From != m.Shards[i-1].Range.To:
			reason = "does not start where the one before ends"
		}
		if reason != "" {
			return &MapError{Collection: m.Collection, Shard: i, Reason: reason}
		}
	}
	return nil
}

// Find returns the index of the shard that holds the key, or -1.
func (m *ShardMap) Find(k Key) int {
	for i := range m.Shards {
		if m.Shards[i].Range.Contains(k) {
			return i
		}
	}
	return -1
}

// Record is one record of an answer. The records of a range are unique and ordered by key,
// then by id.
type Record struct {
	Key  Key
	ID   string
	Body string
}
