// Package grstandquery simulates queries in virtual time, with routers of several
// instances and searchers with faults. It measures latency, coverage, extra load
// and goodput of a dispatch policy and checks invariants. A run depends on its
// Config only.
//
//	report := grstandquery.Run(grstandquery.Config{Seed: 1, Load: 0.5})
//	fmt.Println(report.P99, report.Coverage, report.ExtraLoad)
package grstandquery

import (
	"fmt"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grheap"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsnapshot"
)

// Stragglers selects which searches are slow. A slow search takes 20 times as
// long.
type Stragglers uint8

// The kinds of stragglers. cmd/geraniumbench names them in this order.
const (
	NoStragglers  Stragglers = iota
	SlowSearchers            // all searches of one searcher in 50; which ones are slow changes every 2 s
	SlowAtRandom             // one search in 50, at random
)

// Parameters of stragglers: share of slow searchers or searches, factor for the
// time of a slow search, and time until other searchers are slow.
const (
	slowOneIn  = 50
	slowFactor = 20
	slowPeriod = 2 * grclock.Second
)

// Faults configures the faults of a run: probabilities for each reply, and
// intervals between events. Zero turns a fault off.
type Faults struct {
	Duplicate     float64        // probability that a reply is delivered twice
	Delay         float64        // probability that a reply is delayed
	MaxDelay      grclock.Millis // maximum delay of delayed and duplicate replies
	Drop          float64        // probability that a reply is lost while its connection stays open
	Disconnect    float64        // probability that the connection ends instead of the reply
	IndexInterval grclock.Millis // interval between two index versions
	MapInterval   grclock.Millis // interval between two shard maps
	PauseInterval grclock.Millis // interval between two pauses of instances
	PauseTime     grclock.Millis // duration of a pause
}

// Config holds the parameters of a run. A zero field stands for its default or,
// if none is given, turns the feature off. The defaults are the sizes of the
// collection "dispatch" of the deployment "kinoko".
type Config struct {
	Seed            uint64
	Instances       int               // default: 5
	Services        int               // one for each shard; default: 20
	Searchers       int               // of each service; default: 2
	Slots           int               // of each searcher; default: 2
	ConnLimit       int               // of each searcher; default: 25
	ConnectTime     grclock.Millis    // time to open a connection; default: 6 ms
	OneWay          grclock.Millis    // one-way delay between instances and searchers; default: 1 ms
	SearchTime      grclock.Millis    // mean time of a search; default: 10 ms
	Policy          grdispatch.Policy // default: grdispatch.DefaultPolicy
	Load            float64           // offered queries ÷ Capacity; default: 0.5
	Queries         int               // number of queries measured; default: 4000
	Warmup          grclock.Millis    // queries before this time are not measured; default: 4 s
	Deadline        grclock.Millis    // timeout of a query; default: 2 s
	MinCoverage     float64           // minimum coverage of a partial answer
	MaxQueries      int               // queries in flight on one instance; default: 400
	Stragglers      Stragglers
	Oracle          bool // instances know at once which searchers are slow and avoid them
	Faults          Faults
	KillAt          grclock.Millis // time at which the first instance is killed
	CheckInvariants bool           // check invariants, and send one in 8 queries as an at-most-once request
	Bug             Bug
}

// Bug is a bug that is injected on purpose, to show that a check detects it.
type Bug uint8

// The bugs that can be injected.
const (
	NoBug             Bug = iota
	WrongIndexVersion     // a reply holds records of another index version
	WrongQuery            // a reply holds records of another query
	MissingRecords        // a partial result is missing from an answer that does not say so
	FalseNotRun           // a request that ran is reported as not run
	ExcessConns           // an instance uses the full connection limit instead of its share
	DuplicateRecords      // an answer holds a partial result twice
	MissingAnswer         // a query gets no answer
)

