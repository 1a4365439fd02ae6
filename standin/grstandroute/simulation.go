// Package grstandroute simulates requests on routes in virtual time: routers of
// several instances, which delegate groups of shards to each other, and
// searchers with faults and rate limits. It measures the answers that callers receive and checks
// invariants. A run depends on its Config only.
//
//	report := grstandroute.Run(grstandroute.Config{Seed: 1, SearcherPause: 100})
//	fmt.Println(report.InObjective, report.Violations)
package grstandroute

import (
	"fmt"
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grheap"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// Bug is a bug that is injected on purpose, to show that a check detects it.
type Bug uint8

// The bugs that can be injected.
const (
	NoBug              Bug = iota
	LostReplyAsNotSent     // a lost reply is reported as an attempt that was not sent
	NoExtraLimit           // hedges and retries are not limited
	IgnoreReserved         // an owner also uses the searchers reserved for the requesting instance
	ColdUnknown            // no instance knows what cold searchers tolerate
	OldConnsTrusted        // instances do not notice that connections to a searcher broke
)

// Config holds the parameters of a run. A zero field stands for its default or,
// if none is given, turns the feature off.
type Config struct {
	Seed                 uint64
	Instances            int            // default: 5
	Shards               int            // default: 20
	Domains              int            // number of failure domains; default: 4
	Searchers            int            // of each shard, in different failure domains; default: 2
	Slots                int            // of each searcher; default: 2
	SearchTime           grclock.Millis // mean time of a sub-request, which varies by half of it; default: 10 ms
	Objective            grclock.Millis // latency objective of the route to all shards; default: 100 ms
	Interval             grclock.Millis // mean interval between two requests; default: 12 ms
	Duration             grclock.Millis // time in which requests are sent; default: 20 s
	NoDelegation         bool           // instances do not delegate shards to others
	Elapsed              grclock.Millis // time that every second caller has used before it sends its request
	NoRemainingTime      bool           // callers do not state their remaining time
	PeersReportRemaining bool           // instances inform each other of the remaining time of callers

	SearcherPause    grclock.Millis // duration of the pauses of each searcher
	SearcherPauseGap grclock.Millis // mean time between two pauses of a searcher; default: 2.5 s
	SlowShare        float64        // share of the searchers that take ten times as long
	LostShare        float64        // share of replies that are lost because the connection ends
	FailedShare      float64        // share of replies that are failures
	InstancePause    grclock.Millis // duration of a pause of a random instance each second
	KillInstance     bool           // a random instance is killed halfway through
	RestartEvery     grclock.Millis // interval between restarts of a random instance, of which the others learn at different times
	PeerDelay        grclock.Millis // maximum extra delay of one in peerDelayOneIn messages between instances
	ReplyTime        grclock.Millis // processing time of an instance for each reply of a searcher
	ReplyTimeUnknown bool           // routers do not take ReplyTime into account
	LargeInstances   int            // the first so many instances process replies largeSpeed times as fast as the others
	CapacityUnknown  bool           // instances do not know each other's processor capacity
	RateLimits       []RateLimit    // rate limits that searchers state
	OnlyOnce         bool           // all requests are for one service, and not idempotent
	ConnLimit        int            // connections that each searcher accepts from all instances together; it resets those beyond; 0: no limit
	Recut            bool           // a third through, searchers of another set of shards register, which the table names recutDelay later
	RestartAll       bool           // all instances are killed halfway and restarted; each knows only itself at first
	Partition        bool           // the members are divided in two halves in the middle third
	CallersReturn    bool           // a caller that is told that its request did not run returns once, after the stated time, however long
	Load             Load           // callers in place of the load of Interval
	ColdPerSecond    float64        // requests per second that cold searchers tolerate; 0: no limit
	Spread           bool           // the searchers of each shard are in different failure domains, if there are enough of these
	ColdTime         grclock.Millis // how long they are cold; default: 8 s
	ColdFaults       []ColdFault
	KillAllocatorAt  grclock.Millis // the instance that allocates the units of the most searchers is killed then
	Bug              Bug
}

// RateLimit is a limit on requests that some searchers state in their answers for a while.
// Limits of the same searchers must be given in the order of their times.
type RateLimit struct {
	From, Until grclock.Millis
	PerSecond   float64 // infinite: no limit any more
	Shards      int     // the searchers of the first so many shards
	Searchers   int     // the first so many searchers of each of these shards
}

// Report holds the results of a run.
type Report struct {
	// Requests: all, answered within and after the objective, failed, not run.
	Requests, InObjective, Late, Failed, NotRun int
	Coverage                                    float64 // mean share of the shards in answers
	// Mean over all requests of that share squared, with 0 for each request that was not
	// answered within the objective.
	Score    float64
	P50, P99 grclock.Millis
	// Attempts that reached searchers: all, and those beyond the first for each shard of a request.
	Attempts, ExtraAttempts int
	CrossDomain             int             // attempts that came from another failure domain
	Limited                 int             // attempts that reached searchers while their rate limits were in force
	Returned, ReturnServed  int             // requests of callers that returned: all, and those answered
	ConnsOpened, Resets     int             // with ConnLimit: connections opened, and those that searchers reset
	MostConns               int             // with ConnLimit: most connections that a searcher held at a time
	Cold, MostCold          int             // attempts that reached cold searchers: all, and the most at one of them in a second
	SlowestNotRun           grclock.Millis  // longest time until a caller was told that its request did not run
	Heavy, Others, Calm     CallerReport    // with Load: of caller 0 if it differs, of the others, and of all in calm times
	ByRequest               []CallerOutcome // with Load: of each planned request
	LessUrgent              CallerReport    // with Load: of the callers with a less urgent priority
	Violations              []string        // the first few violated invariants
}

// peerDelayOneIn is the number of messages between instances of which one is delayed.
const peerDelayOneIn = 10

// largeSpeed is the processor capacity of a large instance relative to that of the others.
const largeSpeed = 4

// One-way delays within the deployment and to callers, and the limit on extra
// attempts for each service.
const (
	oneWay       = 1 * grclock.Millisecond
	callerOneWay = 2 * grclock.Millisecond
	extraRatio   = 0.2
	extraCount   = 54
	extraWindow  = 10 * grclock.Second
)

func (c *Config) setDefaults() {
	set := func(v *int, to int) {
		if *v == 0 {
			*v = to
		}
	}
	setMillis := func(v *grclock.Millis, to grclock.Millis) {
		if *v == 0 {
			*v = to
		}
	}
	set(&c.Instances, 5)
	set(&c.Shards, 20)
	set(&c.Domains, 4)
	set(&c.Searchers, 2)
	set(&c.Slots, 2)
	setMillis(&c.SearchTime, 10)
	setMillis(&c.Objective, 100)
	setMillis(&c.Interval, 12)
	setMillis(&c.Duration, 20*grclock.Second)
	setMillis(&c.SearcherPauseGap, 2500)
	setMillis(&c.ColdTime, 8*grclock.Second)
}

type timer struct {
	at  grclock.Millis
	seq uint64
	do  func()
}

type simulation struct {
	config      Config
	now         grclock.Millis
	random      grident.Random
	timers      grheap.Heap[*timer]
	seq         uint64
	table       *grroutes.Table
	instances   []*instance
	searchers   []*searcher
	published   map[grident.SearcherID]publishedRateLimit // by instances to each other
	requests    []*request
	registered  int                            // services whose searchers have registered, the first ones
	partitioned bool                           // instances reach those of their own half only
	evacuated   map[grident.FailureDomain]bool // replaced by each change
	report      Report
	latencies   []grclock.Millis
	coverage    float64
}

// Run carries out a simulation and returns its results.
func Run(c Config) Report {
	c.setDefaults()
	sim := &simulation{config: c, random: grident.Random{State: c.Seed}, published: make(map[grident.SearcherID]publishedRateLimit)}
	sim.timers.Less = func(a, b *timer) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }
	sim.build()
	sim.scheduleFaults()
	sim.scheduleRequests()
	for sim.timers.Len() > 0 {
		due := sim.timers.Pop()
		if c.ConnLimit > 0 && due.at > c.Duration+settleTime {
			break // Refused connections are tried again without end.
		}
		sim.now = due.at
		due.do()
	}
	sim.finish()
	return sim.report
}

