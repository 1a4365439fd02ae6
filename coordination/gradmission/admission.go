// Package gradmission implements admission control for queries: it limits the queries
// in flight, guarantees each collection a weighted share of the limit, and rejects a
// query early if it is not expected to finish within its deadline.
//
//	controller := gradmission.Controller{MaxInFlight: 400}
//	if reason := controller.Admit(now, "dispatch", 10, wait, remaining); reason == "" {
//		defer controller.Release("dispatch")
//	}
package gradmission

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
)

// MaxWaitRatio is the largest admissible ratio of the expected response time to the
// remaining time. The rest absorbs estimation errors.
const MaxWaitRatio = 0.7

// activeWindow is how long a collection keeps its guaranteed share after its last
// query.
const activeWindow = grclock.Second

// Controller counts the queries in flight, in total and for each collection. Set
// MaxInFlight before use.
type Controller struct {
	MaxInFlight int // limit over all collections
	inFlight    int
	loads       map[grident.Collection]*collectionLoad
}

type collectionLoad struct {
	inFlight    int
	weight      int
	lastQueryAt grclock.Millis
}

// Admit admits a query and returns "", or returns the reason for rejecting it. wait is
// the expected response time and remaining is the time until the deadline.
func (g *Controller) Admit(now grclock.Millis, c grident.Collection, weight int, wait, remaining grclock.Millis) grerror.Code {
	load := g.loadOf(c)
	load.weight, load.lastQueryAt = weight, now
	switch {
	case remaining <= 0:
		return grerror.DeadlineTooShort
	case float64(wait) > MaxWaitRatio*float64(remaining):
		return grerror.Overloaded
	case load.inFlight >= g.guaranteed(now, load) && g.inFlight+g.reservedForOthers(now, load) >= g.MaxInFlight:
		return grerror.Overloaded
	case g.inFlight >= g.MaxInFlight:
		return grerror.Overloaded
	}
	g.inFlight++
	load.inFlight++
	return ""
}

// Release ends a query that Admit admitted.
func (g *Controller) Release(c grident.Collection) {
	g.inFlight--
	g.loadOf(c).inFlight--
}

// InFlight returns the number of queries admitted and not yet released.
func (g *Controller) InFlight() int { return g.inFlight }

func (g *Controller) loadOf(c grident.Collection) *collectionLoad {
	if load, ok := g.loads[c]; ok {
		return load
	}
	if g.loads == nil {
		g.loads = make(map[grident.Collection]*collectionLoad)
	}
	load := &collectionLoad{}
	g.loads[c] = load
	return load
}

// guaranteed returns the number of queries that the collection can always have in
// flight: the limit divided by weight among the collections with recent queries.
func (g *Controller) guaranteed(now grclock.Millis, load *collectionLoad) int {
	total := 0
	for _, active := range g.loads {
		if now-active.lastQueryAt < activeWindow {
			total += active.weight
		}
	}
	return g.MaxInFlight * load.weight / max(total, 1)
}

// reservedForOthers returns the number of guaranteed slots that the other collections
// with recent queries are not using.
func (g *Controller) reservedForOthers(now grclock.Millis, load *collectionLoad) int {
	reserved := 0
	for _, other := range g.loads {
		if other != load && now-other.lastQueryAt < activeWindow {
			reserved += max(0, g.guaranteed(now, other)-other.inFlight)
		}
	}
	return reserved
}
