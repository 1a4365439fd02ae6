// Package grrouter answers queries from many shards. It plans a query over the
// shards of one snapshot, hands the sub-requests to the leaves of the
// services, merges what comes back and states the coverage.
//
// A Router is a pure state machine: each method takes the time and an event
// and appends actions and results to an Out. The same code runs in the daemon
// and, on virtual time, in tests and benchmarks.
//
//	router := &grrouter.Router{Seed: 1}
//	router.Init()
//	router.SetMap(now, shardMap, &out)
//	router.SetService(now, "dispatch-01", searchers, &out)
//	id := router.StartQuery(now, grrouter.Query{Collection: "dispatch", Deadline: now + 200}, &out)
package grrouter

import (
	"geraniumrouter/coordination/gradmission"
	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grheap"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
	"geraniumrouter/state/grtable"
)

// Outcome says what became of a request.
type Outcome uint8

// The outcomes. NotRun is only used where it is certain that nothing started.
const (
	Complete Outcome = iota // answered whole
	Partial                 // answered, with the missing ranges named
	NotRun                  // nothing of it started
	Unknown                 // it may have run; there is no answer
)

// String returns the name of the outcome in answers.
func (o Outcome) String() string {
	return [...]string{"done", "partial", "not_run", "unknown"}[o]
}

// Query asks for the records of a whole collection.
type Query struct {
	Collection grid.Collection
	Deadline   grclock.Millis
}

// Request asks one service to do something that is not idempotent, once. Its
// claim must be held before it is started; see package grclaim.
type Request struct {
	Collection grid.Collection
	Key        grsnapshot.Key
	Deadline   grclock.Millis
}

// Result is the end of a query or request.
type Result struct {
	ID         grid.QueryID
	Outcome    Outcome
	Code       grfault.Code // why it is not Complete; "" for a partial answer
	Coverage   float64
	Missing    []grsnapshot.Range
	Snapshot   grsnapshot.Snapshot
	Generation grid.Generation
	Records    []grsnapshot.Record

	Parts      []Part           // of requests on routes: what was answered
	Failure    *granswer.Answer // of requests on routes: the failure a searcher answered with, if any
	Asked      int              // of requests on routes: shards that make up a whole answer
	Absent     []Absence        // of requests on routes: some of the shards without a part, for logs
	Took       grclock.Millis
	Spent      grclock.Millis // of the time aimed at, before the request was sent, as it was estimated
	Usual      grclock.Millis // of a group: the time that callers of the route usually have left, as seen here; 0: not known
	EndedAt    grclock.Millis
	RetryAfter grclock.Millis // after NotRun: when to come back
	More       bool           // of a group: the rest may be asked for, and another result follows
}

// Out collects what a call decided. Callers reuse it to keep its memory.
type Out struct {
	Actions     []grleaf.Action
	Results     []Result
	Delegations []Delegation
	leaf        grleaf.Out
}

// Reset empties the lists.
func (o *Out) Reset() {
	o.Actions, o.Results, o.Delegations = o.Actions[:0], o.Results[:0], o.Delegations[:0]
}

// Router runs the queries of one instance. Set the exported fields before
// Init.
type Router struct {
	Policy     grleaf.Policy  // the zero value stands for grleaf.DefaultPolicy
	Margin     grclock.Millis // time kept back from the deadline to send the answer
	Seed       uint64
	DropBodies bool // results carry no records; for benchmarks of decisions
	Straight   bool // all shards are asked from here; for comparisons
	Counters   Counters

	RoutePolicy RoutePolicy // the zero value stands for DefaultRoutePolicy
	Self        grid.InstanceID
	Domain      grid.FailureDomain // of the instance
	PartTime    float64            // milliseconds that a part takes an instance; 0: next to nothing
	// Extra bounds the extra sub-requests to each service apart, over all
	// instances, in place of the budgets of this instance. The zero value turns it
	// off.
	Extra grstat.Bound

	collections map[grid.Collection]*collection
	services    map[grid.Service]int32
	leaves      []*grleaf.Leaf
	names       []grid.Service
	queries     map[grid.QueryID]*query
	free        []*query
	deadlines   grheap.Heap[timer]
	wakes       grheap.Heap[leafWake]
	planned     []grclock.Millis // earliest wake planned for each leaf
	gate        gradmission.Controller
	hedges      grstat.Budget // of all leaves
	retries     grstat.Budget // of all leaves
	register    grpreset.Register
	nextID      grid.QueryID

	splits       map[string]*split        // by route, of the newest table
	usuals       map[string]*grstat.Usual // time that callers have left, by route
	splitVersion grtable.Version
	budgets      []*grstat.Budget // of the services, where each has its own
	membersPeak  grstat.Peak
	ownersPeak   grstat.Peak
	memberShare  float64 // of the number of a bound, for each instance
	ownerShare   float64 // the same for each owner of a shard
	peers        []peerState
	indexes      map[grid.Service]int  // block of each shard of the newest table
	singles      map[grid.Service]bool // services of the newest table that are no shards
	random       grid.Random
	lag          grstat.Mean // in milliseconds, by which timers of late came too late
}

