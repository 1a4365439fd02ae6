// Package grident defines distinct types for the ids, counters and units that the layers exchange,
// so that the compiler rejects mixing them up, and the hash and random number functions
// for them.
package grident

import "math"

// InstanceID identifies an entry instance and stays the same across restarts.
type InstanceID string

// Incarnation distinguishes successive runs of one instance; a later run has a higher
// value.
type Incarnation uint64

// Millicores is processor capacity in thousandths of a reference core; 0 if unknown. It is an
// integer so that sums do not depend on the order of their terms.
type Millicores int32

// Service is a group of searchers that hold the same key ranges.
type Service string

// SearcherID identifies one searcher of a service.
type SearcherID string

// SearcherTag is a 16-bit hash of a SearcherID that distinguishes the searchers of one
// service: two searchers collide with a probability of 1 in 65,535. 0 means no searcher.
type SearcherTag uint16

// TagOf returns the tag of an id.
func TagOf(id SearcherID) SearcherTag { return SearcherTag(Hash(id)%math.MaxUint16) + 1 }

// FailureDomain identifies a set of machines that can fail together.
type FailureDomain string

// Organisation identifies an organisation whose requests are told apart by a key.
type Organisation string

// Caller identifies a caller by its remote IP address.
type Caller string

// Collection identifies a queryable key space, such as "dispatch". It is partitioned into
// key ranges, each held by one service.
type Collection string

// RequestID identifies a non-idempotent request; see package grclaim.
type RequestID string

// OperationID identifies one change by an operator. Repeating the change with the same id
// after a lost reply does not apply it twice.
type OperationID string

// Address is an IP address with a port.
type Address string

// Generation counts the accepted switches of the active preset.
type Generation uint64

// Revision counts the stored versions of one preset, or the writes to one platform
// object.
type Revision uint64

// Layout of a Revision of a platform that can come back from a copy of its state: the era, which
// rises with each such return, above the platform's own number, which goes back by it.
const (
	eraShift = 42
	eraBits  = 20
)

// InEra returns the revision with the number r in an era of the platform. Revisions of a later
// era are higher, whatever their numbers.
func (r Revision) InEra(era uint64) Revision {
	return Revision(era&(1<<eraBits-1)<<eraShift) | r.Number()
}

// Era returns the era of the revision.
func (r Revision) Era() uint64 { return uint64(r) >> eraShift }

// Number returns the platform's own number of the revision.
func (r Revision) Number() Revision { return r & (1<<eraShift - 1) }

// QueryID identifies a query within one run of an instance.
type QueryID uint64

// AttemptID identifies one attempt of a sub-request within one run of an instance.
type AttemptID uint64

// CorrelationID is a hash of the id by which the answers of a searcher are matched to
// requests, where attempts of one request share that id. 0 means that each attempt has an
// id of its own.
type CorrelationID uint64

// CorrelationOf returns the correlation id of a request, which is never 0.
func CorrelationOf(id RequestID) CorrelationID { return CorrelationID(Hash(id) | 1) }

// Hash returns the 64-bit FNV-1a hash of the text, passed through Mix because the FNV
// hashes of short texts are not spread over all 64 bits.
func Hash[T ~string](text T) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return Mix(h)
}

// Mix is a bijective 64-bit hash: the finalizer of the SplitMix64 generator.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Random is a SplitMix64 pseudo-random generator, which makes decisions reproducible from
// a seed. The zero value is usable; State is the seed.
type Random struct{ State uint64 }

// Uint64 returns the next 64-bit number.
func (r *Random) Uint64() uint64 {
	r.State += 0x9e3779b97f4a7c15
	return Mix(r.State)
}

// IntN returns a number in [0, n); n must be positive.
func (r *Random) IntN(n int) int { return int(r.Uint64() % uint64(n)) }

// Float64 returns a number in [0, 1).
func (r *Random) Float64() float64 { return float64(r.Uint64()>>11) / (1 << 53) }
