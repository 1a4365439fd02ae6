package grrouter

import (
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// RouteRequest is a request on a route of the routing table. It uses the table that it
// carries to its end, even if a newer one arrives.
type RouteRequest struct {
	Correlation         grident.CorrelationID // of the id by which searchers' answers are matched to requests
	Table               *grroutes.Table
	Route               *grroutes.Route
	Organisation        *grroutes.Organisation // that sent the request; nil: none is known
	Caller              grident.Caller         // that sent the request; empty: not known
	Services            []grident.Service      // the shards to request, all of one target; empty: the target chosen by traffic split
	Deadline            grclock.Millis         // of the caller
	Remaining           grclock.Millis         // remaining time of the caller's timeout when it sent the request; 0: not known
	LongestReturn       grclock.Millis         // longest retry-after time that the caller observes if it is rejected; 0: until its deadline
	ResponseDelay       grclock.Millis         // recent delay between the end of a request and the write to the caller's connection
	ElapsedSinceArrival grclock.Millis         // time from the arrival of the request at this instance to StartRoute
	IsGroup             bool                   // the shards are a group that a peer delegated; their partial results are due at PartialDeadline
	PartialDeadline     grclock.Millis         // partial-result deadline of a group
	Reserved            []grident.SearcherTag  // of a group: for each shard, the searcher left to the requesting instance
	OnlyReserved        bool                   // of a group: the sub-requests may be sent to the searchers in Reserved only
}

// Priority returns the priority of the request: that of its organisation if stated, else that
// of its route.
func (req *RouteRequest) Priority() int {
	if o := req.Organisation; o != nil && o.HasPriority {
		return o.Priority
	}
	return req.Route.Priority
}

// PartialResult is the partial result of one shard.
type PartialResult struct {
	Service grident.Service
	Answer  *granswer.Answer
}

// RoutePolicy holds the parameters for requests on routes.
type RoutePolicy struct {
	HedgeRatio       float64        // hedge delay ÷ latency objective
	HedgeMin         grclock.Millis // minimum hedge delay
	SingleHedgeRatio float64        // used in place of HedgeRatio for requests to one searcher
	MajorityShare    float64        // fraction of the shards that must have answered before the others count as stragglers
	StragglerRatio   float64        // hedge delay of a straggler ÷ time in which that fraction answered
	StragglerMargin  grclock.Millis // added to the hedge delay of a straggler
	PartialRatio     float64        // time at which an incomplete answer with the required share is sent ÷ latency objective
	PartialMargin    grclock.Millis // subtracted from that time, for the way to the caller
	MaxInFlight      int            // requests in flight on an instance
}

// DefaultRoutePolicy returns the default parameters.
func DefaultRoutePolicy() RoutePolicy {
	return RoutePolicy{
		HedgeRatio:       0.3,
		HedgeMin:         5 * grclock.Millisecond,
		SingleHedgeRatio: 0.4,
		MajorityShare:    0.75,
		StragglerRatio:   1.25,
		StragglerMargin:  2 * grclock.Millisecond,
		PartialRatio:     0.95,
		PartialMargin:    10 * grclock.Millisecond,
		MaxInFlight:      512,
	}
}

// routeState is the state of a query that is a request on a route.
type routeState struct {
	route                *grroutes.Route
	priority             int // of the request; 0 is the most urgent
	correlation          grident.CorrelationID
	services             []grident.Service
	parts                []PartialResult
	failure              *granswer.Answer
	partialDeadline      grclock.Millis
	remaining            grclock.Millis // remaining time of the caller's timeout when it sent the request
	rejectedFor          grclock.Millis // time after which early rejection expects to admit it; 0: it did not reject it
	starvedShards        int            // shards that waited for searchers at capacity from the start to the deadline
	longestReturn        grclock.Millis // longest retry-after time that the caller observes; 0: until its deadline
	elapsedBeforeArrival grclock.Millis // estimated part of the latency objective that passed before the caller sent the request
	failedShards         int            // shards that ended without a partial result
	failures             []shardFailure // the first maxMissingReported of them, for logs

	directEnded      int  // ended sub-requests among those sent by this instance
	stragglersHedged bool // stragglers were already given an earlier hedge

	groups        []group // shards delegated to peers
	delegated     []bool  // for each shard, whether it is delegated to a peer
	redelegations int     // how often shards were delegated again
	peersBypassed bool    // unresponsive peers were already bypassed

	graceUntil grclock.Millis // peers do not count as unresponsive before this time, because this instance was late itself; 0: it was not

	isGroup      bool                  // this is a group delegated by another instance
	onlyReserved bool                  // the shards may be sent to the reserved searchers only
	reserved     []grident.SearcherTag // for each shard, the searcher left to that instance
	returned     int                   // partial results already returned
	restWanted   int                   // partial results requested of the rest; 0: not requested
	restUntil    grclock.Millis        // end of the time in which the rest can be requested; 0 before the first answer
}

// isDelegated reports whether the shard is delegated to a peer.
func (q *query) isDelegated(shard int) bool { return q.route != nil && q.route.delegated[shard] }

// requiredParts is the smallest number of partial results with which the request can
// be answered.
func (rs *routeState) requiredParts() int {
	if !rs.route.FanOut {
		return 1
	}
	total := len(rs.services)
	for n := 1; n < total; n++ {
		if float64(n)/float64(total) >= rs.route.MinSuccessShare {
			return n
		}
	}
	return total
}

// StartRoute starts a request on a route. The result is appended to out by this call
// or a later one.
func (r *Router) StartRoute(now grclock.Millis, req RouteRequest, out *Output) grident.QueryID {
	r.Counters.Queries++
	q := r.newQuery()
	q.startedAt = now
	q.deadline = r.limitedDeadline(min(req.Deadline, now+req.Route.Timeout) - r.DeadlineMargin)
	q.atMostOnce = !req.Route.Idempotent
	q.generation = grident.Generation(req.Table.Version)
	if r.takeUnit(now, q, &req, out) {
		r.runRoute(now, q, &req, out)
	}
	return q.id
}

// runRoute admits and sends a request that has a unit of its quota, if it needs one.
func (r *Router) runRoute(now grclock.Millis, q *query, req *RouteRequest, out *Output) {
	q.route = r.planRoute(now, req)
	q.dispatchers = r.dispatchersFor(q.route.services)
	if req.IsGroup && r.holdsNone(q) {
		r.refuseRoute(now, q, grerror.NoSearcher, out) // The requesting instance delegates it to another.
		return
	}
	if code := r.admitRoute(now, q, req); code != "" {
		r.refuseRoute(now, q, code, out)
		return
	}
	q.settled = resizedCleared(q.settled, len(q.dispatchers))
	q.pending = len(q.dispatchers)
	if req.OnlyReserved {
		r.chargeDuplicates(now, q)
	}
	if req.IsGroup {
		q.route.delegated = resizedCleared(q.route.delegated, len(q.dispatchers))
	} else {
		r.delegate(now, q)
		if r.refused(now, q) {
			r.admission.Release(q.collectionName)
			r.refuseRoute(now, q, grerror.SearchersRefuse, out)
			return
		}
	}
	if q.route.partialDeadline < q.deadline {
		r.deadlines.Push(timer{q.route.partialDeadline, q.id})
	}
	if len(q.route.groups) > 0 {
		r.deadlines.Push(timer{q.route.partialDeadline + peerGrace, q.id})
	}
	r.sendGroups(now, q, out)
	r.submit(now, q, out)
}

// ContinueGroup keeps a group running after its first result, until wanted more partial
// results are in or no more can arrive. It returns false if the group has ended.
func (r *Router) ContinueGroup(now grclock.Millis, id grident.QueryID, wanted int, out *Output) bool {
	q := r.queries[id]
	if q == nil || q.route == nil || q.route.restUntil == 0 {
		return false
	}
	q.route.restWanted = max(wanted, 1)
	for i, dispatcher := range q.dispatchers {
		r.dispatchers[dispatcher].EndHold(now, grdispatch.SubRequestKey{Query: q.id, Shard: int32(i)}, &out.dispatcher)
		r.collect(now, dispatcher, out)
	}
	r.endRouteIfDue(now, q, out)
	return true
}

// planRoute selects the services to request and computes the partial-result deadline.
func (r *Router) planRoute(now grclock.Millis, req *RouteRequest) *routeState {
	rs := &routeState{route: req.Route, priority: req.Priority(), correlation: req.Correlation, services: req.Services}
	if len(rs.services) == 0 {
		rs.services = req.Route.Targets[r.targetPickerOf(req).next(req.Route.Targets)].Services
	}
	rs.isGroup, rs.reserved, rs.longestReturn = req.IsGroup, req.Reserved, req.LongestReturn
	rs.onlyReserved = req.OnlyReserved
	typical := r.typicalRemainingOf(req.Route.Name)
	if req.Remaining > 0 {
		typical.Add(req.Remaining)
	}
	rs.remaining = req.Remaining
	if req.IsGroup {
		rs.partialDeadline = req.PartialDeadline - r.loopLag()
		return rs
	}
	p := &r.RoutePolicy
	rs.elapsedBeforeArrival = elapsedBeforeArrival(req, typical)
	rs.partialDeadline = now - req.ElapsedSinceArrival - rs.elapsedBeforeArrival + grclock.Millis(p.PartialRatio*float64(req.Route.LatencyObjective)) - p.PartialMargin - r.loopLag() - req.ResponseDelay
	return rs
}

// targetPickerOf returns the target picker of a route. Requests that still use an
// older table share the picker of the newest one.
func (r *Router) targetPickerOf(req *RouteRequest) *targetPicker {
	if req.Table.Version > r.tableVersion {
		r.tableVersion = req.Table.Version
		clear(r.targetPickers)
		r.pruneTypicalRemaining(req.Table)
		r.earlyRejections.prune(req.Table)
	}
	p := r.targetPickers[req.Route.Name]
	if p == nil {
		p = &targetPicker{}
		r.targetPickers[req.Route.Name] = p
	}
	return p
}

func (r *Router) dispatchersFor(services []grident.Service) []int32 {
	indexes := make([]int32, len(services))
	for i, name := range services {
		indexes[i] = r.dispatcherFor(name)
	}
	return indexes
}

// handlePart handles the end of the sub-request to one shard.
func (r *Router) handlePart(now grclock.Millis, q *query, done *grdispatch.Done, out *Output) {
	rs := q.route
	switch done.Kind {
	case grdispatch.Answered:
		q.started = true
		rs.parts = append(rs.parts, PartialResult{Service: rs.services[done.Key.Shard], Answer: done.Answer})
	case grdispatch.Unknown:
		q.started = true
		rs.failedShards++
	default:
		rs.failedShards++
		if done.Kind == grdispatch.Expired && r.saturatedSince(q.dispatchers[done.Key.Shard], q.startedAt) {
			rs.starvedShards++
		}
	}
	if done.Kind != grdispatch.Answered {
		rs.recordFailure(done)
	}
	if done.Kind != grdispatch.Answered && done.Answer != nil {
		rs.failure = done.Answer
	}
	if q.submitting {
		return
	}
	r.endRouteIfDue(now, q, out)
	r.hedgeStragglers(now, q, out)
}

// hedgeStragglers brings hedges forward for shards that lag behind most of the others.
// A query takes about the same time on every shard, so a straggler suggests that its
// searcher has paused.
func (r *Router) hedgeStragglers(now grclock.Millis, q *query, out *Output) {
	rs := q.route
	if rs.stragglersHedged || r.queries[q.id] != q {
		return
	}
	direct := 0
	for i := range q.settled {
		if !rs.delegated[i] {
			direct++
		}
	}
	rs.directEnded++
	if direct < minShardsToCompare || float64(rs.directEnded) < r.RoutePolicy.MajorityShare*float64(direct) {
		return
	}
	rs.stragglersHedged = true
	delay := grclock.Millis(r.RoutePolicy.StragglerRatio*float64(now-q.startedAt)) + r.RoutePolicy.StragglerMargin
	for i := range q.settled {
		if q.settled[i] || rs.delegated[i] {
			continue
		}
		dispatcher := q.dispatchers[i]
		r.dispatchers[dispatcher].LowerHedgeDelay(now, grdispatch.SubRequestKey{Query: q.id, Shard: int32(i)}, delay, &out.dispatcher)
		r.collect(now, dispatcher, out)
	}
}

// minShardsToCompare is the smallest number of directly requested shards among which
// stragglers are detected.
const minShardsToCompare = 4

// endRouteIfDue ends the request if waiting longer can't improve the answer: all
// shards have ended, the required share can no longer be reached, or it is in and the
// partial-result deadline has passed.
func (r *Router) endRouteIfDue(now grclock.Millis, q *query, out *Output) {
	rs := q.route
	if r.queries[q.id] != q {
		return
	}
	if rs.isGroup {
		r.endGroupIfDue(now, q, out)
		return
	}
	if now >= rs.partialDeadline && len(rs.parts) < rs.requiredParts() && q.pending > 0 && len(rs.groups) > 0 {
		r.bypassUnresponsive(now, q, out)
		r.requestRest(now, q, out)
	}
	needed := rs.requiredParts()
	switch {
	case q.pending == 0,
		len(rs.services)-rs.failedShards < needed,
		now >= rs.partialDeadline && len(rs.parts) >= needed && rs.route.FanOut:
		r.finish(now, q, out)
	}
}

// endGroupIfDue ends a group if all its shards have ended. At the partial-result
// deadline it returns the partial results that are in and keeps the group for
// restWindow.
func (r *Router) endGroupIfDue(now grclock.Millis, q *query, out *Output) {
	rs := q.route
	switch {
	case q.pending == 0:
		r.finish(now, q, out)
	case rs.restWanted > 0:
		if len(rs.parts)-rs.returned >= rs.restWanted {
			r.finish(now, q, out)
		}
	case rs.restUntil == 0 && now >= rs.partialDeadline:
		result := Result{ID: q.id, Outcome: Partial, PartialResults: rs.parts, ShardsRequested: len(rs.services), MoreExpected: true}
		result.MissingShards, result.Duration = r.missingShards(now, q), now-q.startedAt
		result.TypicalRemaining, result.WorkOff = r.typicalRemainingOf(rs.route.Name).LocalValue(), r.workOffTime(now, q)
		out.Results = append(out.Results, result)
		rs.returned = len(rs.parts)
		rs.restUntil = now + restWindow
		r.deadlines.Push(timer{rs.restUntil, q.id})
	case rs.restUntil > 0 && now >= rs.restUntil:
		r.finish(now, q, out)
	}
}

// setRouteOutcome sets the outcome of a request on a route and the fields of the
// result that depend on it.
func (r *Router) setRouteOutcome(now grclock.Millis, q *query, result *Result) {
	rs := q.route
	started := q.started || slices.ContainsFunc(rs.groups, func(g group) bool { return g.open })
	result.PartialResults, result.Failure, result.ShardsRequested = rs.parts, rs.failure, len(rs.services)
	switch {
	case rs.isGroup && (rs.route.FanOut || started || rs.failure != nil):
		result.Outcome, result.PartialResults = Partial, rs.parts[rs.returned:]
		result.TypicalRemaining, result.WorkOff = r.typicalRemainingOf(rs.route.Name).LocalValue(), r.workOffTime(now, q)
	case len(rs.parts) == len(rs.services):
		result.Outcome = Complete
	case len(rs.parts) >= rs.requiredParts():
		result.Outcome = Partial
	case started:
		result.Outcome, result.Code = Unknown, grerror.CoverageTooLow
		if !rs.route.FanOut {
			result.Code = grerror.Lost
		}
	default:
		result.Outcome, result.Code = NotRun, grerror.NoSearcher
		if rs.heldBack() {
			result.Code = grerror.RateLimited
		}
		result.RetryAfter = r.retryAfter(now, q)
		if rs.refused() {
			result.Code, result.RetryAfter = grerror.SearchersRefuse, r.retryAfterRefusal(now, q)
		}
	}
}
