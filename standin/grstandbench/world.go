// Package grstandbench drives routers of several instances against small fake
// searchers in virtual time, to measure decisions and to check what must
// always hold. A run is decided by its Config alone.
//
//	report := grstandbench.Run(grstandbench.Config{Seed: 1, Load: 0.5})
//	fmt.Println(report.P99, report.Coverage, report.ExtraLoad)
package grstandbench

import (
	"fmt"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grheap"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

// Stragglers selects which searches are slow.
type Stragglers uint8

// The kinds of stragglers.
const (
	NoStragglers      Stragglers = iota
	SlowForStretches             // one searcher in 50, for 2 s, then another
	SlowAtRandomTimes            // one search in 50
)

// Terms of the stragglers.
const (
	slowOneIn   = 50
	slowFactor  = 20
	slowStretch = 2 * grclock.Second
)

// Faults are probabilities for each message, and mean pauses between events;
// zero turns one off.
type Faults struct {
	Duplicate   float64        // a reply comes twice
	Delay       float64        // a reply comes up to DelayBy late
	DelayBy     grclock.Millis // for Delay
	Drop        float64        // a reply is lost and its connection silent
	Cut         float64        // the connection ends in place of a reply
	Versions    grclock.Millis // between two index versions
	Repartition grclock.Millis // between two shard maps
	Pause       grclock.Millis // between two pauses of an instance
	PauseFor    grclock.Millis
}

// Config decides on a run. Zero fields stand for the co-operative's dispatch.
type Config struct {
	Seed       uint64
	Instances  int
	Services   int
	Searchers  int // of each service
	Slots      int // of each searcher
	ConnLimit  int // of each searcher
	Connect    grclock.Millis
	OneWay     grclock.Millis
	Search     grclock.Millis // mean time of a search
	Policy     grleaf.Policy
	Load       float64 // offered queries ÷ what the slots can do
	Queries    int     // number of queries measured
	Warmup     grclock.Millis
	Deadline   grclock.Millis
	MinCover   float64
	MaxQueries int
	Stragglers Stragglers
	Oracle     bool // instances are told at once which searchers are slow
	Faults     Faults
	KillAt     grclock.Millis // the first instance is lost at this time
	Check      bool           // check what must always hold
	Plant      Plant
}

// Plant is a fault put in on purpose, to show that a check finds it.
type Plant uint8

// The planted faults.
const (
	NoPlant          Plant = iota
	WrongVersion           // a reply holds records of another index version
	WrongRequest           // a reply holds records of another request
	LostRecords            // an answer loses a part without saying so
	FalseNotRun            // a request that ran is called not run
	TooManyConns           // an instance takes more than its share
	DoubledRecords         // an answer holds a part twice
	ForgottenRequest       // a query gets no answer
)

func (c *Config) fill() {
	set := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setSpan := func(field *grclock.Millis, value grclock.Millis) {
		if *field == 0 {
			*field = value
		}
	}
	set(&c.Instances, 5)
	set(&c.Services, 20)
	set(&c.Searchers, 2)
	set(&c.Slots, 2)
	set(&c.ConnLimit, 25)
	set(&c.Queries, 4000)
	set(&c.MaxQueries, 400)
	setSpan(&c.Connect, 6)
	setSpan(&c.OneWay, 1)
	setSpan(&c.Search, 10)
	setSpan(&c.Warmup, 4*grclock.Second)
	setSpan(&c.Deadline, 2*grclock.Second)
	if c.Load == 0 {
		c.Load = 0.5
	}
	if c.Policy == (grleaf.Policy{}) {
		c.Policy = grleaf.DefaultPolicy()
	}
}

// Capacity returns the queries per second that the slots can do.
func (c *Config) Capacity() float64 {
	c.fill()
	return float64(c.Searchers*c.Slots) * float64(grclock.Second) / float64(c.Search)
}

const collectionName = grid.Collection("c")

type task struct {
	at  grclock.Millis
	seq uint64
	do  *func()
}

// world is one run.
type world struct {
	config    Config
	random    grid.Random
	now       grclock.Millis
	seq       uint64
	tasks     grheap.Heap[task]
	instances []*instance
	searchers []*searcher // service by service
	current   *grsnapshot.Map
	oldest    grsnapshot.Version
	maps      map[grsnapshot.Snapshot]*grsnapshot.Map
	asked     int
	report    Report
	latencies []grclock.Millis
	firstAt   grclock.Millis
	lastAt    grclock.Millis
}

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

// Run carries out the run and reports.
func Run(c Config) Report {
	c.fill()
	w := &world{config: c, random: grid.Random{State: c.Seed}, maps: make(map[grsnapshot.Snapshot]*grsnapshot.Map), oldest: 1}
	w.tasks.Less = func(a, b task) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }
	w.build()
	w.planFaults()
	w.planArrivals()
	w.loop()
	w.finish()
	return w.report
}

func (w *world) after(span grclock.Millis, do func()) {
	w.seq++
	w.tasks.Push(task{w.now + max(span, 0), w.seq, &do})
}

func (w *world) loop() {
	for w.tasks.Len() > 0 {
		t := w.tasks.Pop()
		w.now = t.at
		(*t.do)()
	}
}

func (w *world) build() {
	c := &w.config
	for s := range c.Services {
		for r := range c.Searchers {
			id := grid.SearcherID(fmt.Sprintf("%s/%d", serviceName(s), r))
			w.searchers = append(w.searchers, &searcher{world: w, id: id, service: s, factor: 1})
		}
	}
	w.current = w.makeMap(1, 1)
	for i := range c.Instances {
		w.instances = append(w.instances, w.newInstance(i))
	}
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

func serviceName(i int) grid.Service { return grid.Service(fmt.Sprintf("s%02d", i)) }

func (w *world) makeMap(index, version grsnapshot.Version) *grsnapshot.Map {
	m := &grsnapshot.Map{Collection: collectionName, Snapshot: grsnapshot.Snapshot{Index: index, Map: version}}
	n := w.config.Services
	for i := range n {
		m.Shards = append(m.Shards, grsnapshot.Shard{
			Range:   grsnapshot.Range{From: grsnapshot.Key(i * shardWidth), To: grsnapshot.Key((i + 1) * shardWidth)},
			Service: serviceName((i + int(version)) % n),
		})
	}
	w.maps[m.Snapshot] = m
	return m
}

// shardWidth is the number of keys in each shard.
const shardWidth = 1000

// planArrivals asks queries at random times at the offered load.
func (w *world) planArrivals() {
	c := &w.config
	perSecond := c.Capacity() * c.Load
	var next func()
	next = func() {
		if w.asked >= c.Queries {
			return
		}
		in := w.instances[w.random.Below(len(w.instances))]
		for in.dead {
			in = w.instances[w.random.Below(len(w.instances))]
		}
		in.deliver(func() { in.ask(w.now >= c.Warmup) })
		w.after(w.exponential(float64(grclock.Second)/perSecond), next)
	}
	w.after(20, next)
}

// exponential draws a span with the mean in milliseconds. Parts of a
// millisecond are kept by chance, so that the mean is right.
func (w *world) exponential(mean float64) grclock.Millis {
	return w.rounded(-mean * logOf(1-w.random.Float()))
}

func (w *world) rounded(span float64) grclock.Millis {
	whole := grclock.Millis(span)
	if w.random.Float() < span-float64(whole) {
		whole++
	}
	return whole
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

func (w *world) byID(id grid.SearcherID) *searcher {
	for _, s := range w.searchers {
		if s.id == id {
			return s
		}
	}
	return nil
}
