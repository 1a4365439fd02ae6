// Package grrouter implements scatter-gather queries over many shards: it plans a
// query on one snapshot, passes the sub-requests to the dispatchers of the services,
// merges the answers and reports the coverage.
//
// A Router is a pure state machine: each method takes the time and an event and
// appends actions and results to an Output. The same code runs in the daemon and, on
// virtual time, in tests and benchmarks.
//
//	router := &grrouter.Router{Seed: 1}
//	router.Init()
//	router.SetShardMap(shardMap)
//	router.SetService(now, "dispatch-01", searchers, &out)
//	id := router.StartQuery(now, grrouter.Query{Collection: "dispatch", Deadline: now + 200}, &out)
package grrouter

import (
	"geraniumrouter/coordination/gradmission"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grheap"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/state/grsnapshot"
)

// Outcome is how a query or request ended.
type Outcome uint8

// The outcomes. NotRun is used only where it is certain that no searcher started the
// request.
const (
	Complete Outcome = iota // all shards answered
	Partial                 // answered, with the missing ranges listed
	NotRun                  // no searcher started it
	Unknown                 // a searcher may have executed it; there is no answer
)

// String returns the name of the outcome as it appears in responses.
func (o Outcome) String() string {
	return [...]string{"done", "partial", "not_run", "unknown"}[o]
}

// Query requests the records of a whole collection.
type Query struct {
	Collection grident.Collection
	Deadline   grclock.Millis
}

// Request is an operation on one service that is not idempotent and is executed at
// most once. Its claim must be held before it is started; see package grclaim.
type Request struct {
	Collection grident.Collection
	Key        grsnapshot.Key
	Deadline   grclock.Millis
}

// Result is the result of a query or request.
type Result struct {
	ID         grident.QueryID
	Outcome    Outcome
	Code       grerror.Code // why it is not Complete; "" for Partial
	Coverage   float64
	Missing    []grsnapshot.Range
	Snapshot   grsnapshot.Snapshot
	Generation grident.Generation
	Records    []grsnapshot.Record

	PartialResults       []PartialResult  // of requests on routes: the partial results
	Failure              *granswer.Answer // of requests on routes: the last failure that a searcher answered with, or nil
	ShardsRequested      int              // of requests on routes: the shards of a complete answer
	MissingShards        []MissingShard   // of requests on routes: some of the shards without a partial result, for logs
	Duration             grclock.Millis
	ElapsedBeforeArrival grclock.Millis // estimated part of the latency objective that passed before the caller sent the request
	TypicalRemaining     grclock.Millis // of a group: typical remaining time for callers of the route, as observed by this instance; 0: not known
	EndedAt              grclock.Millis
	WorkOff              grclock.Millis // of a group, or of a request rejected for it: time until the searchers begin what waits for its shards; 0: no queue
	RetryAfter           grclock.Millis // with NotRun: how long to wait before a retry
	Quota                QuotaUse       // of requests on routes
	MoreExpected         bool           // of a group: the rest can be requested, and another result follows
}

// Output collects the output of a call. Callers reuse it to avoid allocations.
type Output struct {
	Actions           []grdispatch.Action
	Results           []Result
	Delegations       []Delegation
	RateLimitChanges  []grdispatch.RateLimitChange
	RateLimitRequests []RateLimitRequest
	ColdChanges       []grdispatch.ColdChange
	Resends           []grdispatch.Resend
	Departures        []grdispatch.Departure
	dispatcher        grdispatch.Output
}

// Reset empties the lists and keeps their memory.
func (o *Output) Reset() {
	o.Actions, o.Results, o.Delegations = o.Actions[:0], o.Results[:0], o.Delegations[:0]
	o.RateLimitChanges, o.RateLimitRequests, o.Resends = o.RateLimitChanges[:0], o.RateLimitRequests[:0], o.Resends[:0]
	o.Departures = o.Departures[:0]
	o.ColdChanges = o.ColdChanges[:0]
}

