package grnode

import (
	"context"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/state/grsnapshot"
	"geraniumrouter/transport/grpeer"
	"geraniumrouter/transport/grupstream"
)

// event is an input of the router's event loop. apply runs on that loop.
type event interface {
	apply(l *routerLoop, now grclock.Millis)
}

// pendingRequest is a query or request together with the channel for its result.
type pendingRequest struct {
	ctx           context.Context
	number        uint64 // identifies the request before it has a query id
	collection    grident.Collection
	nonIdempotent bool // its claim has been granted
	key           grsnapshot.Key
	text          string
	requestID     grident.RequestID
	deadline      grclock.Millis
	route         *RouteRequest          // nil unless the request is on a route
	result        chan<- grrouter.Result // has room for all results
}

// callerID returns the id that the caller gave to the request; "" if it gave none.
func (p *pendingRequest) callerID() grident.RequestID {
	if p.route != nil {
		return p.route.ID
	}
	return p.requestID
}

func (p *pendingRequest) apply(l *routerLoop, now grclock.Millis) {
	switch {
	case p.ctx.Err() != nil: // Its caller disconnected meanwhile.
		p.result <- grrouter.Result{Outcome: grrouter.NotRun, Code: grerror.CallerLeft}
	case p.route != nil:
		p.route.Correlation = grident.CorrelationOf(p.route.ID)
		l.track(p, l.router.StartRoute(now, p.route.RouteRequest, &l.out))
	case p.nonIdempotent:
		request := grrouter.Request{Collection: p.collection, Key: p.key, Deadline: p.deadline}
		l.track(p, l.router.StartRequest(now, request, &l.out))
	default:
		l.track(p, l.router.StartQuery(now, grrouter.Query{Collection: p.collection, Deadline: p.deadline}, &l.out))
	}
}

// requestCancelled reports that nobody waits for the result of a request any more.
type requestCancelled struct{ number uint64 }

func (e *requestCancelled) apply(l *routerLoop, now grclock.Millis) {
	id := l.queryIDs[e.number]
	l.router.Cancel(now, id, &l.out)
	l.logKept(now, id)
}

// remainderRequested requests want more partial results of a group.
type remainderRequested struct {
	number uint64
	want   int
}

func (e *remainderRequested) apply(l *routerLoop, now grclock.Millis) {
	l.router.ContinueGroup(now, l.queryIDs[e.number], e.want, &l.out)
}

// groupCallEnded carries the result of a group call to a peer.
type groupCallEnded struct{ grpeer.GroupEvent }

func (e *groupCallEnded) apply(l *routerLoop, now grclock.Millis) {
	l.handleGroupResult(now, &e.GroupEvent)
}

// upstreamEvent reports a change on a connection to a searcher.
type upstreamEvent struct{ grupstream.Event }

func (e *upstreamEvent) apply(l *routerLoop, now grclock.Millis) {
	p := e.Place
	switch e.Kind {
	case grupstream.Opened:
		l.openings.Ended(p.Dispatcher, p.SearcherIndex, p.Conn)
		l.router.ConnOpened(now, p.Dispatcher, p.SearcherIndex, p.Conn, &l.out)
	case grupstream.OpenFailed:
		l.openings.Ended(p.Dispatcher, p.SearcherIndex, p.Conn)
		l.router.ConnFailed(now, p.Dispatcher, p.SearcherIndex, &l.out)
	case grupstream.AttemptEnded:
		l.router.HandleReply(now, p.Dispatcher, e.Reply, &l.out)
	case grupstream.Disconnected:
		l.router.ConnLost(now, p.Dispatcher, p.SearcherIndex, p.Conn, &l.out)
	case grupstream.ProbeEnded:
		l.router.ReturnConn(now, p.Dispatcher, p.SearcherIndex, p.Conn, e.Healthy, &l.out)
	}
}

// drainStarted reports that this instance shuts down and must have answered every request by
// the given time.
type drainStarted struct{ endBy grclock.Millis }

func (e *drainStarted) apply(l *routerLoop, _ grclock.Millis) { l.router.EndBy(e.endBy) }

// mapUpdated carries a new shard map of a collection.
type mapUpdated struct{ *grsnapshot.ShardMap }

func (e mapUpdated) apply(l *routerLoop, _ grclock.Millis) { l.router.SetShardMap(e.ShardMap) }

// serviceUpdated carries the searchers of a service.
type serviceUpdated struct {
	service   grident.Service
	searchers []grdispatch.Searcher
}

func (e *serviceUpdated) apply(l *routerLoop, now grclock.Millis) {
	l.router.SetService(now, e.service, e.searchers, &l.out)
}

// viewExtended carries the end of the lease on the searchers that the router was given before.
type viewExtended struct{ until grclock.Millis }

func (e viewExtended) apply(l *routerLoop, now grclock.Millis) {
	l.router.ExtendView(now, e.until, &l.out)
}

// presetActivated carries the preset for new queries.
type presetActivated struct{ grpreset.ActivePreset }

func (e *presetActivated) apply(l *routerLoop, _ grclock.Millis) { l.router.SetPreset(e.ActivePreset) }

// tableActivated carries a newly active routing table; requests that arrive from then on use it.
type tableActivated struct{ *grroutes.Table }

func (e tableActivated) apply(l *routerLoop, now grclock.Millis) {
	l.router.SetTable(now, e.Table, &l.out)
}

// peersUpdated carries the instances that groups can be delegated to.
type peersUpdated struct {
	members    []grcluster.Member
	membership grrouter.Membership
}

func (e *peersUpdated) apply(l *routerLoop, now grclock.Millis) {
	l.router.SetMembership(e.membership)
	l.setPeers(now, e.members)
}

// reductionRequested requests a report once the connections held are within each
// connection limit divided by the divisor.
type reductionRequested struct{ divisor int }

func (e *reductionRequested) apply(l *routerLoop, _ grclock.Millis) { l.targetDivisor = e.divisor }

// inspection runs a function that reads the router's state.
type inspection func(r *grrouter.Router)

func (e inspection) apply(l *routerLoop, _ grclock.Millis) { e(l.router) }
