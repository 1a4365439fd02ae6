package grcluster

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// A searcher that is about to shut down says so in its answers, perhaps long before the
// platform's list shows it. The announcement is replicated beside the list, so no read of the
// list revokes it: it holds for this run of the searcher at this address.

// Departure is the announcement of a searcher that it leaves.
type Departure struct {
	Searcher    grident.SearcherID
	Incarnation grident.Incarnation // of the searcher
	Address     grident.Address     // of the searcher
}

// AnnounceDeparture records and publishes what a searcher said in an answer to this instance.
// It has no effect if the searcher has restarted or moved since.
func (c *Cluster) AnnounceDeparture(now grclock.Millis, d Departure, out *Output) {
	entry, listed := c.items.Get(searcherKey(d.Searcher))
	if !listed || StateOf(entry.Version) == Gone || !d.appliesTo(&entry.Value.Searcher) || c.departures[d.Searcher] == d {
		return
	}
	key := departureKey(d.Searcher)
	version := versionOf(d.Incarnation, 0, Live)
	if held, ok := c.items.Get(key); ok && runOf(held.Version) == d.Incarnation {
		version = nextVersion(held.Version, Live) // It left another address before.
	}
	c.runStep(now, out, func() { c.put(now, key, version, Value{Kind: DepartureKind, Departure: d}) })
}

// appliesTo reports whether the searcher has neither restarted nor moved since.
func (d *Departure) appliesTo(s *Searcher) bool {
	return d.Searcher == s.ID && d.Incarnation == s.Incarnation && d.Address == s.Address
}

// departureChanged handles a new announcement.
func (c *Cluster) departureChanged(d Departure) {
	c.departures[d.Searcher] = d
	c.out.Departures = append(c.out.Departures, d)
	c.out.SearchersChanged = true
}

// withDeparture returns the state of a searcher, with what it has announced itself.
func (c *Cluster) withDeparture(s *Searcher, listed State) State {
	if d := c.departures[s.ID]; d.appliesTo(s) {
		return max(listed, Leaving)
	}
	return listed
}
