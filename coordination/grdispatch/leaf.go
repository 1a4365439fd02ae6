// Package grdispatch dispatches the sub-requests of one service to its searchers: it
// balances load over searchers and connections, hedges and retries attempts, ejects
// failing searchers, and manages the connection pools.
//
// A Leaf is a deterministic state machine without I/O. Every method takes the current
// time and appends actions to an Out; no method blocks or reads external state.
//
//	leaf := &grdispatch.Leaf{Policy: grdispatch.DefaultPolicy()}
//	leaf.Init()
//	leaf.SetSearchers(now, searchers, &out)
//	leaf.Submit(now, grdispatch.Sub{Key: key, Deadline: now + 200}, &out)
//	for _, action := range out.Actions { ... }
//
// Each submitted sub-request ends in exactly one Done, unless Abandon ends it first.
package grdispatch

import (
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grheap"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsnapshot"
)

// SubRequestKey identifies a sub-request: one shard of one query.
type SubRequestKey struct {
	Query grident.QueryID
	Shard int32
}

// SubRequest is a sub-request, which any one searcher of the service can answer.
type SubRequest struct {
	Key           SubRequestKey
	Deadline      grclock.Millis
	NonIdempotent bool // not idempotent: sent again only if no searcher can have started it

	Priority         int            // 0 is sent first among waiting sub-requests
	LatencyObjective grclock.Millis // latency objective as a point in time; once it has passed, sub-requests that can still meet theirs go first; 0: none
	HedgeDelay       grclock.Millis // age of an attempt at which a hedge is sent; 0: by the policy
	MaxAttempts      int            // attempts, including the first; 0: by the policy
	Credit           BudgetCredit   // credit to the budgets for hedges and retries
	HoldFrom         grclock.Millis // from this time on nothing is sent until Resume; 0: no hold

	OnlySearcher     grident.SearcherTag // the only searcher it may be sent to; 0: any
	ReservedSearcher grident.SearcherTag // searcher that another instance may send it to; 0: none
}

// Searcher describes one searcher of the service.
type Searcher struct {
	ID             grident.SearcherID
	Domain         grident.FailureDomain
	Slots          int
	ConnLimit      int                 // limit of connections from this instance
	OwnerConnLimit int                 // the limit if this instance is an owner that sends for all instances of the domain; 0: as Share
	Leaving        bool                // accepts no new work
	Incarnation    grident.Incarnation // changes when the searcher restarts; a new run begins with a slow start
}

// ConnID identifies a connection of the dispatcher. Ids are not reused.
type ConnID uint32

// ReplyKind is the outcome of an attempt.
type ReplyKind uint8

// Outcomes of an attempt.
const (
	OK        ReplyKind = iota // records of the pinned snapshot
	Shed                       // the searcher had no capacity and did not start
	Draining                   // the searcher is draining and did not start
	Behind                     // the searcher does not hold the snapshot yet
	Gone                       // the searcher no longer holds the snapshot
	Failed                     // the searcher returned an error
	Cancelled                  // the searcher stopped it on request
	Refused                    // no byte was sent
	LostReply                  // sent, but the connection ended without an answer
	Dropped                    // the attempt was abandoned and its connection closed on this side
)

// notStarted reports whether the outcome proves that the searcher did not start.
func (k ReplyKind) notStarted() bool { return k == Shed || k == Draining || k == Refused }

// Load is the load that a searcher reported with a reply.
type Load struct {
	Known  bool
	Busy   int // slots in use
	Queued int // requests waiting for a slot
}

// Reply is the outcome of an attempt, with the answer if there is one.
type Reply struct {
	Attempt      grident.AttemptID
	Kind         ReplyKind
	Load         Load
	Records      []grsnapshot.Record
	Answer       *granswer.Answer // in place of Records, for requests forwarded unchanged
	ReusableConn bool             // the connection can be reused
}

// DoneKind is the outcome of a sub-request.
type DoneKind uint8

// Outcomes of a sub-request.
const (
	Answered     DoneKind = iota // Records or Answer hold the answer
	NotStarted                   // no searcher started it
	SnapshotGone                 // the pinned snapshot is no longer held
	Unknown                      // it may have been executed, but no answer arrived
	Expired                      // its deadline passed while it waited; not started
)

// Done reports the outcome of a sub-request.
type Done struct {
	Key     SubRequestKey
	Kind    DoneKind
	Records []grsnapshot.Record
	Answer  *granswer.Answer // the answer, or else the error response of the last searcher that failed
	History AttemptHistory   // attempt history, if there is no answer
}

// ActionKind is the kind of an action that the daemon must carry out.
type ActionKind uint8

// Kinds of actions.
const (
	Send          ActionKind = iota // send the sub-request on the connection
	CancelAttempt                   // request that the searcher stop the attempt
	OpenConn
	CloseConn
)

