package grrouter

import (
	"geraniumrouter/coordination/gradmission"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// latestRejection is the part of the latency objective after whose end a request is no longer
// rejected: its caller would have too little time left to return.
const latestRejection = 4

// loadSource is what fair shares are computed for: an organisation or, without one, a caller.
type loadSource struct {
	organisation grident.Organisation
	caller       grident.Caller
}

// source returns whom the request counts against.
func (req *RouteRequest) source() loadSource {
	if req.Organisation != nil {
		return loadSource{organisation: req.Organisation.Name}
	}
	return loadSource{caller: req.Caller}
}

// loadKey identifies the requests among which capacity is shared: those to one service, and
// those to all shards of one set, named by its first.
type loadKey struct {
	first  grident.Service
	fanOut bool
}

func (rs *routeState) loadKey() loadKey { return loadKey{rs.services[0], rs.route.FanOut} }

// earlyRejections holds the state of early rejection for each set of services.
type earlyRejections struct {
	byLoad  map[loadKey]*gradmission.EarlyRejection[loadSource]
	sources gradmission.SourceCount // held for all sets together
	reports map[int32]workOffReport // latest of owners of delegated shards, by dispatcher
	waits   []grclock.Millis        // reused by workOffTime
	idleAt  grclock.Millis          // when idle sources were dropped last
}

// workOffReport is what an owner reported about a delegated shard.
type workOffReport struct {
	at      grclock.Millis
	workOff grclock.Millis
}

// recordReport records the owner's report for the shards of a group.
func (l *earlyRejections) recordReport(now grclock.Millis, q *query, g *group, workOff grclock.Millis) {
	for _, shard := range g.shards {
		dispatcher := q.dispatchers[shard]
		if workOff == 0 {
			delete(l.reports, dispatcher)
			continue
		}
		if l.reports == nil {
			l.reports = make(map[int32]workOffReport)
		}
		l.reports[dispatcher] = workOffReport{now, workOff}
	}
}

// reported returns how long the owner of a delegated shard still needs by its latest report.
// What it reported is worked off as time passes, so an old report is no evidence.
func (l *earlyRejections) reported(now grclock.Millis, dispatcher int32) grclock.Millis {
	r := l.reports[dispatcher]
	return max(0, r.workOff-(now-r.at))
}

// reportedSince reports whether the owner of a delegated shard has reported a queue since then.
func (l *earlyRejections) reportedSince(dispatcher int32, start grclock.Millis) bool {
	r, ok := l.reports[dispatcher]
	return ok && r.at >= start
}

// dropIdleSources drops the idle sources of all sets of services, at most once in
// gradmission.SourceIdle, since all sets share one number of sources.
func (l *earlyRejections) dropIdleSources(now grclock.Millis) {
	if now-l.idleAt < gradmission.SourceIdle {
		return
	}
	l.idleAt = now
	for _, e := range l.byLoad {
		e.DropIdleSources(now)
	}
}

// of returns the state for the services of a request.
func (l *earlyRejections) of(rs *routeState) *gradmission.EarlyRejection[loadSource] {
	key := rs.loadKey()
	e := l.byLoad[key]
	if e == nil {
		if l.byLoad == nil {
			l.byLoad = make(map[loadKey]*gradmission.EarlyRejection[loadSource])
		}
		e = &gradmission.EarlyRejection[loadSource]{}
		e.CountSourcesIn(&l.sources)
		l.byLoad[key] = e
	}
	return e
}

// prune drops the state of services that are not in the table.
func (l *earlyRejections) prune(t *grroutes.Table) {
	inTable := make(map[loadKey]bool)
	for i := range t.Routes {
		for _, target := range t.Routes[i].Targets {
			if len(target.Services) > 0 {
				inTable[loadKey{target.Services[0], t.Routes[i].FanOut}] = true
			}
		}
	}
	for key := range l.byLoad {
		if !inTable[key] {
			l.byLoad[key].Release()
			delete(l.byLoad, key)
		}
	}
}

// rejectEarly decides whether a request is rejected because work waits that cannot be begun by
// its deadline. Groups are decided on by the instance that delegated them.
func (r *Router) rejectEarly(now grclock.Millis, q *query, req *RouteRequest) gradmission.Verdict {
	objective := q.route.route.LatencyObjective
	arrivedAt := q.startedAt - req.ElapsedSinceArrival
	if r.AdmitAll || len(q.dispatchers) == 0 || objective > 0 && now-arrivedAt > objective/latestRejection {
		return gradmission.Verdict{Admitted: true}
	}
	r.earlyRejections.dropIdleSources(now)
	return r.earlyRejections.of(q.route).Decide(now, gradmission.Arrival[loadSource]{
		Source: req.source(), Priority: q.route.priority, WorkOff: r.workOffTime(now, q),
		ObjectiveLeft: q.route.partialDeadline - now, DeadlineLeft: q.deadline - now,
		InFlight: float64(r.admission.InFlight()) / float64(max(r.RoutePolicy.MaxInFlight, 1)),
	})
}

// workOffTime estimates when as many services as the request requires have begun what waits
// for them and this instance has processed their answers; 0 if too few of them have a queue.
// What waits for delegated shards is known by the reports of their owners.
func (r *Router) workOffTime(now grclock.Millis, q *query) grclock.Millis {
	required := q.route.requiredParts()
	r.earlyRejections.waits = r.earlyRejections.waits[:0]
	for _, dispatcher := range q.dispatchers {
		wait := r.dispatchers[dispatcher].WorkOffTime(now)
		if !q.route.isGroup {
			wait = max(wait, r.earlyRejections.reported(now, dispatcher))
		}
		r.earlyRejections.waits = append(r.earlyRejections.waits, wait)
	}
	wait := nthSmallest(r.earlyRejections.waits, required)
	if wait == 0 {
		return 0
	}
	return wait + r.loopLag()
}

// recordEnd records the end of an admitted request for early rejection.
func (r *Router) recordEnd(now grclock.Millis, q *query) {
	if q.route != nil && !q.route.isGroup && len(q.route.services) > 0 {
		r.earlyRejections.of(q.route).RecordEnd(now, r.starved(now, q))
	}
}

// starved reports whether the request ends at its deadline without enough partial results, and
// the shards that waited for searchers at capacity from its start, or whose owner reported a
// queue for them, explain that alone. The last answers of owners come before the deadline.
func (r *Router) starved(now grclock.Millis, q *query) bool {
	rs := q.route
	if now < q.deadline-2*responseMargin || len(rs.parts) >= rs.requiredParts() || q.callerLeft {
		return false
	}
	starved := rs.starvedShards
	for i, dispatcher := range q.dispatchers {
		key := grdispatch.SubRequestKey{Query: q.id, Shard: int32(i)}
		switch {
		case q.settled[i]:
		case q.isDelegated(i) && r.earlyRejections.reportedSince(dispatcher, q.startedAt),
			r.dispatchers[dispatcher].Waits(key) && r.saturatedSince(dispatcher, q.startedAt):
			starved++
		}
	}
	return len(rs.parts)+starved >= rs.requiredParts()
}

// saturatedSince reports whether sub-requests have been waiting for the service's searchers at
// capacity ever since the given time.
func (r *Router) saturatedSince(dispatcher int32, start grclock.Millis) bool {
	since, ok := r.dispatchers[dispatcher].SaturatedSince()
	return ok && since <= start
}

// spreadRetryAfter returns a random retry-after time from wait to the longest that the caller
// observes, so that callers that were rejected together do not return together.
func (r *Router) spreadRetryAfter(wait, longest grclock.Millis) grclock.Millis {
	wait = max(wait, minRetryAfter)
	if longest <= wait {
		return wait
	}
	return wait + grclock.Millis(r.random.IntN(int(longest-wait)+1))
}
