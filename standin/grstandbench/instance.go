package grstandbench

import (
	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

// instance is one entry instance.
type instance struct {
	world   *world
	index   int
	router  *grrouter.Router
	out     grrouter.Out
	asks    map[grid.QueryID]*asked
	conns   map[connKey]*conn
	dead    bool
	paused  bool
	backlog []func()
	wakeAt  grclock.Millis
}

type connKey struct {
	leaf, searcher int32
	conn           grleaf.ConnID
}

// conn is a connection as both ends see it.
type conn struct {
	searcher *searcher
	open     bool
}

// asked is a query in flight, as its caller sees it.
type asked struct {
	at       grclock.Millis
	measured bool
	once     bool
	ran      int // starts at searchers
}

func (w *world) newInstance(index int) *instance {
	c := &w.config
	in := &instance{world: w, index: index, wakeAt: grclock.Never}
	in.asks = make(map[grid.QueryID]*asked)
	in.conns = make(map[connKey]*conn)
	in.router = &grrouter.Router{Policy: c.Policy, Seed: c.Seed + uint64(index), DropBodies: !c.Check, Margin: 1}
	in.router.Init()
	in.router.SetPreset(grpreset.Active{Generation: 1, Preset: grpreset.Preset{
		HedgeBudget: c.Policy.HedgeShare, RetryBudget: c.Policy.RetryShare,
		MaxQueries: c.MaxQueries, MaxQueue: c.Policy.MaxQueue,
		Default: grpreset.Terms{Deadline: c.Deadline, MinCoverage: c.MinCover, AllowPartial: true, Weight: 1},
	}})
	in.router.SetMap(w.current)
	in.setShares(c.Instances)
	return in
}

// setShares gives the instance its part of each connection limit.
func (in *instance) setShares(divisor int) {
	w := in.world
	c := &w.config
	share := c.ConnLimit / divisor
	if c.Plant == TooManyConns {
		share = c.ConnLimit
	}
	for s := range c.Services {
		var list []grleaf.Searcher
		for r := range c.Searchers {
			known := w.searchers[s*c.Searchers+r]
			list = append(list, grleaf.Searcher{
				ID: known.id, Slots: c.Slots, Share: share, Leaving: c.Oracle && known.factor > 1,
			})
		}
		in.router.SetService(w.now, serviceName(s), list, &in.out)
	}
	in.carryOut()
}

func (in *instance) ask(measured bool) {
	w := in.world
	if measured {
		w.asked++
		if w.firstAt == 0 {
			w.firstAt = w.now
		}
		w.lastAt = w.now
	}
	a := &asked{at: w.now, measured: measured}
	if w.config.Check && w.random.Below(8) == 0 {
		a.once = true
		key := grsnapshot.Key(w.random.Below(w.config.Services * shardWidth))
		id := in.router.StartRequest(w.now, grrouter.Request{Collection: collectionName, Key: key, Deadline: w.now + w.config.Deadline}, &in.out)
		in.asks[id] = a
	} else {
		id := in.router.StartQuery(w.now, grrouter.Query{Collection: collectionName, Deadline: w.now + w.config.Deadline}, &in.out)
		in.asks[id] = a
	}
	in.carryOut()
}

// deliver runs an event on the instance, later if it is paused.
func (in *instance) deliver(do func()) {
	switch {
	case in.dead:
	case in.paused:
		in.backlog = append(in.backlog, do)
	default:
		do()
	}
}

// carryOut does what the router decided and plans its next Tick.
func (in *instance) carryOut() {
	for i := range in.out.Actions {
		in.act(in.out.Actions[i])
	}
	for i := range in.out.Results {
		in.end(&in.out.Results[i])
	}
	in.out.Reset()
	wake := in.router.NextWake()
	if wake >= in.wakeAt && in.wakeAt > in.world.now || wake >= grclock.Never {
		return
	}
	in.wakeAt = max(wake, in.world.now)
	in.world.after(wake-in.world.now, func() {
		if in.wakeAt == in.world.now {
			in.wakeAt = grclock.Never
		}
		in.deliver(func() {
			in.router.Tick(in.world.now, &in.out)
			in.carryOut()
		})
	})
}

func (in *instance) act(a grleaf.Action) {
	key := connKey{a.Service, a.Searcher, a.Conn}
	switch a.Kind {
	case grleaf.OpenConn:
		in.open(key, a.ID)
	case grleaf.CloseConn:
		if c := in.conns[key]; c != nil {
			c.searcher.close(c)
			delete(in.conns, key)
		}
	case grleaf.CancelAttempt:
		s := in.world.byID(a.ID)
		in.world.after(in.world.config.OneWay, func() { s.cancel(in, a.Attempt) })
	case grleaf.Send:
		in.send(key, a)
	}
}

func (in *instance) open(key connKey, id grid.SearcherID) {
	w := in.world
	c := &conn{searcher: w.byID(id)}
	in.conns[key] = c
	w.after(w.config.OneWay, func() {
		ok := !in.dead && in.conns[key] == c && c.searcher.accept(c)
		w.after(w.config.Connect, func() {
			in.deliver(func() {
				if ok {
					in.router.ConnOpened(w.now, key.leaf, key.searcher, key.conn, &in.out)
				} else if in.conns[key] == c {
					delete(in.conns, key)
					in.router.ConnFailed(w.now, key.leaf, key.searcher, &in.out)
				}
				in.carryOut()
			})
		})
	})
}

func (in *instance) send(key connKey, a grleaf.Action) {
	w := in.world
	shard, snapshot, ok := in.router.Describe(a.Key)
	if !ok {
		w.after(0, func() {
			in.reply(key.leaf, grleaf.Reply{Attempt: a.Attempt, Kind: grleaf.Refused, KeepConn: true})
		})
		return
	}
	c := in.conns[key]
	job := &job{
		in: in, leaf: key.leaf, conn: c, attempt: a.Attempt, query: a.Key.Query,
		asked: in.asks[a.Key.Query], shard: shard, snapshot: snapshot, deadline: w.now + a.Timeout,
	}
	if job.asked == nil {
		job.asked = &asked{}
	}
	w.report.Sent++
	w.after(w.config.OneWay, func() { c.searcher.take(job) })
}

func (in *instance) reply(leaf int32, r grleaf.Reply) {
	in.deliver(func() {
		in.router.Reply(in.world.now, leaf, r, &in.out)
		in.carryOut()
	})
}