// Action is one I/O operation for the daemon to carry out.
type Action struct {
	Kind     ActionKind
	Service  int32 // set by the router
	Searcher int32 // index in the list that Searchers returns
	ID       grident.SearcherID
	Conn     ConnID
	Attempt  grident.AttemptID
	Key      SubRequestKey
	Timeout  grclock.Millis
}

// Output collects the actions and outcomes of one or more calls. Callers reuse it to
// avoid allocations.
type Output struct {
	Actions []Action
	Done    []Done
}

// Reset empties both lists and keeps their memory.
func (o *Output) Reset() { o.Actions, o.Done = o.Actions[:0], o.Done[:0] }

// Dispatcher is the dispatcher of one service. Set the exported fields and call Init before
// any other method.
type Dispatcher struct {
	Policy      Policy
	Random      grident.Random
	HedgeBudget *grstat.TokenBucket   // budget for hedges; shared by the dispatchers of an instance
	RetryBudget *grstat.TokenBucket   // budget for retries; shared likewise, and may be the same as Hedges
	Domain      grident.FailureDomain // failure domain of the instance, preferred as far as Policy.RemoteCost says
	WarmConns   *WarmConnTargets      // warm connections to hold; nil: as many as the policy may need
	Counters    Counters

	searchers       []searcherState
	hasSearcherList bool // SetSearchers was called
	subs            []pendingRequest
	freeSubs        []int32
	byKey           map[SubRequestKey]int32
	attempts        []attempt
	freeAttempts    []int32
	deferred        []int32            // sub-requests skipped during a dispatch, for lack of a searcher or on hold
	queue           grheap.Heap[int32] // waiting sub-requests in dispatch order
	inFlight        attemptRing        // sent attempts, oldest first
	latency         grstat.Quantile
	typicalLatency  grstat.EWMA // latency of answered attempts
	answerInterval  grstat.EWMA // time between two answers while sub-requests wait
	lastAnswerAt    grclock.Millis
	sendCount       int
	nextConn        ConnID
	nextWake        grclock.Millis
}

type pendingRequest struct {
	SubRequest
	live          bool
	queued        bool
	hedgeQueued   bool // the queued attempt is a hedge, already charged to the budget
	gen           uint32
	active        int8             // attempts in flight
	sent          int8             // attempts sent that may have started, including those in flight
	dispatched    bool             // an attempt was sent before
	pastObjective bool             // its latency objective passed while it waited
	triedMask     uint64           // bit set of searchers that received an attempt, by index modulo 64
	snapshotGone  bool             // a searcher reported the snapshot as gone
	mayHaveRun    bool             // a searcher may have started an attempt
	lastFailure   *granswer.Answer // error response of the last searcher that failed
	attemptEnded  bool             // an attempt ended without an answer
	lastKind      ReplyKind        // outcome of the last such attempt
	lastSearcher  grident.SearcherID
	attempts      [attemptLimit]grident.AttemptID
	sentTo        [attemptLimit]int32 // searchers of these attempts, by index
}

// attemptLimit bounds Policy.MaxAttempts and the attempts recorded for a sub-request.
const attemptLimit = 4

type attempt struct {
	id        grident.AttemptID
	live      bool
	cancelled bool
	cancelAt  grclock.Millis
	hedged    bool // a hedge was sent for this attempt, or none may be
	sub       int32
	subGen    uint32
	searcher  int32
	conn      ConnID
	sentAt    grclock.Millis
}

// Init prepares the dispatcher. Call it once before any other method.
func (l *Dispatcher) Init() {
	l.byKey = make(map[SubRequestKey]int32)
	l.nextWake = grclock.Never
	l.queue.Less = func(a, b int32) bool { return before(&l.subs[a], &l.subs[b]) }
	if l.HedgeBudget == nil {
		l.HedgeBudget = &grstat.TokenBucket{}
	}
	if l.RetryBudget == nil {
		l.RetryBudget = &grstat.TokenBucket{}
	}
	l.SetPolicy(l.Policy)
}

// SetPolicy changes the policy for subsequent decisions.
func (l *Dispatcher) SetPolicy(p Policy) {
	p.MaxAttempts = min(max(p.MaxAttempts, 1), attemptLimit)
	l.Policy = p
}

// Submit accepts a sub-request. If the queue exceeds Policy.MaxQueue, the last
// sub-request in queue order ends as NotStarted.
func (l *Dispatcher) Submit(now grclock.Millis, s SubRequest, out *Output) {
	l.Counters.Submitted++
	index := l.newSub(s)
	switch s.Credit {
	case CreditFull:
		l.credit(1)
	case CreditPartial:
		l.credit(1 - requesterShare)
	}
	l.enqueue(index)
	if l.queue.Len() > l.Policy.MaxQueue {
		l.finish(now, l.latestQueued(), NotStarted, out)
	}
	l.dispatch(now, out)
}

