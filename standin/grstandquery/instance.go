package grstandquery

import (
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

// instance is one entry instance.
type instance struct {
	sim     *simulation
	index   int
	router  *grrouter.Router
	out     grrouter.Output
	queries map[grident.QueryID]*pendingQuery
	conns   map[connKey]*conn
	killed  bool
	paused  bool
	backlog []func()
	wakeAt  grclock.Millis
}

type connKey struct {
	dispatcher, searcher int32
	conn                 grdispatch.ConnID
}

// conn is a connection between an instance and a searcher.
type conn struct {
	searcher *searcher
	open     bool
}

// pendingQuery is a query or at-most-once request in flight.
type pendingQuery struct {
	sentAt     grclock.Millis // when it was sent
	measured   bool           // sent after the warm-up
	atMostOnce bool           // at-most-once request
	runs       int            // number of searches started for it
}

func (sim *simulation) newInstance(index int) *instance {
	c := &sim.config
	in := &instance{sim: sim, index: index, wakeAt: grclock.Never}
	in.queries = make(map[grident.QueryID]*pendingQuery)
	in.conns = make(map[connKey]*conn)
	in.router = &grrouter.Router{Policy: c.Policy, Seed: c.Seed + uint64(index), OmitRecords: !c.CheckInvariants, DeadlineMargin: 1}
	in.router.Init()
	in.router.SetPreset(grpreset.ActivePreset{Generation: 1, Preset: grpreset.Preset{
		HedgeBudget: c.Policy.HedgeRatio, RetryBudget: c.Policy.RetryRatio,
		MaxQueries: c.MaxQueries, MaxQueue: c.Policy.MaxQueue,
		Default: grpreset.CollectionPolicy{Deadline: c.Deadline, MinCoverage: c.MinCoverage, AllowPartial: true, Weight: 1},
	}})
	in.router.SetShardMap(sim.currentMap)
	in.setConnShares(c.Instances)
	return in
}

// setConnShares sets the instance's share of each connection limit and, with
// Config.Oracle, which searchers to avoid.
func (in *instance) setConnShares(divisor int) {
	sim := in.sim
	c := &sim.config
	share := c.ConnLimit / divisor
	if c.Bug == ExcessConns {
		share = c.ConnLimit
	}
	for s := range c.Services {
		var list []grdispatch.Searcher
		for r := range c.Searchers {
			searcher := sim.searchers[s*c.Searchers+r]
			list = append(list, grdispatch.Searcher{
				ID: searcher.id, Slots: c.Slots, ConnLimit: share, Leaving: c.Oracle && searcher.slowdown > 1,
			})
		}
		in.router.SetService(sim.now, serviceName(s), list, &in.out)
	}
	in.applyOutput()
}

func (in *instance) startQuery(measured bool) {
	sim := in.sim
	if measured {
		sim.sentMeasured++
		if sim.firstMeasured == 0 {
			sim.firstMeasured = sim.now
		}
		sim.lastMeasured = sim.now
	}
	q := &pendingQuery{sentAt: sim.now, measured: measured}
	if sim.config.CheckInvariants && sim.random.IntN(8) == 0 {
		q.atMostOnce = true
		key := grsnapshot.Key(sim.random.IntN(sim.config.Services * shardWidth))
		id := in.router.StartRequest(sim.now, grrouter.Request{Collection: collectionName, Key: key, Deadline: sim.now + sim.config.Deadline}, &in.out)
		in.queries[id] = q
	} else {
		id := in.router.StartQuery(sim.now, grrouter.Query{Collection: collectionName, Deadline: sim.now + sim.config.Deadline}, &in.out)
		in.queries[id] = q
	}
	in.applyOutput()
}

// deliver runs an event on the instance, or after the pause if it is paused.
// Events of a killed instance are dropped.
func (in *instance) deliver(do func()) {
	switch {
	case in.killed:
	case in.paused:
		in.backlog = append(in.backlog, do)
	default:
		do()
	}
}

// applyOutput executes the actions and handles the results that the router
// returned, and schedules the next Tick.
func (in *instance) applyOutput() {
	for i := range in.out.Actions {
		in.executeAction(in.out.Actions[i])
	}
	for i := range in.out.Results {
		in.handleResult(&in.out.Results[i])
	}
	in.out.Reset()
	wake := in.router.NextWake()
	if wake >= in.wakeAt && in.wakeAt > in.sim.now || wake >= grclock.Never {
		return
	}
	in.wakeAt = max(wake, in.sim.now)
	in.sim.after(wake-in.sim.now, func() {
		if in.wakeAt == in.sim.now {
			in.wakeAt = grclock.Never
		}
		in.deliver(func() {
			in.router.Tick(in.sim.now, &in.out)
			in.applyOutput()
		})
	})
}

func (in *instance) executeAction(a grdispatch.Action) {
	key := connKey{a.Service, a.Searcher, a.Conn}
	switch a.Kind {
	case grdispatch.OpenConn:
		in.open(key, a.ID)
	case grdispatch.CloseConn:
		if c := in.conns[key]; c != nil {
			c.searcher.close(c)
			delete(in.conns, key)
		}
	case grdispatch.CancelAttempt:
		s := in.sim.searcherByID(a.ID)
		in.sim.after(in.sim.config.OneWay, func() { s.cancel(in, a.Attempt) })
	case grdispatch.Send:
		in.send(key, a)
	}
}

func (in *instance) open(key connKey, id grident.SearcherID) {
	sim := in.sim
	c := &conn{searcher: sim.searcherByID(id)}
	in.conns[key] = c
	sim.after(sim.config.OneWay, func() {
		ok := !in.killed && in.conns[key] == c && c.searcher.accept(c)
		sim.after(sim.config.ConnectTime, func() {
			in.deliver(func() {
				if ok {
					in.router.ConnOpened(sim.now, key.dispatcher, key.searcher, key.conn, &in.out)
				} else if in.conns[key] == c {
					delete(in.conns, key)
					in.router.ConnFailed(sim.now, key.dispatcher, key.searcher, &in.out)
				}
				in.applyOutput()
			})
		})
	})
}

func (in *instance) send(key connKey, a grdispatch.Action) {
	sim := in.sim
	shard, snapshot, ok := in.router.SubRequestTarget(a.Key)
	if !ok {
		sim.after(0, func() {
			in.handleReply(key.dispatcher, grdispatch.Reply{Attempt: a.Attempt, Kind: grdispatch.Refused, ReusableConn: true})
		})
		return
	}
	c := in.conns[key]
	job := &job{
		from: in, dispatcher: key.dispatcher, conn: c, attempt: a.Attempt, query: a.Key.Query,
		pending: in.queries[a.Key.Query], shard: shard, snapshot: snapshot, deadline: sim.now + a.Timeout,
	}
	if job.pending == nil {
		job.pending = &pendingQuery{}
	}
	sim.report.SubRequests++
	sim.after(sim.config.OneWay, func() { c.searcher.handle(job) })
}

func (in *instance) handleReply(dispatcher int32, r grdispatch.Reply) {
	in.deliver(func() {
		in.router.HandleReply(in.sim.now, dispatcher, r, &in.out)
		in.applyOutput()
	})
}
