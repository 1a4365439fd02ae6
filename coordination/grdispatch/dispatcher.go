// Package grdispatch dispatches the sub-requests of one service to its searchers: it
// balances load over searchers and connections, hedges and retries attempts, ejects
// failing searchers, and manages the connection pools.
//
// A Dispatcher is a deterministic state machine without I/O. Every method takes the
// current time and appends actions to an Output; no method blocks or reads external state.
//
//	dispatcher := &grdispatch.Dispatcher{Policy: grdispatch.DefaultPolicy()}
//	dispatcher.Init()
//	dispatcher.SetSearchers(now, searchers, &out)
//	dispatcher.Submit(now, grdispatch.SubRequest{Key: key, Deadline: now + 200}, &out)
//	for _, action := range out.Actions { ... }
//
// Each submitted sub-request ends in exactly one Done, unless Abandon ends it first.
package grdispatch

import (
	"geraniumrouter/coordination/grratelimit"
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
	Correlation   grident.CorrelationID // no connection carries two requests of one id
	Deadline      grclock.Millis
	NonIdempotent bool // not idempotent: sent again only if no searcher can have started it

	Priority         int            // 0 is sent first among waiting sub-requests
	LatencyObjective grclock.Millis // as a point in time; once it has passed, sub-requests that can still meet theirs go first; 0: none
	HedgeDelay       grclock.Millis // age of an attempt at which a hedge is sent; 0: by the policy
	MaxAttempts      int            // attempts, including the first; 0: by the policy
	Credit           BudgetCredit   // credit to the budgets for hedges and retries
	HoldFrom         grclock.Millis // from this time on nothing is sent until EndHold; 0: no hold
	UsefulUntil      grclock.Millis // it ends if rate limits permit no attempt until then; 0: the deadline

	OnlySearcher     grident.SearcherTag // the only searcher it may be sent to; 0: any
	ReservedSearcher grident.SearcherTag // searcher that another instance may send it to; 0: none
}

// ConnID identifies a connection of the dispatcher. Ids are not reused.
type ConnID uint32

// ReplyKind is the outcome of an attempt.
type ReplyKind uint8

// Outcomes of an attempt.
const (
	OK              ReplyKind = iota // records of the pinned snapshot
	Shed                             // the searcher had no capacity and did not start
	Draining                         // the searcher is draining and did not start
	Behind                           // the searcher does not hold the snapshot yet
	Gone                             // the searcher no longer holds the snapshot
	Failed                           // the searcher returned an error
	Cancelled                        // the searcher stopped it on request
	Refused                          // no byte was sent
	LostReply                        // sent, but the connection ended without an answer
	Dropped                          // the attempt was abandoned and its connection closed on this side
	Withheld                         // not sent, since the view by which the searcher was chosen had become too old
	UnprovenRefusal                  // the status says that the searcher did not start, but nothing proves it; only of requests that are not idempotent
)

// notStarted reports whether the outcome proves that the searcher did not start.
func (k ReplyKind) notStarted() bool {
	return k == Shed || k == Draining || k == Refused || k == Withheld
}

// Reply is the outcome of an attempt, with the answer if there is one.
type Reply struct {
	Attempt      grident.AttemptID
	Kind         ReplyKind
	Load         Load
	RateLimit    grratelimit.Statement // what the searcher said about its rate limit
	Cold         ColdStatement         // what it said of the time for which it stays cold
	Records      []grsnapshot.Record
	Answer       *granswer.Answer // in place of Records, for requests forwarded unchanged
	ReusableConn bool             // the connection can be reused
	Leaving      bool             // the searcher said that it leaves
	RefusedFor   grclock.Millis   // time for which the searcher asked for no further attempts; 0: it did not
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
	SendBy   grclock.Millis // of Send: it must not be sent later, as the list of searchers may be outdated or its unit has expired
}

// Output collects the actions and outcomes of one or more calls. Callers reuse it to
// avoid allocations.
type Output struct {
	Actions          []Action
	Done             []Done
	RateLimitChanges []RateLimitChange
	RateLimitAsks    []RateLimitAsk
	Resends          []Resend
	Departures       []Departure
	ColdChanges      []ColdChange
}

// Reset empties the lists and keeps their memory.
func (o *Output) Reset() {
	o.Actions, o.Done = o.Actions[:0], o.Done[:0]
	o.RateLimitChanges, o.RateLimitAsks, o.Resends = o.RateLimitChanges[:0], o.RateLimitAsks[:0], o.Resends[:0]
	o.ColdChanges, o.Departures = o.ColdChanges[:0], o.Departures[:0]
}