// Abandon ends a sub-request that its query no longer needs, without a Done. It
// reports whether a searcher may have started it.
func (l *Dispatcher) Abandon(now grclock.Millis, key SubRequestKey, out *Output) (started bool) {
	index, ok := l.byKey[key]
	if !ok {
		return false
	}
	s := &l.subs[index]
	started = s.mayHaveRun || s.active > 0 || s.snapshotGone && !s.NonIdempotent
	l.cancelAttempts(now, index, out)
	l.release(index)
	l.dispatch(now, out)
	return started
}

// Tick handles everything due at the given time: expired sub-requests, hedges,
// unresponsive and warm connections.
func (l *Dispatcher) Tick(now grclock.Millis, out *Output) {
	l.nextWake = grclock.Never
	l.expireQueued(now, out)
	l.checkInFlight(now, out)
	l.maintainConns(now, out)
	l.dispatch(now, out)
}

// NextWake returns the time by which Tick must be called.
func (l *Dispatcher) NextWake() grclock.Millis { return l.nextWake }

// QueueLen returns the number of sub-requests in the queue.
func (l *Dispatcher) QueueLen() int { return l.queue.Len() }

// InFlight returns the number of sub-requests that have not ended, waiting ones
// included.
func (l *Dispatcher) InFlight() int { return len(l.byKey) }

// ExpectedWait estimates the time in ms to an answer for a sub-request submitted now,
// from the recent rate of answers.
func (l *Dispatcher) ExpectedWait() grclock.Millis {
	wait := l.typicalLatency.Value(0)
	if n := l.queue.Len(); n > 0 {
		wait += float64(n) * l.answerInterval.Value(0)
	}
	return grclock.Millis(wait)
}

func (l *Dispatcher) wakeAt(t grclock.Millis) {
	if t < l.nextWake {
		l.nextWake = t
	}
}

func (l *Dispatcher) newSub(s SubRequest) int32 {
	var index int32
	if n := len(l.freeSubs); n > 0 {
		index = l.freeSubs[n-1]
		l.freeSubs = l.freeSubs[:n-1]
	} else {
		index = int32(len(l.subs))
		l.subs = append(l.subs, pendingRequest{})
	}
	gen := l.subs[index].gen
	l.subs[index] = pendingRequest{SubRequest: s, live: true, gen: gen}
	l.byKey[s.Key] = index
	return index
}

// release removes the sub-request. Its attempts in flight become abandoned.
func (l *Dispatcher) release(index int32) {
	s := &l.subs[index]
	delete(l.byKey, s.Key)
	if s.queued {
		l.queue.Remove(index)
		s.queued = false
		if s.hedgeQueued {
			l.HedgeBudget.Refund()
		}
	}
	s.live = false
	s.gen++
	l.freeSubs = append(l.freeSubs, index)
}

// finish ends a sub-request without an answer.
func (l *Dispatcher) finish(now grclock.Millis, index int32, kind DoneKind, out *Output) {
	l.Counters.NotAnswered++
	s := &l.subs[index]
	out.Done = append(out.Done, Done{Key: s.Key, Kind: kind, Answer: s.lastFailure, History: l.historyOf(now, s)})
	l.release(index)
}

// answer ends a sub-request with the answer of a searcher.
func (l *Dispatcher) answer(index int32, reply *Reply, out *Output) {
	l.Counters.Answered++
	out.Done = append(out.Done, Done{Key: l.subs[index].Key, Kind: Answered, Records: reply.Records, Answer: reply.Answer})
	l.release(index)
}

func (l *Dispatcher) cancelAttempts(now grclock.Millis, index int32, out *Output) {
	s := &l.subs[index]
	for _, id := range s.attempts[:s.sent] {
		if a := l.findAttempt(id); a != nil && !a.cancelled {
			l.cancel(now, a, s.Key, out)
		}
	}
}

func (l *Dispatcher) cancel(now grclock.Millis, a *attempt, key SubRequestKey, out *Output) {
	a.cancelled, a.cancelAt = true, now
	if l.Policy.CloseAbandonedAfter > 0 {
		l.wakeAt(now + l.Policy.CloseAbandonedAfter)
	}
	l.Counters.Cancelled++
	l.emit(out, CancelAttempt, a.searcher, a.conn, a.id, key, 0)
}

func (l *Dispatcher) emit(out *Output, kind ActionKind, r int32, conn ConnID, id grident.AttemptID, key SubRequestKey, timeout grclock.Millis) {
	out.Actions = append(out.Actions, Action{
		Kind: kind, Searcher: r, ID: l.searchers[r].ID, Conn: conn, Attempt: id, Key: key, Timeout: timeout,
	})
}