// Router runs the queries of one instance. Set the exported fields before Init.
type Router struct {
	Policy         grdispatch.Policy // default: grdispatch.DefaultPolicy
	DeadlineMargin grclock.Millis    // subtracted from deadlines, to leave time for sending the answer; default: defaultMargin
	Seed           uint64
	OmitRecords    bool // omit records from results, for benchmarks of the decisions
	NoDelegation   bool // send all sub-requests from this instance and delegate none, for comparisons
	AdmitAll       bool // reject no request on a route for queues or shares, for comparisons
	Counters       Counters

	RoutePolicy        RoutePolicy // default: DefaultRoutePolicy
	Self               grident.InstanceID
	Domain             grident.FailureDomain // of this instance
	Capacity           grident.Millicores    // of this instance
	PartProcessingTime float64               // milliseconds that this instance takes to process one partial result; 0: negligible
	// ExtraLimit limits the extra sub-requests (hedges and retries) to each service over all
	// instances. It replaces the budgets of this instance; the zero value keeps those.
	ExtraLimit grstat.GlobalLimit
	// View is the lease on the searchers that SetService gave; nil: it never ends.
	View *grdispatch.ViewLease
	// QuotaBound bounds the requests of an organisation with a quota over all instances.
	QuotaBound grratelimit.QuotaBound
	// ColdBound bounds the requests to a cold searcher over all instances.
	ColdBound grratelimit.QuotaBound

	collections       map[grident.Collection]*collection
	dispatcherIndexes map[grident.Service]int32
	dispatchers       []*grdispatch.Dispatcher
	serviceNames      []grident.Service
	queries           map[grident.QueryID]*query
	endBy             grclock.Millis // time by which every request ends; 0: no limit
	freeQueries       []*query
	deadlines         grheap.Heap[timer]
	dispatcherWakes   grheap.Heap[dispatcherWake]
	nextWakes         []grclock.Millis // earliest wake-up scheduled for each dispatcher
	admission         gradmission.Controller
	hedges            grstat.TokenBucket // shared by all dispatchers
	retries           grstat.TokenBucket // shared by all dispatchers
	presets           grpreset.ActiveRegister
	nextID            grident.QueryID

	targetPickers    map[string]*targetPicker        // by route of the newest table
	typicalRemaining map[string]*grstat.RecurringMax // remaining times of callers, by route
	earlyRejections  earlyRejections
	tableVersion     grroutes.Version
	budgets          []*grstat.TokenBucket // of the services in the order of dispatchers, if ExtraLimit is set
	recentMembers    grstat.RecentMax
	recentOwners     grstat.RecentMax
	memberShare      float64 // 1 ÷ number of recent members, for the part of ExtraLimit that all instances share
	ownerShare       float64 // 1 ÷ number of recent owners of a shard, for the part that its owners share
	peers            []peerState
	connDivision
	ownerCache
	shardBlocks    map[grident.Service]int  // block of each shard of the newest table
	singleServices map[grident.Service]bool // services of the newest table that are not shards
	random         grident.Random
	timerLag       grstat.EWMA // mean delay of recent timers, in milliseconds

	membership       Membership
	membersChanged   bool           // since membersChangedAt was set; also when shards changed their block
	membersChangedAt grclock.Millis // last change of the instances that can allocate rate limits
	allocators       map[allocatorKey]*allocator
	quotas           quotaState
	cold             coldState
	rateLimitAsks    []grdispatch.RateLimitAsk // not sent yet

	firstConnAt       grclock.Millis // when the first connection was opened
	firstConnsAwaited bool           // ReadyForQueries has been true
}

type timer struct {
	at grclock.Millis
	id grident.QueryID
}

type dispatcherWake struct {
	at         grclock.Millis
	dispatcher int32
}

type collection struct {
	current     *grsnapshot.ShardMap
	dispatchers []int32 // dispatcher of each shard of current
}

// defaultMargin is the default of Router.DeadlineMargin.
const defaultMargin = 4 * grclock.Millisecond

