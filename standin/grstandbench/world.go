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
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grheap"
	"geraniumrouter/state/grid"
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

func (w *world) byID(id grid.SearcherID) *searcher {
	for _, s := range w.searchers {
		if s.id == id {
			return s
		}
	}
	return nil
}