type timer struct {
	at grclock.Millis
	id grid.QueryID
}

type leafWake struct {
	at   grclock.Millis
	leaf int32
}

type collection struct {
	current *grsnapshot.Map
	leaves  []int32 // leaf of each shard of current
}

// defaultMargin is kept back from deadlines where Margin is zero.
const defaultMargin = 4 * grclock.Millisecond

// Init prepares the router; it must be called once before use.
func (r *Router) Init() {
	if r.Policy == (grleaf.Policy{}) {
		r.Policy = grleaf.DefaultPolicy()
	}
	if r.Margin == 0 {
		r.Margin = defaultMargin
	}
	if r.RoutePolicy == (RoutePolicy{}) {
		r.RoutePolicy = DefaultRoutePolicy()
	}
	r.splits = make(map[string]*split)
	r.usuals = make(map[string]*grstat.Usual)
	r.random.State = grid.Mix(r.Seed)
	r.setBudgets()
	r.hedges.Fill()
	r.retries.Fill()
	r.collections = make(map[grid.Collection]*collection)
	r.services = make(map[grid.Service]int32)
	r.queries = make(map[grid.QueryID]*query)
	r.deadlines.Less = func(a, b timer) bool { return a.at < b.at }
	r.wakes.Less = func(a, b leafWake) bool { return a.at < b.at }
}

// SetService replaces the searchers of a service.
func (r *Router) SetService(now grclock.Millis, name grid.Service, list []grleaf.Searcher, out *Out) {
	leaf := r.leafFor(name)
	if r.indexes != nil {
		r.leaves[leaf].SetKeep(now, r.keepOf(name), &out.leaf)
	}
	r.leaves[leaf].SetSearchers(now, list, &out.leaf)
	r.settle(now, leaf, out)
}

// Leaf returns the leaf with the index that actions carry.
func (r *Router) Leaf(index int32) *grleaf.Leaf { return r.leaves[index] }

// Service returns the name of the service with the index that actions carry.
func (r *Router) Service(index int32) grid.Service { return r.names[index] }

// Services returns the number of services known.
func (r *Router) Services() int { return len(r.leaves) }

// InFlight returns the number of queries that have not ended.
func (r *Router) InFlight() int { return len(r.queries) }

// WithinShares reports whether no searcher holds more connections than its
// share.
func (r *Router) WithinShares() bool {
	for _, leaf := range r.leaves {
		if !leaf.WithinShares() {
			return false
		}
	}
	return true
}

// Connected reports whether a connection to some searcher stands.
func (r *Router) Connected() bool {
	for _, leaf := range r.leaves {
		if leaf.Connected() {
			return true
		}
	}
	return false
}

// Reply takes the end of an attempt of the service.
func (r *Router) Reply(now grclock.Millis, leaf int32, reply grleaf.Reply, out *Out) {
	r.leaves[leaf].Reply(now, reply, &out.leaf)
	r.settle(now, leaf, out)
}

// ConnOpened notes that a connection that an action asked for is ready.
func (r *Router) ConnOpened(now grclock.Millis, leaf, searcher int32, conn grleaf.ConnID, out *Out) {
	r.leaves[leaf].ConnOpened(now, searcher, conn, &out.leaf)
	r.settle(now, leaf, out)
}