// Init prepares the router; it must be called once, before any other method.
func (r *Router) Init() {
	if r.Policy == (grdispatch.Policy{}) {
		r.Policy = grdispatch.DefaultPolicy()
	}
	if r.DeadlineMargin == 0 {
		r.DeadlineMargin = defaultMargin
	}
	if r.RoutePolicy == (RoutePolicy{}) {
		r.RoutePolicy = DefaultRoutePolicy()
	}
	r.targetPickers = make(map[string]*targetPicker)
	r.typicalRemaining = make(map[string]*grstat.RecurringMax)
	r.random.State = grident.Mix(r.Seed)
	r.setBudgets()
	r.hedges.Fill()
	r.retries.Fill()
	r.collections = make(map[grident.Collection]*collection)
	r.dispatcherIndexes = make(map[grident.Service]int32)
	r.queries = make(map[grident.QueryID]*query)
	r.allocators = make(map[allocatorKey]*allocator)
	r.quotas.init()
	r.membersChanged = true
	r.deadlines.Less = func(a, b timer) bool { return a.at < b.at }
	r.dispatcherWakes.Less = func(a, b dispatcherWake) bool { return a.at < b.at }
}

// SetService replaces the list of searchers of a service.
func (r *Router) SetService(now grclock.Millis, name grident.Service, list []grdispatch.Searcher, out *Output) {
	dispatcher := r.dispatcherFor(name)
	if r.shardBlocks != nil {
		r.dispatchers[dispatcher].SetWarmConns(now, r.warmConnsFor(now, name), &out.dispatcher)
	}
	r.setListed(now, dispatcher, list, out)
	divided, holders := r.divideConns(now, name, list)
	r.holders[dispatcher] = holders
	r.dispatchers[dispatcher].SetSearchers(now, divided, &out.dispatcher)
	r.collect(now, dispatcher, out)
}

// Dispatcher returns the dispatcher with the index that actions carry.
func (r *Router) Dispatcher(index int32) *grdispatch.Dispatcher { return r.dispatchers[index] }

// ServiceName returns the name of the service with the index that actions carry.
func (r *Router) ServiceName(index int32) grident.Service { return r.serviceNames[index] }

// ServiceCount returns the number of services that have a dispatcher.
func (r *Router) ServiceCount() int { return len(r.dispatchers) }

// InFlight returns the number of queries that have not ended.
func (r *Router) InFlight() int { return len(r.queries) }

// WithinConnLimits reports whether this instance holds no more connections to any
// searcher than its share of the searcher's limit.
func (r *Router) WithinConnLimits() bool {
	for _, dispatcher := range r.dispatchers {
		if !dispatcher.WithinConnLimits() {
			return false
		}
	}
	return true
}

// HasConn reports whether a connection to at least one searcher is open.
func (r *Router) HasConn() bool {
	for _, dispatcher := range r.dispatchers {
		if dispatcher.HasConn() {
			return true
		}
	}
	return false
}

// HandleReply handles the end of an attempt at a service.
func (r *Router) HandleReply(now grclock.Millis, dispatcher int32, reply grdispatch.Reply, out *Output) {
	r.dispatchers[dispatcher].HandleReply(now, reply, &out.dispatcher)
	r.collect(now, dispatcher, out)
}

// ConnOpened handles the success of an OpenConn action.
func (r *Router) ConnOpened(now grclock.Millis, dispatcher, searcher int32, conn grdispatch.ConnID, out *Output) {
	if r.firstConnAt == 0 {
		r.firstConnAt = now
	}
	r.dispatchers[dispatcher].ConnOpened(now, searcher, conn, &out.dispatcher)
	r.collect(now, dispatcher, out)
}

// ConnFailed handles the failure of an OpenConn action.
func (r *Router) ConnFailed(now grclock.Millis, dispatcher, searcher int32, out *Output) {
	r.dispatchers[dispatcher].ConnFailed(now, searcher, &out.dispatcher)
	r.collect(now, dispatcher, out)
}

// ConnLost handles the closing of an idle connection by the searcher.
func (r *Router) ConnLost(now grclock.Millis, dispatcher, searcher int32, conn grdispatch.ConnID, out *Output) {
	r.dispatchers[dispatcher].ConnLost(now, searcher, conn, &out.dispatcher)
	r.collect(now, dispatcher, out)
}

