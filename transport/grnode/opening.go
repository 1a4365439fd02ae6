package grnode

import (
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/gropening"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/transport/grupstream"
)

// connDemand tells what connections of the router are needed for.
type connDemand struct{ router *grrouter.Router }

// Waiting implements gropening.Demand.
func (d connDemand) Waiting(service int32) int { return d.router.Dispatcher(service).QueueLen() }

// HasConn implements gropening.Demand.
func (d connDemand) HasConn(service int32) bool { return d.router.Dispatcher(service).HasConn() }

// HasConnTo implements gropening.Demand.
func (d connDemand) HasConnTo(service, searcher int32) bool {
	return d.router.Dispatcher(service).HasConnTo(searcher)
}

// queueOpening queues the opening of a connection to a searcher.
func (l *routerLoop) queueOpening(a *grdispatch.Action) {
	searcher := l.router.Dispatcher(a.Service).SearcherAt(a.Searcher)
	l.openings.Add(gropening.Opening{Service: a.Service, Searcher: a.Searcher, Conn: a.Conn, Local: searcher.Domain == l.node.Settings.FailureDomain})
}

// beginOpenings opens the connections that may be opened now and are still needed. The members
// that an instance knows right after its start change quickly, and the owners with them.
func (l *routerLoop) beginOpenings(now grclock.Millis) {
	for {
		o, ok := l.openings.Next(now, connDemand{l.router})
		if !ok {
			return
		}
		dispatcher := l.router.Dispatcher(o.Service)
		if dispatcher.WithdrawOpening(o.Searcher, o.Conn) {
			l.openings.Ended(o.Service, o.Searcher, o.Conn)
			continue
		}
		searcher := dispatcher.SearcherAt(o.Searcher)
		place := grupstream.ConnKey{Dispatcher: o.Service, SearcherIndex: o.Searcher, Conn: o.Conn}
		l.node.pool.Open(place, searcher.Address, l.node.byteCounters("searcher", searcher.Domain))
	}
}