// Dispatcher dispatches the sub-requests of one service. Set the exported fields and
// call Init before any other method.
type Dispatcher struct {
	Policy      Policy
	Random      grident.Random
	HedgeBudget *grstat.TokenBucket   // budget for hedges; shared by the dispatchers of an instance
	RetryBudget *grstat.TokenBucket   // budget for retries; shared likewise, and may be the same as HedgeBudget
	Domain      grident.FailureDomain // failure domain of the instance, preferred as far as Policy.RemoteCost says
	WarmConns   *WarmConnTargets      // warm connections to hold; nil: as many as the policy may need
	View        *ViewLease            // lease on the list of searchers; nil: it never ends
	Counters    Counters

	searchers       []searcherState
	coldTerms       ColdTerms
	hasSearcherList bool           // SetSearchers was called
	hasSearchers    bool           // a list named a searcher
	searchersSince  grclock.Millis // when the first such list came
	subs            []pendingRequest
	freeSubs        []int32
	byKey           map[SubRequestKey]int32
	attempts        []attempt
	freeAttempts    []int32
	deferred        []int32            // sub-requests skipped during a dispatch, for lack of a searcher or on hold
	queue           grheap.Heap[int32] // waiting sub-requests in dispatch order
	inFlight        attemptRing        // sent attempts, oldest first
	returns         []grclock.Millis   // when callers return that rate limits rejected, soonest first
	latency         grstat.Quantile
	typicalLatency  grstat.EWMA // latency of answered attempts
	answerInterval  grstat.EWMA // time between two answers while sub-requests wait
	lastAnswerAt    grclock.Millis
	backlog         backlog
	sendCount       int
	nextConn        ConnID
	nextWake        grclock.Millis
}

type pendingRequest struct {
	SubRequest
	live          bool
	queued        bool
	hedgeQueued   bool             // the queued attempt is a hedge, already charged to the budget
	gen           uint32           // number of sub-requests that have used this entry before
	active        int8             // attempts in flight
	sent          int8             // attempts sent that may have started, including those in flight
	dispatched    bool             // an attempt was sent before
	pastObjective bool             // its latency objective passed while it waited
	triedMask     uint64           // bit set of searchers that received an attempt, by index modulo 64
	wantedMask    uint64           // bit set of searchers in whose demand for units it was counted, likewise
	heldBack      bool             // a rate limit kept it from a searcher
	refused       bool             // it ended since every searcher has asked for no attempts
	snapshotGone  bool             // a searcher reported the snapshot as gone
	mayHaveRun    bool             // a searcher may have started an attempt
	withdrawn     bool             // nobody waits for it; it is not sent again
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
	hedged    bool   // a hedge was queued for this attempt, or none is allowed
	sub       int32  // index in subs
	subGen    uint32 // gen of the sub-request; if they differ, it has ended
	searcher  int32
	run       grident.Incarnation // of the searcher
	conn      ConnID
	sentAt    grclock.Millis
}

// Init prepares the dispatcher. Call it once before any other method.
func (d *Dispatcher) Init() {
	d.byKey = make(map[SubRequestKey]int32)
	d.nextWake = grclock.Never
	d.queue.Less = func(a, b int32) bool { return before(&d.subs[a], &d.subs[b]) }
	if d.HedgeBudget == nil {
		d.HedgeBudget = &grstat.TokenBucket{}
	}
	if d.RetryBudget == nil {
		d.RetryBudget = &grstat.TokenBucket{}
	}
	d.SetPolicy(d.Policy)
}

// SetPolicy changes the policy for subsequent decisions.
func (d *Dispatcher) SetPolicy(p Policy) {
	p.MaxAttempts = min(max(p.MaxAttempts, 1), attemptLimit)
	d.Policy = p
}

// Submit accepts a sub-request. If the queue exceeds Policy.MaxQueue, the last
// sub-request in queue order ends as NotStarted.
func (d *Dispatcher) Submit(now grclock.Millis, s SubRequest, out *Output) {
	d.Counters.Submitted++
	if d.View.expired(now) {
		d.Counters.AwaitedView++
	}
	index := d.newSub(s)
	switch s.Credit {
	case CreditFull:
		d.credit(1)
	case CreditPartial:
		d.credit(1 - requesterShare)
	}
	d.enqueue(index)
	if d.queue.Len() > d.Policy.MaxQueue {
		d.finish(now, d.latestQueued(), NotStarted, out)
	}
	d.dispatch(now, out)
	d.endIfUnservable(now, s.Key, out)
}

