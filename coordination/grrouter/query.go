package grrouter

import (
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

// query is the state of one query or request. Ended ones are reused.
type query struct {
	id             grident.QueryID
	collection     *collection
	collectionName grident.Collection
	pinned         *grsnapshot.ShardMap
	dispatchers    []int32 // for each shard, the index of its dispatcher
	first          int32   // index in pinned.Shards of the first shard requested
	shards         []grsnapshot.Shard
	coverage       grsnapshot.Coverage
	parts          [][]grsnapshot.Record // records merged so far, by shard
	settled        []bool                // for each shard, whether it has ended
	pending        int                   // shards that have not ended
	started        bool                  // some searcher may have executed a part of it
	snapshotGone   bool                  // a searcher reported that it no longer holds the pinned snapshot
	atMostOnce     bool
	callerLeft     bool // its caller has disconnected
	submitting     bool // its sub-requests are being submitted; the query ends only afterwards
	reruns         int
	startedAt      grclock.Millis
	deadline       grclock.Millis
	policy         grpreset.CollectionPolicy
	generation     grident.Generation
	quotaAccount   *quotaAccount    // that the unit is of; nil: the request needs none
	unit           grratelimit.Unit // of the quota
	quota          QuotaUse
	route          *routeState // of requests on routes; nil for queries of collections
}

// maxReruns limits how often a query is restarted on a newer snapshot.
const maxReruns = 2

// StartQuery plans the query and submits its sub-requests. The result is appended to
// out by this call or a later one.
func (r *Router) StartQuery(now grclock.Millis, req Query, out *Output) grident.QueryID {
	r.Counters.Queries++
	q, code := r.prepare(now, req.Collection, req.Deadline)
	if code == "" {
		code = r.admit(now, q)
	}
	if code != "" {
		r.refuse(q, code, out)
		return q.id
	}
	r.pin(q, 0, len(q.collection.current.Shards))
	r.submit(now, q, out)
	return q.id
}

// StartRequest starts a request whose claim is held. It is executed at most once.
func (r *Router) StartRequest(now grclock.Millis, req Request, out *Output) grident.QueryID {
	q, code := r.prepare(now, req.Collection, req.Deadline)
	shard := -1
	if code == "" {
		if shard = q.collection.current.Find(req.Key); shard < 0 {
			code = grerror.BadKey
		}
	}
	if code == "" {
		code = r.admit(now, q)
	}
	if code != "" {
		r.refuse(q, code, out)
		return q.id
	}
	q.atMostOnce = true
	r.pin(q, shard, shard+1)
	r.submit(now, q, out)
	return q.id
}

// SubRequestTarget returns the key range and the snapshot that a sub-request must be
// sent with.
func (r *Router) SubRequestTarget(key grdispatch.SubRequestKey) (shard grsnapshot.Range, snapshot grsnapshot.Snapshot, ok bool) {
	q := r.queries[key.Query]
	if q == nil || int(key.Shard) >= len(q.shards) {
		return shard, snapshot, false
	}
	return q.shards[key.Shard].Range, q.pinned.Snapshot, true
}

func (r *Router) prepare(now grclock.Millis, name grident.Collection, deadline grclock.Millis) (*query, grerror.Code) {
	q := r.newQuery()
	q.collectionName = name
	q.startedAt = now
	active, ok := r.presets.Active()
	if !ok {
		return q, grerror.NotReady
	}
	q.collection = r.collections[name]
	if q.collection == nil {
		return q, grerror.UnknownCollection
	}
	q.policy = active.Preset.PolicyFor(name)
	q.generation = active.Generation
	q.deadline = r.limitedDeadline(min(deadline, now+q.policy.Deadline) - r.DeadlineMargin)
	return q, ""
}

func (r *Router) newQuery() *query {
	r.nextID++
	if n := len(r.freeQueries); n > 0 {
		q := r.freeQueries[n-1]
		r.freeQueries = r.freeQueries[:n-1]
		*q = query{id: r.nextID, coverage: q.coverage, parts: q.parts, settled: q.settled}
		return q
	}
	return &query{id: r.nextID}
}

// admit applies admission control, with the longest expected wait of the services
// involved.
func (r *Router) admit(now grclock.Millis, q *query) grerror.Code {
	wait := grclock.Millis(0)
	for _, dispatcher := range q.collection.dispatchers {
		wait = max(wait, r.dispatchers[dispatcher].ExpectedWait(now))
	}
	return r.admission.Admit(now, q.collectionName, q.policy.Weight, wait, q.deadline-now)
}

// refuse ends a query before any of its sub-requests was submitted.
func (r *Router) refuse(q *query, code grerror.Code, out *Output) {
	r.Counters.NotRun++
	r.Counters.Rejected++
	out.Results = append(out.Results, Result{ID: q.id, Outcome: NotRun, Code: code, Generation: q.generation})
	r.freeQueries = append(r.freeQueries, q)
}

// pin fixes the snapshot and the shards for the query.
func (r *Router) pin(q *query, from, to int) {
	q.pinned = q.collection.current
	q.dispatchers = q.collection.dispatchers[from:to]
	q.first = int32(from)
	q.shards = q.pinned.Shards[from:to]
	q.coverage.Reset(q.shards)
	q.parts = resizedCleared(q.parts, len(q.shards))
	q.settled = resizedCleared(q.settled, len(q.shards))
	q.pending = len(q.shards)
	q.snapshotGone = false
}

func resizedCleared[T any](list []T, n int) []T {
	if cap(list) < n {
		return make([]T, n)
	}
	list = list[:n]
	clear(list)
	return list
}

func (r *Router) submit(now grclock.Millis, q *query, out *Output) {
	r.queries[q.id] = q
	r.deadlines.Push(timer{q.deadline, q.id})
	r.submitShards(now, q, out)
}

func (r *Router) submitShards(now grclock.Millis, q *query, out *Output) {
	q.submitting = true
	run := q.reruns
	for i := range q.settled {
		if q.settled[i] || q.isDelegated(i) {
			continue
		}
		dispatcher := q.dispatchers[i]
		key := grdispatch.SubRequestKey{Query: q.id, Shard: int32(i)}
		r.dispatchers[dispatcher].Submit(now, r.subRequest(q, key), &out.dispatcher)
		r.collect(now, dispatcher, out)
		if q.reruns != run {
			return
		}
	}
	q.submitting = false
	if q.route != nil {
		r.endRouteIfDue(now, q, out)
		return
	}
	r.endIfSettled(now, q, out)
}

// subRequest builds the sub-request of a query for one shard.
func (r *Router) subRequest(q *query, key grdispatch.SubRequestKey) grdispatch.SubRequest {
	s := grdispatch.SubRequest{Key: key, Deadline: q.deadline, NonIdempotent: q.atMostOnce}
	if q.route != nil {
		route := q.route.route
		s.Correlation = q.route.correlation
		s.Priority, s.MaxAttempts, s.LatencyObjective = q.route.priority, route.MaxAttempts, q.route.partialDeadline
		ratio := r.RoutePolicy.HedgeRatio
		if !route.FanOut {
			ratio = r.RoutePolicy.SingleHedgeRatio
		}
		if q.route.isGroup {
			s.Credit, s.HoldFrom = grdispatch.CreditPartial, q.route.partialDeadline
			s.ReservedSearcher = q.route.reservedSearcher(key.Shard)
			if q.route.onlyReserved {
				s.OnlySearcher, s.Credit, s.MaxAttempts = s.ReservedSearcher, grdispatch.CreditNone, max(s.MaxAttempts-1, 1)
			}
		}
		remaining := max(route.LatencyObjective-q.route.elapsedBeforeArrival, route.LatencyObjective/2) // A late request does not justify spending budget on ever earlier hedges.
		if q.route.partialDeadline > q.startedAt {
			s.UsefulUntil = q.route.partialDeadline
		}
		s.HedgeDelay = max(r.RoutePolicy.HedgeMin, grclock.Millis(ratio*float64(remaining)))
	}
	return s
}

// handleDone merges the end of a sub-request into its query.
func (r *Router) handleDone(now grclock.Millis, q *query, done *grdispatch.Done, out *Output) {
	shard := int(done.Key.Shard)
	if shard >= len(q.settled) || q.settled[shard] {
		return
	}
	q.settled[shard] = true
	q.pending--
	if q.route != nil {
		r.handlePart(now, q, done, out)
		return
	}
	switch done.Kind {
	case grdispatch.Answered:
		q.started = true
		r.merge(q, shard, done.Records)
	case grdispatch.SnapshotGone:
		q.started = q.started || !q.atMostOnce // A searcher without the snapshot does not execute the request.
		q.snapshotGone = true
	case grdispatch.Unknown:
		q.started = true
	}
	if q.snapshotGone && r.rerun(now, q, out) {
		return
	}
	if !q.submitting {
		r.endIfSettled(now, q, out)
	}
}

// merge adds the records of a shard, unless they lie outside of its key range.
func (r *Router) merge(q *query, shard int, records []grsnapshot.Record) {
	if !q.atMostOnce && !grsnapshot.ValidRecords(q.shards[shard].Range, records) {
		r.Counters.MalformedAnswers++
		return
	}
	if q.coverage.MarkMerged(shard) {
		q.parts[shard] = records
	}
}

// rerun restarts the query on a newer snapshot, if there is one and at least as much
// time remains as the query has taken so far. It drops the records merged so far: an
// answer never mixes two snapshots.
func (r *Router) rerun(now grclock.Millis, q *query, out *Output) bool {
	newer := q.collection.current
	if q.atMostOnce || q.reruns >= maxReruns || !newer.Snapshot.NewerThan(q.pinned.Snapshot) {
		return false
	}
	if now-q.startedAt > q.deadline-now {
		return false
	}
	r.abandonPending(now, q, out)
	q.reruns++
	r.Counters.Reruns++
	r.pin(q, 0, len(newer.Shards))
	r.submitShards(now, q, out)
	return true
}

func (r *Router) abandonPending(now grclock.Millis, q *query, out *Output) {
	for i := range q.settled {
		if q.settled[i] {
			continue
		}
		q.settled[i] = true
		dispatcher := q.dispatchers[i]
		key := grdispatch.SubRequestKey{Query: q.id, Shard: int32(i)}
		if r.dispatchers[dispatcher].Abandon(now, key, &out.dispatcher) {
			q.started = true
		}
		r.collect(now, dispatcher, out)
	}
}

func (r *Router) endIfSettled(now grclock.Millis, q *query, out *Output) {
	if q.pending == 0 && r.queries[q.id] == q {
		r.finish(now, q, out)
	}
}

// finish ends the query with the results merged so far.
func (r *Router) finish(now grclock.Millis, q *query, out *Output) {
	delete(r.queries, q.id)
	result := Result{ID: q.id, Generation: q.generation, EndedAt: now}
	if q.route != nil {
		result.MissingShards, result.Duration, result.ElapsedBeforeArrival = r.missingShards(now, q), now-q.startedAt, q.route.elapsedBeforeArrival
	}
	r.recordEnd(now, q)
	r.abandonPending(now, q, out)
	if q.route != nil {
		r.setRouteOutcome(now, q, &result)
		r.releaseGroups(q, out)
	} else {
		result.Coverage, result.Snapshot = q.coverage.Fraction(), q.pinned.Snapshot
		r.setOutcome(q, &result)
	}
	if q.callerLeft && (result.Outcome == NotRun || result.Outcome == Unknown && !q.atMostOnce) {
		result.Code = grerror.CallerLeft
	}
	if result.Quota = q.quota; result.Outcome == NotRun {
		q.returnUnit(now)
	}
	r.countOutcome(result.Outcome)
	r.admission.Release(q.collectionName)
	out.Results = append(out.Results, result)
	r.freeQueries = append(r.freeQueries, q)
}

// setOutcome sets the outcome of the result and the fields that depend on it.
func (r *Router) setOutcome(q *query, result *Result) {
	complete := q.coverage.Complete()
	enough := q.policy.AllowPartial && result.Coverage > 0 && result.Coverage >= q.policy.MinCoverage
	switch {
	case complete:
		result.Outcome = Complete
	case enough && !q.atMostOnce:
		result.Outcome = Partial
	case !q.started:
		result.Outcome, result.Code = NotRun, grerror.NoSearcher
	case q.atMostOnce:
		result.Outcome, result.Code = Unknown, grerror.Lost
	default:
		result.Outcome, result.Code = Unknown, grerror.CoverageTooLow
	}
	if !complete {
		result.Missing = q.coverage.Missing()
	}
	if !r.OmitRecords && (result.Outcome == Complete || result.Outcome == Partial) {
		result.Records = concatRecords(q.parts)
	}
}

// concatRecords concatenates the records of the shards. The shards are ordered by key,
// so the records are too.
func concatRecords(parts [][]grsnapshot.Record) []grsnapshot.Record {
	total := 0
	for _, p := range parts {
		total += len(p)
	}
	all := make([]grsnapshot.Record, 0, total)
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

func (r *Router) countOutcome(o Outcome) {
	switch o {
	case Complete:
		r.Counters.Complete++
	case Partial:
		r.Counters.Partial++
	case NotRun:
		r.Counters.NotRun++
	case Unknown:
		r.Counters.Unknown++
	}
}
