package grnode

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/gropening"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grupstream"
)

// routerLoop is the event loop that owns the router. No other goroutine accesses it.
type routerLoop struct {
	node           *Node
	router         *grrouter.Router
	pending        map[grident.QueryID]*pendingRequest
	queryIDs       map[uint64]grident.QueryID // by pendingRequest.number
	out            grrouter.Output
	openings       gropening.Queue
	unsent         []unsent
	peers          map[grident.InstanceID]grcluster.Member // instances that groups can be delegated to
	targetDivisor  int                                     // to report on, as in controlLoop; 0: none
	nextProbe      grclock.Millis                          // when idle connections are probed next
	metrics        routerMetrics
	quotaLines     lineLimit
	rejectionLines lineLimit
	coldLines      lineLimit
	labelledRoutes map[string]bool                                        // routes with a metric label of their own
	rateLimitAsks  map[*grwire.RateLimitRequest][]grdispatch.RateLimitAsk // calls for units without an answer
	loggedAttempts map[grident.SearcherID]grdispatch.AttemptCounts        // to searchers with a rate limit, as last logged
}

// unsent is an attempt whose query ended before the attempt was sent.
type unsent struct {
	dispatcher int32
	attempt    grident.AttemptID
}

// probeInterval is the interval between health checks of an idle connection to each
// searcher.
const probeInterval = grclock.Second

func (l *routerLoop) init() {
	l.pending = make(map[grident.QueryID]*pendingRequest)
	l.queryIDs = make(map[uint64]grident.QueryID)
	l.rateLimitAsks = make(map[*grwire.RateLimitRequest][]grdispatch.RateLimitAsk)
	l.labelledRoutes = make(map[string]bool)
	l.metrics.register(l.node.Metrics)
}

func (l *routerLoop) run(ctx context.Context) error {
	clock := l.node.Clock
	timer := clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.node.events.Items():
			l.handle(clock.Now(), e)
		case <-timer.C:
			l.tick(clock.Now())
		}
		timer.Reset(min(l.router.NextWake(), l.nextProbe, l.openings.NextWake()) - clock.Now())
	}
}

func (l *routerLoop) tick(now grclock.Millis) {
	l.router.Tick(now, &l.out)
	l.processOutput(now)
	if now >= l.nextProbe {
		l.nextProbe = now + probeInterval
		if l.node.Adapter == nil {
			l.probeIdle()
		}
		l.metrics.update(l.router)
		l.logRateLimitUse(now)
	}
}

func (l *routerLoop) handle(now grclock.Millis, e event) {
	e.apply(l, now)
	l.processOutput(now)
	l.reportReduction()
}

// track records which request waits for the result of a query.
func (l *routerLoop) track(p *pendingRequest, id grident.QueryID) {
	l.pending[id] = p
	l.queryIDs[p.number] = id
}

// reportReduction notifies the control loop once the connections held are within each
// connection limit divided by targetDivisor.
func (l *routerLoop) reportReduction() {
	if l.targetDivisor > 0 && l.router.WithinConnLimits() {
		l.node.controlLoop.post(controlEvent{reducedTo: l.targetDivisor})
		l.targetDivisor = 0
	}
}

// probeIdle sends a health check on the least recently used idle connection of each
// searcher, in order to detect unresponsive connections.
func (l *routerLoop) probeIdle() {
	for i := range l.router.ServiceCount() {
		dispatcher := l.router.Dispatcher(int32(i))
		for s := range dispatcher.Searchers() {
			if conn, ok := dispatcher.TakeIdleConn(int32(s)); ok {
				l.node.pool.Probe(grupstream.ConnKey{Dispatcher: int32(i), SearcherIndex: int32(s), Conn: conn})
			}
		}
	}
}

// processOutput carries out what the router decided, until no output is left, and begins the
// openings of connections that are due.
func (l *routerLoop) processOutput(now grclock.Millis) {
	defer l.beginOpenings(now)
	for {
		for i := range l.out.Actions {
			l.execute(&l.out.Actions[i])
		}
		for i := range l.out.Delegations {
			l.delegate(now, &l.out.Delegations[i])
		}
		for i := range l.out.Resends {
			l.logResend(&l.out.Resends[i])
		}
		for i := range l.out.Results {
			l.deliver(&l.out.Results[i])
		}
		for i := range l.out.RateLimitRequests {
			l.sendRateLimitRequest(&l.out.RateLimitRequests[i])
		}
		l.publishRateLimitChanges()
		l.publishDepartures()
		l.logColdChanges(now)
		l.out.Reset()
		if len(l.unsent) == 0 {
			return
		}
		u := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.router.HandleReply(now, u.dispatcher, grdispatch.Reply{Attempt: u.attempt, Kind: grdispatch.Refused, ReusableConn: true}, &l.out)
	}
}

