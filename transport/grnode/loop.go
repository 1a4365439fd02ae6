package grnode

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/coordination/grcontrol"
	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
	"geraniumrouter/state/grtable"
	"geraniumrouter/transport/grpeer"
	"geraniumrouter/transport/grupstream"
)

type eventKind uint8

const (
	queryEvent eventKind = iota
	requestEvent
	cancelEvent
	upstreamEvent
	mapEvent
	serviceEvent
	presetEvent
	lowerEvent
	inspectEvent
	routeEvent
	peersEvent
	tableEvent
	gatherEvent
	restEvent
)

// event is what the router's duty is told.
type event struct {
	kind      eventKind
	ask       ask
	number    uint64 // of the ask, for cancelEvent
	upstream  grupstream.Event
	shardMap  *grsnapshot.Map
	service   grid.Service
	searchers []grleaf.Searcher
	addresses map[grid.SearcherID]grid.Address
	active    grpreset.Active
	divisor   int // that connections must come down to, for lowerEvent
	inspect   func(r *grrouter.Router)
	members   []grcontrol.Member
	table     *grtable.Table
	gathered  grpeer.GatherEvent
	want      int // parts of the rest of a group
}

// ask is a query or request with the place for its result.
type ask struct {
	ctx        context.Context
	number     uint64 // tells asks apart
	collection grid.Collection
	key        grsnapshot.Key
	text       string
	requestID  grid.RequestID
	deadline   grclock.Millis
	request    *RouteRequest          // for routeEvent
	result     chan<- grrouter.Result // holds one
}

// loop is the duty that owns the router. Nothing else touches it.
type loop struct {
	node      *Node
	router    *grrouter.Router
	asks      map[grid.QueryID]ask
	numbers   map[uint64]grid.QueryID // of the asks
	addresses map[grid.SearcherID]grid.Address
	out       grrouter.Out
	unsent    []unsent
	peers     map[grid.InstanceID]grcontrol.Member // that can be delegated to
	lowering  int                                  // divisor that the control duty waits for, or 0
	checkAt   grclock.Millis
	counts    counts
	routes    map[string]bool // that are counted apart
}

// unsent is an attempt whose query ended before it could be sent.
type unsent struct {
	leaf    int32
	attempt grid.AttemptID
}

// checkInterval is the pause between two checks of an idle connection of each
// searcher.
const checkInterval = grclock.Second

func (l *loop) init() {
	l.asks = make(map[grid.QueryID]ask)
	l.numbers = make(map[uint64]grid.QueryID)
	l.addresses = make(map[grid.SearcherID]grid.Address)
	l.routes = make(map[string]bool)
	l.counts.register(l.node.Metrics)
}

func (l *loop) run(ctx context.Context) error {
	clock := l.node.Clock
	alarm := clock.NewAlarm(0)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.node.events.Out():
			l.handle(clock.Now(), &e)
		case <-alarm.C:
			l.tick(clock.Now())
		}
		alarm.Reset(min(l.router.NextWake(), l.checkAt) - clock.Now())
	}
}

func (l *loop) tick(now grclock.Millis) {
	l.router.Tick(now, &l.out)
	l.carryOut(now)
	if now >= l.checkAt {
		l.checkAt = now + checkInterval
		if l.node.Adapter == nil {
			l.checkIdle()
		}
		l.counts.copyFrom(l.router)
	}
}