func (sim *simulation) after(span grclock.Millis, do func()) {
	sim.seq++
	sim.timers.Push(&timer{sim.now + max(span, 0), sim.seq, do})
}

// peerOneWay draws the delay of a message between instances.
func (sim *simulation) peerOneWay() grclock.Millis {
	if sim.config.PeerDelay > 0 && sim.random.IntN(peerDelayOneIn) == 0 {
		return oneWay + grclock.Millis(sim.random.IntN(int(sim.config.PeerDelay)))
	}
	return oneWay
}

func serviceName(i int) grident.Service { return grident.Service(fmt.Sprintf("shard-%03d", i)) }

func domainName(i int) grident.FailureDomain {
	return grident.FailureDomain(fmt.Sprintf("domain-%d", i))
}

func (sim *simulation) build() {
	c := &sim.config
	shards := c.Shards
	if c.Recut {
		shards *= 2
	}
	for i := range shards {
		name := serviceName(i)
		for k := range c.Searchers {
			domain := domainName((i + k*(1+i/c.Domains)) % c.Domains)
			if c.Spread {
				domain = domainName((i + k) % c.Domains)
			}
			s := &searcher{sim: sim, id: grident.SearcherID(fmt.Sprintf("%s/%d", name, k)), service: name, domain: domain, slowdown: 1}
			if sim.random.Float64() < c.SlowShare {
				s.slowdown = 10
			}
			sim.searchers = append(sim.searchers, s)
		}
	}
	sim.setRateLimits()
	sim.table, sim.registered = sim.newTable(1, 0), c.Shards
	for i := range c.Instances {
		sim.instances = append(sim.instances, sim.newInstance(i))
	}
	for _, in := range sim.instances {
		in.start(sim.instances)
	}
}