func (c *Config) setDefaults() {
	set := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setMillis := func(field *grclock.Millis, value grclock.Millis) {
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
	setMillis(&c.ConnectTime, 6)
	setMillis(&c.OneWay, 1)
	setMillis(&c.SearchTime, 10)
	setMillis(&c.Warmup, 4*grclock.Second)
	setMillis(&c.Deadline, 2*grclock.Second)
	if c.Load == 0 {
		c.Load = 0.5
	}
	if c.Policy == (grdispatch.Policy{}) {
		c.Policy = grdispatch.DefaultPolicy()
	}
}

// Capacity returns the number of queries per second at which all slots are busy.
func (c *Config) Capacity() float64 {
	c.setDefaults()
	return float64(c.Searchers*c.Slots) * float64(grclock.Second) / float64(c.SearchTime)
}

const collectionName = grident.Collection("c")

type task struct {
	at  grclock.Millis
	seq uint64
	run *func()
}

// simulation is the state of a run.
type simulation struct {
	config        Config
	random        grident.Random
	now           grclock.Millis
	seq           uint64
	tasks         grheap.Heap[task]
	instances     []*instance
	searchers     []*searcher // ordered by service
	currentMap    *grsnapshot.ShardMap
	oldestIndex   grsnapshot.Version
	maps          map[grsnapshot.Snapshot]*grsnapshot.ShardMap
	sentMeasured  int // queries sent after the warm-up
	report        Report
	latencies     []grclock.Millis
	firstMeasured grclock.Millis
	lastMeasured  grclock.Millis
}

// Run carries out a simulation and returns its results.
func Run(c Config) Report {
	c.setDefaults()
	sim := &simulation{config: c, random: grident.Random{State: c.Seed}, maps: make(map[grsnapshot.Snapshot]*grsnapshot.ShardMap), oldestIndex: 1}
	sim.tasks.Less = func(a, b task) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }
	sim.build()
	sim.scheduleFaults()
	sim.scheduleArrivals()
	sim.loop()
	sim.finish()
	return sim.report
}

func (sim *simulation) after(span grclock.Millis, do func()) {
	sim.seq++
	sim.tasks.Push(task{sim.now + max(span, 0), sim.seq, &do})
}

func (sim *simulation) loop() {
	for sim.tasks.Len() > 0 {
		t := sim.tasks.Pop()
		sim.now = t.at
		(*t.run)()
	}
}

func (sim *simulation) build() {
	c := &sim.config
	for s := range c.Services {
		for r := range c.Searchers {
			id := grident.SearcherID(fmt.Sprintf("%s/%d", serviceName(s), r))
			sim.searchers = append(sim.searchers, &searcher{sim: sim, id: id, service: s, slowdown: 1})
		}
	}
	sim.currentMap = sim.makeMap(1, 1)
	for i := range c.Instances {
		sim.instances = append(sim.instances, sim.newInstance(i))
	}
}

func serviceName(i int) grident.Service { return grident.Service(fmt.Sprintf("s%02d", i)) }

func (sim *simulation) makeMap(index, version grsnapshot.Version) *grsnapshot.ShardMap {
	m := &grsnapshot.ShardMap{Collection: collectionName, Snapshot: grsnapshot.Snapshot{IndexVersion: index, MapVersion: version}}
	n := sim.config.Services
	for i := range n {
		m.Shards = append(m.Shards, grsnapshot.Shard{
			Range:   grsnapshot.Range{From: grsnapshot.Key(i * shardWidth), To: grsnapshot.Key((i + 1) * shardWidth)},
			Service: serviceName((i + int(version)) % n),
		})
	}
	sim.maps[m.Snapshot] = m
	return m
}

// shardWidth is the number of keys in each shard.
const shardWidth = 1000

// scheduleArrivals schedules the queries, which arrive at random instances as a
// Poisson process at the offered load.
func (sim *simulation) scheduleArrivals() {
	c := &sim.config
	perSecond := c.Capacity() * c.Load
	var next func()
	next = func() {
		if sim.sentMeasured >= c.Queries {
			return
		}
		in := sim.instances[sim.random.IntN(len(sim.instances))]
		for in.killed {
			in = sim.instances[sim.random.IntN(len(sim.instances))]
		}
		in.deliver(func() { in.startQuery(sim.now >= c.Warmup) })
		sim.after(sim.exponential(float64(grclock.Second)/perSecond), next)
	}
	sim.after(20, next)
}

// exponential draws an exponentially distributed time with the mean in
// milliseconds.
func (sim *simulation) exponential(mean float64) grclock.Millis {
	return sim.roundRandomly(-mean * ln(1-sim.random.Float64()))
}

// roundRandomly rounds to whole milliseconds, up or down at random, so that the
// mean stays the same.
func (sim *simulation) roundRandomly(span float64) grclock.Millis {
	whole := grclock.Millis(span)
	if sim.random.Float64() < span-float64(whole) {
		whole++
	}
	return whole
}

func (sim *simulation) searcherByID(id grident.SearcherID) *searcher {
	for _, s := range sim.searchers {
		if s.id == id {
			return s
		}
	}
	return nil
}