func (l *loop) handle(now grclock.Millis, e *event) {
	switch e.kind {
	case queryEvent:
		l.take(e.ask, l.router.StartQuery(now, grrouter.Query{Collection: e.ask.collection, Deadline: e.ask.deadline}, &l.out))
	case requestEvent:
		request := grrouter.Request{Collection: e.ask.collection, Key: e.ask.key, Deadline: e.ask.deadline}
		l.take(e.ask, l.router.StartRequest(now, request, &l.out))
	case routeEvent:
		l.take(e.ask, l.router.StartRoute(now, e.ask.request.RouteAsk, &l.out))
	case peersEvent:
		l.setPeers(now, e.members)
	case tableEvent:
		l.router.SetTable(now, e.table, &l.out)
	case gatherEvent:
		l.gatherDone(now, &e.gathered)
	case restEvent:
		l.router.AskRest(now, l.numbers[e.number], e.want, &l.out)
	case cancelEvent:
		l.router.Cancel(now, l.numbers[e.number], &l.out)
	case upstreamEvent:
		l.upstream(now, &e.upstream)
	case mapEvent:
		l.router.SetMap(e.shardMap)
	case serviceEvent:
		l.setService(now, e)
	case presetEvent:
		l.router.SetPreset(e.active)
	case lowerEvent:
		l.lowering = e.divisor
	case inspectEvent:
		e.inspect(l.router)
	}
	l.carryOut(now)
	l.reportLowered()
}

func (l *loop) take(a ask, id grid.QueryID) {
	l.asks[id] = a
	l.numbers[a.number] = id
}

// reportLowered tells the control duty when no more connections are held than
// the lowered share allows.
func (l *loop) reportLowered() {
	if l.lowering > 0 && l.router.WithinShares() {
		l.node.control.post(controlEvent{lowered: l.lowering})
		l.lowering = 0
	}
}

func (l *loop) setService(now grclock.Millis, e *event) {
	for id, address := range e.addresses {
		l.addresses[id] = address
	}
	l.router.SetService(now, e.service, e.searchers, &l.out)
}

func (l *loop) upstream(now grclock.Millis, e *grupstream.Event) {
	p := e.Place
	switch e.Kind {
	case grupstream.Opened:
		l.router.ConnOpened(now, p.Leaf, p.Searcher, p.Conn, &l.out)
	case grupstream.NotOpen:
		l.router.ConnFailed(now, p.Leaf, p.Searcher, &l.out)
	case grupstream.Replied:
		if e.Reply.Kind == grleaf.Draining {
			s := l.router.Leaf(p.Leaf).SearcherAt(p.Searcher)
			l.node.control.post(controlEvent{leaving: &leavingEvent{s.ID, s.Run}})
		}
		l.router.Reply(now, p.Leaf, e.Reply, &l.out)
	case grupstream.Ended:
		l.router.ConnLost(now, p.Leaf, p.Searcher, p.Conn, &l.out)
	case grupstream.Checked:
		l.router.ReturnConn(now, p.Leaf, p.Searcher, p.Conn, e.Healthy, &l.out)
	}
}

// checkIdle sends a small call on the idle connection of each searcher that
// was unused for longest, to find those that went silent.
func (l *loop) checkIdle() {
	for i := range l.router.Services() {
		leaf := l.router.Leaf(int32(i))
		for s := range leaf.Searchers() {
			if conn, ok := leaf.Draw(int32(s)); ok {
				l.node.pool.Check(grupstream.Place{Leaf: int32(i), Searcher: int32(s), Conn: conn})
			}
		}
	}
}

// carryOut does what the router decided, until it has nothing left.
func (l *loop) carryOut(now grclock.Millis) {
	for {
		for i := range l.out.Actions {
			l.act(&l.out.Actions[i])
		}
		for i := range l.out.Delegations {
			l.delegate(now, &l.out.Delegations[i])
		}
		for i := range l.out.Results {
			l.deliver(&l.out.Results[i])
		}
		l.out.Reset()
		if len(l.unsent) == 0 {
			return
		}
		u := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.router.Reply(now, u.leaf, grleaf.Reply{Attempt: u.attempt, Kind: grleaf.Refused, KeepConn: true}, &l.out)
	}
}

