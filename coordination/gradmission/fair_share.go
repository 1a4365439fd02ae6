package gradmission

import (
	"math"
	"slices"
	"sort"

	"geraniumrouter/state/grclock"
)

// Parameters of FairShare.
const (
	shareDecay    = 2 * grclock.Second        // time in which a past request loses all but 1/e of its weight
	SourceIdle    = 5 * grclock.Second        // time without a request after which a source is dropped
	maxSources    = 4096                      // sources beyond these share one entry
	rejectedUnits = 0.25                      // weight of a rejected request, so that one that is repeated at once and often counts
	shareSlack    = 1.5                       // use ÷ usual use of the others up to which a source counts as within its share
	levelInterval = 100 * grclock.Millisecond // between two computations of the usual use
	shareMinUnits = 2.0                       // requests beyond that, so that rare requests are always within the share
)

// SourceCount is the number of sources that several FairShares hold together.
type SourceCount int

// FairShare compares the recent requests of sources of load, such as organisations or
// callers, all of which have the same weight. The zero value is usable.
type FairShare[K comparable] struct {
	Held *SourceCount // sources held by this and others together; nil: by this alone

	sources  map[K]*usage
	other    usage     // of the sources beyond maxSources
	sorted   []float64 // recent requests of each source, fewest first, at sortedAt
	sums     []float64 // sums of sorted up to each source
	sortedAt grclock.Millis
	prunedAt grclock.Millis
}

// usage is a count of requests that decays over time.
type usage struct {
	units  float64
	at     grclock.Millis // time up to which units has decayed
	seenAt grclock.Millis // time of the last request
}

func (u *usage) decay(now grclock.Millis) float64 {
	u.units *= math.Exp(-float64(now-u.at) / float64(shareDecay))
	u.at = now
	return u.units
}

// Exceeds records that the source sends a request and reports whether its recent requests are
// more than its share. It is not known of sources beyond those held.
func (f *FairShare[K]) Exceeds(now grclock.Millis, source K) bool {
	f.prune(now)
	u := f.usageOf(source)
	u.seenAt = now
	f.sort(now)
	units := u.decay(now)
	return u != &f.other && units > shareSlack*f.usualOfOthers(units)+shareMinUnits
}

// usualOfOthers returns the recent requests of a usual source other than one with the given
// number: half of what the others send comes from sources with no more. The mean would not do,
// as many sources that send rarely would make all others exceed it.
func (f *FairShare[K]) usualOfOthers(units float64) float64 {
	if len(f.sums) == 0 {
		return units
	}
	half := (f.sums[len(f.sums)-1] - units) / 2
	i := sort.SearchFloat64s(f.sums, half)
	return f.sorted[min(i, len(f.sorted)-1)]
}

// sort orders the sources by their recent requests, at most once in levelInterval.
func (f *FairShare[K]) sort(now grclock.Millis) {
	if len(f.sums) > 0 && now-f.sortedAt < levelInterval {
		return
	}
	f.sortedAt = now
	f.sorted, f.sums = f.sorted[:0], f.sums[:0]
	for _, u := range f.sources {
		f.sorted = append(f.sorted, u.decay(now))
	}
	slices.Sort(f.sorted)
	sum := 0.0
	for _, units := range f.sorted {
		sum += units
		f.sums = append(f.sums, sum)
	}
}

// RecordAdmission records that a request of the source was admitted.
func (f *FairShare[K]) RecordAdmission(now grclock.Millis, source K) { f.add(now, source, 1) }

// RecordRejection records that a request of the source was rejected.
func (f *FairShare[K]) RecordRejection(now grclock.Millis, source K) {
	f.add(now, source, rejectedUnits)
}

func (f *FairShare[K]) add(now grclock.Millis, source K, units float64) {
	u := f.usageOf(source)
	u.decay(now)
	u.units += units
}

// Len returns the number of sources that have sent a request recently.
func (f *FairShare[K]) Len() int { return len(f.sources) }

// clear drops all sources.
func (f *FairShare[K]) clear() {
	if f.Held != nil {
		*f.Held -= SourceCount(len(f.sources))
	}
	clear(f.sources)
}

func (f *FairShare[K]) usageOf(source K) *usage {
	if u := f.sources[source]; u != nil {
		return u
	}
	if f.Held == nil {
		f.Held = new(SourceCount)
	}
	if *f.Held >= maxSources {
		return &f.other
	}
	*f.Held++
	if f.sources == nil {
		f.sources = make(map[K]*usage)
	}
	u := &usage{}
	f.sources[source] = u
	return u
}

// prune drops idle sources, at most once in SourceIdle.
func (f *FairShare[K]) prune(now grclock.Millis) {
	if now-f.prunedAt >= SourceIdle {
		f.dropIdle(now)
	}
}

// dropIdle drops idle sources.
func (f *FairShare[K]) dropIdle(now grclock.Millis) {
	f.prunedAt = now
	for source, u := range f.sources {
		if now-u.seenAt >= SourceIdle {
			delete(f.sources, source)
			*f.Held--
		}
	}
}
