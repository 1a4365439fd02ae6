package grdispatch

import "geraniumrouter/state/grident"

// Departure reports that a searcher said in an answer that it leaves.
type Departure struct {
	Searcher    grident.SearcherID
	Incarnation grident.Incarnation // of the searcher
	Address     grident.Address     // of the searcher
}

// recordLeaving records whether a searcher said in its answer to the attempt that it leaves. From
// then on it gets no new work, until it has restarted or moved.
func (d *Dispatcher) recordLeaving(r *searcherState, a *attempt, leaving bool, out *Output) {
	if !leaving || a.run != r.Incarnation {
		return
	}
	r.draining = true
	out.Departures = append(out.Departures, Departure{r.ID, r.Incarnation, r.Address})
}