// Abandon ends a sub-request that its query no longer needs, without a Done. It
// reports whether a searcher may have started it.
func (d *Dispatcher) Abandon(now grclock.Millis, key SubRequestKey, out *Output) (started bool) {
	index, ok := d.byKey[key]
	if !ok {
		return false
	}
	s := &d.subs[index]
	started = s.mayHaveRun || s.active > 0 || s.snapshotGone && !s.NonIdempotent
	d.cancelAttempts(now, index, out)
	d.release(index)
	d.dispatch(now, out)
	return started
}

// Tick handles everything due at the given time: expired sub-requests, hedges,
// unresponsive and warm connections.
func (d *Dispatcher) Tick(now grclock.Millis, out *Output) {
	d.nextWake = grclock.Never
	d.expireQueued(now, out)
	d.endColdTimes(now, out)
	d.checkInFlight(now, out)
	d.maintainConns(now, out)
	d.dispatch(now, out)
}

// NextWake returns the time by which Tick must be called.
func (d *Dispatcher) NextWake() grclock.Millis { return d.nextWake }

// QueueLen returns the number of sub-requests in the queue.
func (d *Dispatcher) QueueLen() int { return d.queue.Len() }

// InFlight returns the number of sub-requests that have not ended, waiting ones
// included.
func (d *Dispatcher) InFlight() int { return len(d.byKey) }

// ExpectedWait estimates the time in ms to an answer for a sub-request submitted now,
// from the recent rate of answers, and the rate limits and refusals of the searchers.
func (d *Dispatcher) ExpectedWait(now grclock.Millis) grclock.Millis {
	latency := d.typicalLatency.Value(0)
	queued := 0.0
	if n := d.queue.Len(); n > 0 {
		queued = float64(n) * d.answerInterval.Value(0)
	}
	return grclock.Millis(latency + max(queued, float64(d.RateLimitWait(now)), float64(d.RefusedFor(now))))
}

func (d *Dispatcher) wakeAt(t grclock.Millis) {
	if t < d.nextWake {
		d.nextWake = t
	}
}

func (d *Dispatcher) newSub(s SubRequest) int32 {
	var index int32
	if n := len(d.freeSubs); n > 0 {
		index = d.freeSubs[n-1]
		d.freeSubs = d.freeSubs[:n-1]
	} else {
		index = int32(len(d.subs))
		d.subs = append(d.subs, pendingRequest{})
	}
	gen := d.subs[index].gen
	d.subs[index] = pendingRequest{SubRequest: s, live: true, gen: gen}
	d.byKey[s.Key] = index
	return index
}

// release removes the sub-request. Its attempts in flight become abandoned.
func (d *Dispatcher) release(index int32) {
	s := &d.subs[index]
	delete(d.byKey, s.Key)
	if s.queued {
		d.queue.Remove(index)
		s.queued = false
		if s.hedgeQueued {
			d.HedgeBudget.Refund()
		}
	}
	s.live = false
	s.gen++
	d.freeSubs = append(d.freeSubs, index)
}

// finish ends a sub-request without an answer.
func (d *Dispatcher) finish(now grclock.Millis, index int32, kind DoneKind, out *Output) {
	d.Counters.NotAnswered++
	s := &d.subs[index]
	out.Done = append(out.Done, Done{Key: s.Key, Kind: kind, Answer: s.lastFailure, History: d.historyOf(now, s)})
	d.release(index)
}

// answer ends a sub-request with the answer of a searcher.
func (d *Dispatcher) answer(index int32, reply *Reply, out *Output) {
	d.Counters.Answered++
	out.Done = append(out.Done, Done{Key: d.subs[index].Key, Kind: Answered, Records: reply.Records, Answer: reply.Answer})
	d.release(index)
}

func (d *Dispatcher) cancelAttempts(now grclock.Millis, index int32, out *Output) {
	s := &d.subs[index]
	for _, id := range s.attempts[:s.sent] {
		if a := d.findAttempt(id); a != nil && !a.cancelled {
			d.cancel(now, a, s.Key, out)
		}
	}
}

func (d *Dispatcher) cancel(now grclock.Millis, a *attempt, key SubRequestKey, out *Output) {
	a.cancelled, a.cancelAt = true, now
	if d.Policy.CloseAbandonedAfter > 0 {
		d.wakeAt(now + d.Policy.CloseAbandonedAfter)
	}
	d.Counters.Cancelled++
	d.emit(out, CancelAttempt, a.searcher, a.conn, a.id, key, 0)
}

func (d *Dispatcher) emit(out *Output, kind ActionKind, r int32, conn ConnID, id grident.AttemptID, key SubRequestKey, timeout grclock.Millis) {
	out.Actions = append(out.Actions, Action{
		Kind: kind, Searcher: r, ID: d.searchers[r].ID, Conn: conn, Attempt: id, Key: key, Timeout: timeout, SendBy: d.View.until(),
	})
}
