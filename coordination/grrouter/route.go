package grrouter

import (
	"slices"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grtable"
)

// RouteAsk is a request that a route of the table names. The table it carries
// stays in force for it, whatever becomes known later.
type RouteAsk struct {
	Table    *grtable.Table
	Route    *grtable.Route
	Services []grid.Service     // the shards to ask, of one target; empty: the target that is due
	Deadline grclock.Millis     // of the caller
	Left     grclock.Millis     // until then, when the caller sent the request; 0: not known
	ReplyLag grclock.Millis     // that answers take of late from here to the caller's connection
	Elapsed  grclock.Millis     // of the time aimed at, before the request came here
	Group    bool               // the shards are a group that a peer delegated; what is in goes out at CutAt
	CutAt    grclock.Millis     // of a group
	Reserved []grid.SearcherTag // of a group: for each shard, the searcher that is left to the asker
}

// Part is what one shard answered.
type Part struct {
	Service grid.Service
	Answer  *granswer.Answer
}

// RoutePolicy holds the terms of requests on routes.
type RoutePolicy struct {
	Hedge       float64        // age of an attempt at a second copy ÷ objective
	HedgeLeast  grclock.Millis // least age of an attempt at a second copy
	SingleHedge float64        // in place of Hedge for requests to one searcher
	MostShare   float64        // of the shards, after whose answers the others are late
	LateRatio   float64        // age of an attempt that is late ÷ time of those answers
	LateLeast   grclock.Millis // on top of that
	Cut         float64        // time at which an answer with the required share goes out ÷ objective
	CutMargin   grclock.Millis // taken off that time, for the way to the caller
	MaxInFlight int            // requests of an instance
}

// DefaultRoutePolicy returns the terms used where none are set.
func DefaultRoutePolicy() RoutePolicy {
	return RoutePolicy{
		Hedge:       0.3,
		HedgeLeast:  5 * grclock.Millisecond,
		SingleHedge: 0.4,
		MostShare:   0.75,
		LateRatio:   1.25,
		LateLeast:   2 * grclock.Millisecond,
		Cut:         0.95,
		CutMargin:   10 * grclock.Millisecond,
		MaxInFlight: 512,
	}
}

// routed is the part of a query's state that only requests on routes have.
type routed struct {
	route    *grtable.Route
	services []grid.Service
	parts    []Part
	failure  *granswer.Answer
	cutAt    grclock.Millis
	left     grclock.Millis // of the caller's time, when it sent the request
	spent    grclock.Millis // of the time aimed at, before the request was sent
	failed   int            // shards that ended without a part
	failures []failure      // some of them

	straight int  // answers of shards that are asked from here
	hastened bool // second copies for the others were sent earlier

	groups []group // shards that peers ask
	away   []bool  // shards that are not asked from here
	passed bool    // silent peers were passed by

	graceUntil grclock.Millis // until then peers are not silent, since this instance was late; 0: it was not

	partial   bool               // this is a group of another instance
	reserved  []grid.SearcherTag // for each shard, the searcher that is left to that instance
	told      int                // parts that were handed out already
	want      int                // parts that were asked for of the rest
	holdUntil grclock.Millis     // end of the time in which the rest can be asked for; 0 before
}

// isAway reports whether a peer asks the shard.
func (q *query) isAway(shard int) bool { return q.routed != nil && q.routed.away[shard] }

// needed is the number of parts that an answer must have.
func (d *routed) needed() int {
	if !d.route.AllShards {
		return 1
	}
	total := len(d.services)
	for n := 1; n < total; n++ {
		if float64(n)/float64(total) >= d.route.MinShare {
			return n
		}
	}
	return total
}

// StartRoute starts a request on a route. Its end is among the results of this
// call or of a later one.
func (r *Router) StartRoute(now grclock.Millis, ask RouteAsk, out *Out) grid.QueryID {
	r.Counters.Queries++
	q := r.newQuery()
	q.startedAt = now
	q.deadline = min(ask.Deadline, now+ask.Route.Timeout) - r.Margin
	q.once = !ask.Route.Idempotent
	q.generation = grid.Generation(ask.Table.Version)
	q.routed = r.plan(now, &ask)
	q.leaves = r.leavesOf(q.routed.services)
	if code := r.admitRoute(now, q); code != "" {
		r.refuseRoute(q, code, out)
		return q.id
	}
	q.settled = resized(q.settled, len(q.leaves))
	q.open = len(q.leaves)
	if ask.Group {
		q.routed.away = resized(q.routed.away, len(q.leaves))
	} else {
		r.delegate(now, q)
	}
	if q.routed.cutAt < q.deadline {
		r.deadlines.Push(timer{q.routed.cutAt, q.id})
	}
	if len(q.routed.groups) > 0 {
		r.deadlines.Push(timer{q.routed.cutAt + peerGrace, q.id})
	}
	r.sendGroups(now, q, out)
	r.submit(now, q, out)
	return q.id
}