func (l *loop) act(a *grleaf.Action) {
	place := grupstream.Place{Leaf: a.Service, Searcher: a.Searcher, Conn: a.Conn}
	address := l.addresses[a.ID]
	switch a.Kind {
	case grleaf.OpenConn:
		l.node.pool.Open(place, address, l.node.traffic("searcher", l.router.Leaf(a.Service).SearcherAt(a.Searcher).Domain))
	case grleaf.CloseConn:
		l.node.pool.Close(place)
	case grleaf.CancelAttempt:
		if l.node.Adapter == nil {
			l.node.pool.Cancel(address, a.Attempt)
		}
	case grleaf.Send:
		l.send(place, a)
	}
}

func (l *loop) send(place grupstream.Place, a *grleaf.Action) {
	ask := l.asks[a.Key.Query]
	if ask.request != nil {
		l.node.pool.Send(place, grupstream.Sending{
			Attempt: a.Attempt, Searcher: a.ID, Remaining: a.Timeout, Exchange: l.node.Adapter.Exchange(ask.request),
		})
		return
	}
	shard, snapshot, ok := l.router.Describe(a.Key)
	if !ok {
		l.unsent = append(l.unsent, unsent{a.Service, a.Attempt})
		return
	}
	search := &grupstream.Search{Context: ask.ctx, Asked: grwire.SearchRequest{
		Caller:      l.node.pool.Caller,
		Attempt:     uint64(a.Attempt),
		Collection:  string(ask.collection),
		Index:       uint64(snapshot.Index),
		Map:         uint64(snapshot.Map),
		From:        uint64(shard.From),
		To:          uint64(shard.To),
		Text:        ask.text,
		RequestID:   string(ask.requestID),
		RemainingMS: int64(a.Timeout),
	}}
	l.node.pool.Send(place, grupstream.Sending{Attempt: a.Attempt, Exchange: search})
}

func (l *loop) deliver(result *grrouter.Result) {
	ask, ok := l.asks[result.ID]
	if !ok {
		return
	}
	if !result.More {
		delete(l.asks, result.ID)
		delete(l.numbers, ask.number)
	}
	if ask.request != nil {
		l.noteEnd(ask.request, result)
	}
	ask.result <- *result
}

// counts publishes the counters of the router.
type counts struct{ gauges map[string]metrics.Gauge }

func (c *counts) register(registry metrics.Registry) {
	c.gauges = make(map[string]metrics.Gauge)
	for name := range readCounts(&grrouter.Router{}) {
		c.gauges[name] = metrics.GetOrRegisterGauge(name, registry)
	}
}

func (c *counts) copyFrom(r *grrouter.Router) {
	for name, value := range readCounts(r) {
		c.gauges[name].Update(int64(value))
	}
}

func readCounts(r *grrouter.Router) map[string]uint64 {
	var sum grleaf.Counters
	for i := range r.Services() {
		sum.Add(&r.Leaf(int32(i)).Counters)
	}
	return map[string]uint64{
		"queries_started":       r.Counters.Queries,
		"queries_done":          r.Counters.Complete,
		"queries_partial":       r.Counters.Partial,
		"queries_not_run":       r.Counters.NotRun,
		"queries_unknown":       r.Counters.Unknown,
		"queries_refused":       r.Counters.Refused,
		"queries_rerun":         r.Counters.Reruns,
		"queries_cancelled":     r.Counters.Cancelled,
		"answers_malformed":     r.Counters.Malformed,
		"groups_delegated":      r.Counters.Delegated,
		"groups_taken_back":     r.Counters.Undelegated,
		"subrequests_first":     sum.First,
		"subrequests_hedged":    sum.Hedges,
		"subrequests_retried":   sum.Retries,
		"subrequests_resent":    sum.Resent,
		"subrequests_cancelled": sum.Cancel,
		"hedges_denied":         sum.HedgesDenied,
		"retries_denied":        sum.RetriesDenied,
		"searchers_shed":        sum.Sheds,
		"searchers_ejected":     sum.Ejections,
		"replies_late":          sum.LateReplies,
		"connections_opened":    sum.ConnsOpened,
		"connections_closed":    sum.ConnsClosed,
		"connections_silent":    sum.SilentConns,
	}
}