// scheduleFaults schedules the faults.
func (sim *simulation) scheduleFaults() {
	c := &sim.config
	for _, s := range sim.searchers {
		if c.SearcherPause > 0 {
			sim.after(grclock.Millis(sim.random.IntN(int(c.SearcherPauseGap))), s.pause)
		}
	}
	if c.InstancePause > 0 {
		for at := grclock.Second; at < c.Duration; at += grclock.Second {
			sim.after(at, func() { sim.instances[sim.random.IntN(len(sim.instances))].pause(c.InstancePause) })
		}
	}
	if c.RestartEvery > 0 {
		for at := c.RestartEvery; at < c.Duration; at += c.RestartEvery {
			sim.after(at, func() { sim.restart(sim.random.IntN(len(sim.instances))) })
		}
	}
	sim.scheduleColdFaults()
	if c.Recut {
		sim.after(c.Duration/3, sim.recut)
	}
	if c.RestartAll {
		sim.after(c.Duration/2, sim.restartAll)
	}
	if c.Partition {
		sim.after(c.Duration/3, sim.partition)
	}
	if c.KillInstance {
		sim.after(c.Duration/2, func() { sim.instances[sim.random.IntN(len(sim.instances))].kill() })
	}
}

// warmUp is the time before the first request, in which connections are opened.
const warmUp = 500 * grclock.Millisecond

func (sim *simulation) scheduleRequests() {
	if sim.config.Load.Callers > 0 {
		sim.scheduleLoad()
		return
	}
	for at := warmUp; at < sim.config.Duration; at += grclock.Millis(1 + sim.random.IntN(int(2*sim.config.Interval))) {
		sim.after(at, sim.sendRequest)
	}
}

func (sim *simulation) sendRequest() {
	in := sim.instances[sim.random.IntN(len(sim.instances))]
	if in.killed {
		return
	}
	route := &sim.table.Routes[0]
	if sim.random.IntN(10) == 0 || sim.config.OnlyOnce {
		route = &sim.table.Routes[1]
	}
	req := sim.newRequest(in, route)
	if req.number%2 == 0 {
		req.elapsed = sim.config.Elapsed
	}
	sim.after(req.elapsed+callerOneWay, func() { in.deliver(func() { in.handleRequest(req) }) })
}

func (sim *simulation) newRequest(in *instance, route *grroutes.Route) *request {
	req := &request{number: len(sim.requests), at: sim.now, firstAt: sim.now, timeout: route.Timeout, route: route, instance: in, ranOn: make(map[grident.Service][]*searcher)}
	sim.requests = append(sim.requests, req)
	return req
}

func (sim *simulation) reportViolation(format string, args ...any) {
	if len(sim.report.Violations) < 10 {
		sim.report.Violations = append(sim.report.Violations, fmt.Sprintf(format, args...))
	}
}

// finish computes the results and checks the invariants that need all requests.
func (sim *simulation) finish() {
	for _, req := range sim.requests {
		sim.checkRequest(req)
	}
	sim.checkExtraAttempts()
	sim.checkRateLimits()
	sim.checkCold()
	slices.Sort(sim.latencies)
	if n := len(sim.latencies); n > 0 {
		sim.report.P50, sim.report.P99 = sim.latencies[n/2], sim.latencies[n*99/100]
		sim.report.Coverage = sim.coverage / float64(n)
		sim.report.Score /= float64(sim.report.Requests)
	}
}