// AskRest keeps a group going after its first result, until so many more parts
// are in or nothing more can come. It reports false when the group has ended.
func (r *Router) AskRest(now grclock.Millis, id grid.QueryID, want int, out *Out) bool {
	q := r.queries[id]
	if q == nil || q.routed == nil || q.routed.holdUntil == 0 {
		return false
	}
	q.routed.want = max(want, 1)
	for i, leaf := range q.leaves {
		r.leaves[leaf].Resume(now, grleaf.SubKey{Query: q.id, Shard: int32(i)}, &out.leaf)
		r.settle(now, leaf, out)
	}
	r.endRouteIfDue(now, q, out)
	return true
}

// plan chooses the services that are asked and the time of an answer in part.
func (r *Router) plan(now grclock.Millis, ask *RouteAsk) *routed {
	d := &routed{route: ask.Route, services: ask.Services}
	if len(d.services) == 0 {
		d.services = ask.Route.Targets[r.splitOf(ask).next(ask.Route.Targets)].Services
	}
	d.partial, d.reserved = ask.Group, ask.Reserved
	usual := r.usualOf(ask.Route.Name)
	if ask.Left > 0 {
		usual.Add(ask.Left)
	}
	d.left = ask.Left
	if ask.Group {
		d.cutAt = ask.CutAt - r.ownLag()
		return d
	}
	p := &r.RoutePolicy
	d.spent = spentBefore(ask, usual)
	d.cutAt = now - ask.Elapsed - d.spent + grclock.Millis(p.Cut*float64(ask.Route.Objective)) - p.CutMargin - r.ownLag() - ask.ReplyLag
	return d
}

// splitOf returns the split of a route of the newest table. Requests that keep
// an older table share it.
func (r *Router) splitOf(ask *RouteAsk) *split {
	if ask.Table.Version > r.splitVersion {
		r.splitVersion = ask.Table.Version
		clear(r.splits)
		r.dropUsuals(ask.Table)
	}
	s := r.splits[ask.Route.Name]
	if s == nil {
		s = &split{}
		r.splits[ask.Route.Name] = s
	}
	return s
}

func (r *Router) leavesOf(services []grid.Service) []int32 {
	leaves := make([]int32, len(services))
	for i, name := range services {
		leaves[i] = r.leafFor(name)
	}
	return leaves
}

// admitRoute refuses what would not be answered in time. For an answer from
// many shards the slowest may be left out, so that only the number in flight
// counts.
func (r *Router) admitRoute(now grclock.Millis, q *query) grfault.Code {
	if q.routed.partial && now >= q.routed.cutAt {
		return grfault.DeadlineTooShort // The asker has gone past this instance by now.
	}
	wait := grclock.Millis(0)
	if len(q.leaves) == 1 {
		wait = r.leaves[q.leaves[0]].ExpectedWait()
	}
	r.gate.MaxInFlight = r.RoutePolicy.MaxInFlight
	return r.gate.Admit(now, q.name, 1, wait, q.deadline-now)
}

func (r *Router) refuseRoute(q *query, code grfault.Code, out *Out) {
	r.Counters.NotRun++
	r.Counters.Refused++
	result := Result{ID: q.id, Outcome: NotRun, Code: code, Generation: q.generation, Asked: len(q.leaves)}
	result.RetryAfter = r.retryAfter(q)
	out.Results = append(out.Results, result)
	r.free = append(r.free, q)
}

// retryAfter estimates when the services of a refused request have room again.
func (r *Router) retryAfter(q *query) grclock.Millis {
	wait := leastRetry
	for _, leaf := range q.leaves {
		wait = max(wait, r.leaves[leaf].ExpectedWait())
	}
	return wait
}

// leastRetry is the shortest time after which a refused caller is asked to come
// back: about as long as a searcher rests after it turned work away.
const leastRetry = 50 * grclock.Millisecond