// ConnFailed notes that a connection that an action asked for was refused.
func (r *Router) ConnFailed(now grclock.Millis, leaf, searcher int32, out *Out) {
	r.leaves[leaf].ConnFailed(now, searcher, &out.leaf)
	r.settle(now, leaf, out)
}

// ConnLost notes that the other end closed a connection while it was idle.
func (r *Router) ConnLost(now grclock.Millis, leaf, searcher int32, conn grleaf.ConnID, out *Out) {
	r.leaves[leaf].ConnLost(now, searcher, conn, &out.leaf)
	r.settle(now, leaf, out)
}

// ReturnConn gives back a connection that was drawn from the leaf for a check.
func (r *Router) ReturnConn(now grclock.Millis, leaf, searcher int32, conn grleaf.ConnID, healthy bool, out *Out) {
	r.leaves[leaf].ReturnConn(now, searcher, conn, healthy, &out.leaf)
	r.settle(now, leaf, out)
}

// Tick lets time pass; it must be called by the time that NextWake gives.
func (r *Router) Tick(now grclock.Millis, out *Out) {
	for r.deadlines.Len() > 0 && r.deadlines.Top().at <= now {
		due := r.deadlines.Pop()
		r.noteLag(now - due.at)
		if q := r.queries[due.id]; q != nil {
			r.due(now, q, out)
		}
	}
	for r.wakes.Len() > 0 && r.wakes.Top().at <= now {
		due := r.wakes.Pop()
		if r.planned[due.leaf] != due.at {
			continue
		}
		r.planned[due.leaf] = grclock.Never
		r.leaves[due.leaf].Tick(now, &out.leaf)
		r.settle(now, due.leaf, out)
	}
}

// due ends a query at its deadline, or earlier in part.
func (r *Router) due(now grclock.Millis, q *query, out *Out) {
	if q.routed != nil && now < q.deadline {
		r.endRouteIfDue(now, q, out)
		return
	}
	r.finish(now, q, out)
}

// NextWake returns the time by which Tick must be called.
func (r *Router) NextWake() grclock.Millis {
	wake := grclock.Never
	if r.deadlines.Len() > 0 {
		wake = r.deadlines.Top().at
	}
	if r.wakes.Len() > 0 {
		wake = min(wake, r.wakes.Top().at)
	}
	return wake
}

func (r *Router) leafFor(name grid.Service) int32 {
	if index, ok := r.services[name]; ok {
		return index
	}
	index := int32(len(r.leaves))
	hedges, retries := r.budgetsFor(name)
	leaf := &grleaf.Leaf{
		Policy: r.Policy, Hedges: hedges, Retries: retries, Domain: r.Domain,
		Random: grid.Random{State: r.Seed ^ grid.Hash(name)},
	}
	leaf.Init()
	r.leaves = append(r.leaves, leaf)
	r.names = append(r.names, name)
	r.planned = append(r.planned, grclock.Never)
	r.services[name] = index
	return index
}

// settle passes on what a leaf decided, until nothing is left to decide.
func (r *Router) settle(now grclock.Millis, leaf int32, out *Out) {
	for i := range out.leaf.Actions {
		out.leaf.Actions[i].Service = leaf
	}
	out.Actions = append(out.Actions, out.leaf.Actions...)
	done := out.leaf.Done
	out.leaf.Reset()
	r.planWake(leaf)
	if len(done) == 0 {
		return
	}
	out.leaf.Done = nil
	for i := range done {
		if q := r.queries[done[i].Key.Query]; q != nil {
			r.subDone(now, q, &done[i], out)
		}
	}
	if out.leaf.Done == nil {
		out.leaf.Done = done[:0]
	}
}

// planWake notes when the leaf wants its next Tick.
func (r *Router) planWake(leaf int32) {
	wake := r.leaves[leaf].NextWake()
	if wake < r.planned[leaf] {
		r.planned[leaf] = wake
		r.wakes.Push(leafWake{wake, leaf})
	}
}