func (l *routerLoop) execute(a *grdispatch.Action) {
	place := grupstream.ConnKey{Dispatcher: a.Service, SearcherIndex: a.Searcher, Conn: a.Conn}
	switch a.Kind {
	case grdispatch.OpenConn:
		l.queueOpening(a)
	case grdispatch.CloseConn:
		l.node.pool.Close(place)
	case grdispatch.CancelAttempt:
		if l.node.Adapter == nil {
			l.node.pool.Cancel(l.addressOf(a), a.Attempt)
		}
	case grdispatch.Send:
		l.send(place, a)
	}
}

// addressOf returns the address of the searcher that an action concerns.
func (l *routerLoop) addressOf(a *grdispatch.Action) grident.Address {
	return l.router.Dispatcher(a.Service).SearcherAt(a.Searcher).Address
}

func (l *routerLoop) send(place grupstream.ConnKey, a *grdispatch.Action) {
	pending := l.pending[a.Key.Query]
	if pending != nil && pending.route != nil {
		l.node.pool.Send(place, grupstream.OutgoingAttempt{
			Attempt: a.Attempt, Searcher: a.ID, Remaining: a.Timeout, SendBy: a.SendBy, Exchange: l.node.Adapter.Exchange(pending.route),
		})
		return
	}
	shard, snapshot, ok := l.router.SubRequestTarget(a.Key)
	if !ok || pending == nil {
		l.unsent = append(l.unsent, unsent{a.Service, a.Attempt})
		return
	}
	search := &grupstream.Search{Context: pending.ctx, Body: grwire.SearchRequest{
		Caller:      l.node.pool.Instance,
		Attempt:     uint64(a.Attempt),
		Collection:  string(pending.collection),
		Index:       uint64(snapshot.IndexVersion),
		Map:         uint64(snapshot.MapVersion),
		From:        uint64(shard.From),
		To:          uint64(shard.To),
		Text:        pending.text,
		RequestID:   string(pending.requestID),
		RemainingMS: int64(a.Timeout),
	}}
	l.node.pool.Send(place, grupstream.OutgoingAttempt{Attempt: a.Attempt, Exchange: search})
}

func (l *routerLoop) deliver(result *grrouter.Result) {
	pending, ok := l.pending[result.ID]
	if !ok {
		return
	}
	if !result.MoreExpected {
		delete(l.pending, result.ID)
		delete(l.queryIDs, pending.number)
	}
	if pending.route != nil {
		l.recordOutcome(pending.route, result)
	}
	pending.result <- *result
}

// routerMetrics publishes the counters of the router as gauges.
type routerMetrics struct{ gauges map[string]metrics.Gauge }

func (m *routerMetrics) register(registry metrics.Registry) {
	m.gauges = make(map[string]metrics.Gauge)
	for name := range readCounters(&grrouter.Router{}) {
		m.gauges[name] = metrics.GetOrRegisterGauge(name, registry)
	}
}

func (m *routerMetrics) update(r *grrouter.Router) {
	for name, value := range readCounters(r) {
		m.gauges[name].Update(int64(value))
	}
}

func readCounters(r *grrouter.Router) map[string]uint64 {
	var sum grdispatch.Counters
	for i := range r.ServiceCount() {
		sum.Add(&r.Dispatcher(int32(i)).Counters)
	}
	return map[string]uint64{
		"queries_started":            r.Counters.Queries,
		"queries_done":               r.Counters.Complete,
		"queries_partial":            r.Counters.Partial,
		"queries_not_run":            r.Counters.NotRun,
		"queries_unknown":            r.Counters.Unknown,
		"queries_refused":            r.Counters.Rejected,
		"queries_rerun":              r.Counters.Reruns,
		"queries_cancelled":          r.Counters.Cancelled,
		"answers_malformed":          r.Counters.MalformedAnswers,
		"groups_delegated":           r.Counters.GroupsDelegated,
		"groups_taken_back":          r.Counters.GroupsRevoked,
		"subrequests_first":          sum.FirstAttempts,
		"subrequests_hedged":         sum.Hedges,
		"subrequests_retried":        sum.Retries,
		"subrequests_resent":         sum.Resent,
		"subrequests_cancelled":      sum.Cancelled,
		"subrequests_held_back":      sum.RateLimited,
		"subrequests_held_back_cold": sum.ColdHeldBack,
		"subrequests_awaited_view":   sum.AwaitedView,
		"subrequests_withheld":       sum.Withheld,
		"hedges_denied":              sum.HedgesDenied,
		"retries_denied":             sum.RetriesDenied,
		"searchers_shed":             sum.Sheds,
		"searchers_refusals":         sum.Refusals,
		"searchers_ejected":          sum.Ejections,
		"replies_late":               sum.LateReplies,
		"connections_opened":         sum.ConnsOpened,
		"connections_closed":         sum.ConnsClosed,
		"connections_silent":         sum.UnresponsiveConns,
	}
}