// partDone takes the end of the sub-request to one shard.
func (r *Router) partDone(now grclock.Millis, q *query, done *grleaf.Done, out *Out) {
	d := q.routed
	switch done.Kind {
	case grleaf.Answered:
		q.started = true
		d.parts = append(d.parts, Part{Service: d.services[done.Key.Shard], Answer: done.Answer})
	case grleaf.Unknown:
		q.started = true
		d.failed++
	default:
		d.failed++
	}
	if done.Kind != grleaf.Answered {
		d.noteFailure(done)
	}
	if done.Kind != grleaf.Answered && done.Answer != nil {
		d.failure = done.Answer
	}
	if q.submitting {
		return
	}
	r.endRouteIfDue(now, q, out)
	r.hastenOthers(now, q, out)
}

// hastenOthers sends second copies earlier to the shards that lag behind most
// others: the same query takes about the same time at all of them, unless a
// searcher has stopped for a moment.
func (r *Router) hastenOthers(now grclock.Millis, q *query, out *Out) {
	d := q.routed
	if d.hastened || r.queries[q.id] != q {
		return
	}
	asked := 0
	for i := range q.settled {
		if !d.away[i] {
			asked++
		}
	}
	d.straight++
	if asked < leastCompared || float64(d.straight) < r.RoutePolicy.MostShare*float64(asked) {
		return
	}
	d.hastened = true
	age := grclock.Millis(r.RoutePolicy.LateRatio*float64(now-q.startedAt)) + r.RoutePolicy.LateLeast
	for i := range q.settled {
		if q.settled[i] || d.away[i] {
			continue
		}
		leaf := q.leaves[i]
		r.leaves[leaf].Hasten(now, grleaf.SubKey{Query: q.id, Shard: int32(i)}, age, &out.leaf)
		r.settle(now, leaf, out)
	}
}

// leastCompared is the number of shards that must be asked before some can be
// said to lag behind the others.
const leastCompared = 4

// endRouteIfDue ends the request when nothing more can be gained: every shard
// has ended, the required share can't be reached any more, or it is in and the
// time for an answer in part has come.
func (r *Router) endRouteIfDue(now grclock.Millis, q *query, out *Out) {
	d := q.routed
	if r.queries[q.id] != q {
		return
	}
	if d.partial {
		r.endGroupIfDue(now, q, out)
		return
	}
	if now >= d.cutAt && len(d.parts) < d.needed() && q.open > 0 && len(d.groups) > 0 {
		r.passSilent(now, q, out)
		r.askRest(now, q, out)
	}
	needed := d.needed()
	switch {
	case q.open == 0,
		len(d.services)-d.failed < needed,
		now >= d.cutAt && len(d.parts) >= needed && d.route.AllShards:
		r.finish(now, q, out)
	}
}

// endGroupIfDue ends a group when every shard has ended, or says what is in
// when its time has come.
func (r *Router) endGroupIfDue(now grclock.Millis, q *query, out *Out) {
	d := q.routed
	switch {
	case q.open == 0:
		r.finish(now, q, out)
	case d.want > 0:
		if len(d.parts)-d.told >= d.want {
			r.finish(now, q, out)
		}
	case d.holdUntil == 0 && now >= d.cutAt:
		result := Result{ID: q.id, Outcome: Partial, Parts: d.parts, Asked: len(d.services), More: true}
		result.Absent, result.Took = r.absences(now, q), now-q.startedAt
		result.Usual = r.usualOf(d.route.Name).Own()
		out.Results = append(out.Results, result)
		d.told = len(d.parts)
		d.holdUntil = now + restWait
		r.deadlines.Push(timer{d.holdUntil, q.id})
	case d.holdUntil > 0 && now >= d.holdUntil:
		r.finish(now, q, out)
	}
}

// judgeRoute decides on the outcome of a request on a route.
func (r *Router) judgeRoute(q *query, result *Result) {
	d := q.routed
	started := q.started || slices.ContainsFunc(d.groups, func(g group) bool { return g.open })
	result.Parts, result.Failure, result.Asked = d.parts, d.failure, len(d.services)
	switch {
	case d.partial:
		result.Outcome, result.Parts = Partial, d.parts[d.told:]
		result.Usual = r.usualOf(d.route.Name).Own()
	case len(d.parts) == len(d.services):
		result.Outcome = Complete
	case len(d.parts) >= d.needed():
		result.Outcome = Partial
	case started:
		result.Outcome, result.Code = Unknown, grfault.CoverageTooLow
		if !d.route.AllShards {
			result.Code = grfault.Lost
		}
	default:
		result.Outcome, result.Code = NotRun, grfault.NoSearcher
		result.RetryAfter = r.retryAfter(q)
	}
}