// ReturnConn returns a connection that was borrowed from the dispatcher for a health
// check.
func (r *Router) ReturnConn(now grclock.Millis, dispatcher, searcher int32, conn grdispatch.ConnID, healthy bool, out *Output) {
	r.dispatchers[dispatcher].ReturnConn(now, searcher, conn, healthy, &out.dispatcher)
	r.collect(now, dispatcher, out)
}

func (r *Router) dispatcherFor(name grident.Service) int32 {
	if index, ok := r.dispatcherIndexes[name]; ok {
		return index
	}
	index := int32(len(r.dispatchers))
	hedges, retries := r.budgetsFor(name)
	dispatcher := &grdispatch.Dispatcher{
		Policy: r.Policy, HedgeBudget: hedges, RetryBudget: retries, Domain: r.Domain, View: r.View,
		Random: grident.Random{State: r.Seed ^ grident.Hash(name)},
	}
	dispatcher.Init()
	dispatcher.SetColdTerms(0, r.cold.terms[name], &grdispatch.Output{}) // It has no searchers yet.
	r.dispatchers = append(r.dispatchers, dispatcher)
	r.serviceNames = append(r.serviceNames, name)
	r.listed, r.holders = append(r.listed, nil), append(r.holders, nil)
	r.nextWakes = append(r.nextWakes, grclock.Never)
	r.dispatcherIndexes[name] = index
	return index
}

// collect moves the actions of a dispatcher to out and passes its ended sub-requests
// to their queries.
func (r *Router) collect(now grclock.Millis, dispatcher int32, out *Output) {
	for i := range out.dispatcher.Actions {
		out.dispatcher.Actions[i].Service = dispatcher
	}
	out.Actions = append(out.Actions, out.dispatcher.Actions...)
	for _, change := range out.dispatcher.RateLimitChanges {
		change.Service = dispatcher
		out.RateLimitChanges = append(out.RateLimitChanges, change)
	}
	for _, change := range out.dispatcher.ColdChanges {
		change.Service = dispatcher
		out.ColdChanges = append(out.ColdChanges, change)
	}
	for _, resend := range out.dispatcher.Resends {
		resend.Service = dispatcher
		out.Resends = append(out.Resends, resend)
	}
	out.Departures = append(out.Departures, out.dispatcher.Departures...)
	for _, ask := range out.dispatcher.RateLimitAsks {
		ask.Service = dispatcher
		r.rateLimitAsks = append(r.rateLimitAsks, ask)
	}
	done := out.dispatcher.Done
	out.dispatcher.Reset()
	r.scheduleWake(dispatcher)
	r.endSubRequests(now, done, out)
	r.sendRateLimitAsks(now, out)
}

// endSubRequests passes ended sub-requests to their queries.
func (r *Router) endSubRequests(now grclock.Millis, done []grdispatch.Done, out *Output) {
	if len(done) == 0 {
		return
	}
	out.dispatcher.Done = nil
	r.markStarted(done)
	for i := range done {
		if q := r.queries[done[i].Key.Query]; q != nil {
			r.handleDone(now, q, &done[i], out)
		}
	}
	if out.dispatcher.Done == nil {
		out.dispatcher.Done = done[:0]
	}
}

// markStarted records which queries may have been executed before any of them ends: the end of
// one can end another of the list, whose own sub-request has already been released.
func (r *Router) markStarted(done []grdispatch.Done) {
	for i := range done {
		if q := r.queries[done[i].Key.Query]; q != nil && (done[i].Kind == grdispatch.Answered || done[i].Kind == grdispatch.Unknown) {
			q.started = true
		}
	}
}

// scheduleWake schedules the dispatcher's next Tick.
func (r *Router) scheduleWake(dispatcher int32) {
	wake := r.dispatchers[dispatcher].NextWake()
	if wake < r.nextWakes[dispatcher] {
		r.nextWakes[dispatcher] = wake
		r.dispatcherWakes.Push(dispatcherWake{wake, dispatcher})
	}
}
