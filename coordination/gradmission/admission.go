// Package gradmission decides whether an instance takes a query. It bounds
// the queries in flight, keeps a share of them for each collection by weight,
// and refuses early what would not be answered in time.
//
//	gate := gradmission.Gate{Max: 400}
//	if reason := gate.Admit(now, "dispatch", 10, wait, remaining); reason == "" {
//		defer gate.Release("dispatch")
//	}
package gradmission

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
)

// Headroom is the share of the remaining time that the expected time to an
// answer may take. The rest absorbs errors of the estimate.
const Headroom = 0.7

// activeFor is how long a collection keeps its share after its last query.
const activeFor = grclock.Second

// Gate counts the queries in flight. Set Max before use.
type Gate struct {
	Max      int // queries in flight
	inFlight int
	shares   map[grid.Collection]*share
}

type share struct {
	inFlight int
	weight   int
	lastAt   grclock.Millis
}

// Admit takes a query, or returns the reason why not. wait is the expected
// time to its answer and remaining the time to its deadline.
func (g *Gate) Admit(now grclock.Millis, c grid.Collection, weight int, wait, remaining grclock.Millis) grfault.Code {
	own := g.share(c)
	own.weight, own.lastAt = weight, now
	switch {
	case remaining <= 0:
		return grfault.DeadlineTooShort
	case float64(wait) > Headroom*float64(remaining):
		return grfault.Overloaded
	case own.inFlight >= g.guaranteed(now, own) && g.inFlight+g.keptForOthers(now, own) >= g.Max:
		return grfault.Overloaded
	case g.inFlight >= g.Max:
		return grfault.Overloaded
	}
	g.inFlight++
	own.inFlight++
	return ""
}

// Release gives back what Admit took.
func (g *Gate) Release(c grid.Collection) {
	g.inFlight--
	g.share(c).inFlight--
}

// InFlight returns the number of queries taken and not released.
func (g *Gate) InFlight() int { return g.inFlight }

func (g *Gate) share(c grid.Collection) *share {
	if s, ok := g.shares[c]; ok {
		return s
	}
	if g.shares == nil {
		g.shares = make(map[grid.Collection]*share)
	}
	s := &share{}
	g.shares[c] = s
	return s
}

// guaranteed is the number of queries that the collection can always have in
// flight, among the collections that were asked lately.
func (g *Gate) guaranteed(now grclock.Millis, own *share) int {
	total := 0
	for _, s := range g.shares {
		if now-s.lastAt < activeFor {
			total += s.weight
		}
	}
	return g.Max * own.weight / max(total, 1)
}

// keptForOthers is the room that other collections have not used of theirs.
func (g *Gate) keptForOthers(now grclock.Millis, own *share) int {
	kept := 0
	for _, s := range g.shares {
		if s != own && now-s.lastAt < activeFor {
			kept += max(0, g.guaranteed(now, s)-s.inFlight)
		}
	}
	return kept
}
