package grstandroute

import (
	"fmt"
	"math"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// Load describes callers that send requests on the route to all shards. Callers return
// once with a rejected request, if they are told to within a third of their remaining time.
type Load struct {
	Callers     int            // that send equally often; 0: the load of Config.Interval without callers
	PerSecond   float64        // requests of all callers together in calm times
	Timeout     grclock.Millis // of the callers
	HeavyFactor float64        // multiple of its usual load that caller 0 sends; 0: 1
	LessUrgent  int            // the callers from the second on that belong to organisations of a less urgent priority
	Repeats     int            // requests that caller 0 sends immediately after one that failed or was rejected
	CrowdFactor float64        // multiple of the usual load of all callers from LoadFrom to LoadUntil; 0: 1
	SlowFactor  int            // multiple of the search time while searchers are slow; 0: 1
	SlowFrom    grclock.Millis // start of that time; 0: loadFrom
	SlowUntil   grclock.Millis // end of that time; 0: loadUntil
	OpenTime    grclock.Millis // longest extra time to open a connection
	AdmitAll    bool           // instances reject nothing for queues or shares
}

// plannedRequest is a request of a Load. All random choices are made in advance, so that
// runs that differ only in decisions can be compared request by request.
type plannedRequest struct {
	index      int
	caller     int
	instance   int
	searchTime grclock.Millis
}

// From loadFrom to loadUntil the load of a Load differs from calm times.
const (
	loadFrom  = 4 * grclock.Second
	loadUntil = 10 * grclock.Second
)

// Worth of an answer to a caller.
const (
	lateWorth   = 0.2
	returnWorth = 0.5
)

// CallerOutcome is how a planned request of a Load ended for its caller.
type CallerOutcome uint8

// Outcomes for callers. A request that did not reach an instance has none.
const (
	CallerNone CallerOutcome = iota
	CallerAnswered
	CallerRejected
	CallerFailed
)

// CallerReport holds what callers of one kind received, from loadFrom to loadUntil. Requests
// that return after a rejection are not counted as requests.
type CallerReport struct {
	Requests, InObjective, Late, Rejected, Failed int
	Worth                                         float64 // sum over the requests
}

// MeanWorth returns the mean worth of a request.
func (c CallerReport) MeanWorth() float64 { return c.Worth / float64(max(c.Requests, 1)) }

// String returns the counts in a line.
func (c CallerReport) String() string {
	return fmt.Sprintf("%d requests: %d in time, %d late, %d rejected, %d failed; mean worth %.3f",
		c.Requests, c.InObjective, c.Late, c.Rejected, c.Failed, c.MeanWorth())
}

func (sim *simulation) scheduleLoad() {
	load := &sim.config.Load
	random := grident.Random{State: sim.config.Seed + 1}
	index := 0
	for caller := range load.Callers {
		for at := warmUp; at < sim.config.Duration; {
			rate := load.PerSecond / float64(load.Callers)
			if at >= loadFrom && at < loadUntil {
				rate *= max(load.CrowdFactor, 1)
				if caller == 0 {
					rate *= max(load.HeavyFactor, 1)
				}
			}
			planned := plannedRequest{index, caller, random.IntN(len(sim.instances)), sim.drawUsualTime(&random)}
			index++
			sim.after(at, func() { sim.sendLoad(planned, 0) })
			at += 1 + grclock.Millis(-math.Log(1-random.Float64())*float64(grclock.Second)/rate)
		}
	}
	sim.report.ByRequest = make([]CallerOutcome, index)
}

func (sim *simulation) sendLoad(planned plannedRequest, repeat int) {
	req := sim.newRequest(sim.instances[planned.instance], &sim.table.Routes[0])
	req.planned, req.caller, req.searchTime = planned, planned.caller, planned.searchTime
	req.repeat, req.timeout = repeat, sim.config.Load.Timeout
	sim.sendToInstance(req)
}

func (sim *simulation) sendToInstance(req *request) {
	sim.after(callerOneWay, func() { req.instance.deliver(func() { req.instance.handleRequest(req) }) })
}

// countLoad counts the result of a request of a Load, and lets its caller return or repeat.
func (sim *simulation) countLoad(req *request, result *grrouter.Result) {
	load := &sim.config.Load
	if load.Callers == 0 {
		return
	}
	c := &sim.report.Others
	if load.lessUrgent(req.caller) {
		c = &sim.report.LessUrgent
	}
	if req.caller == 0 && (load.HeavyFactor > 1 || load.Repeats > 0) {
		c = &sim.report.Heavy
	}
	if req.firstAt < loadFrom || req.firstAt >= loadUntil {
		c = &sim.report.Calm
	}
	took := sim.now - req.at
	sim.recordOutcome(req, result)
	switch {
	case req.returned:
		if result.Outcome <= grrouter.Partial && took <= req.route.LatencyObjective {
			c.Worth += returnWorth
		}
		return
	case result.Outcome <= grrouter.Partial && took <= req.route.LatencyObjective:
		c.InObjective++
		c.Worth++
	case result.Outcome <= grrouter.Partial:
		c.Late++
		c.Worth += lateWorth
	case result.Outcome == grrouter.NotRun:
		c.Rejected++
		sim.returnLoad(req, result, took)
	default:
		c.Failed++
	}
	c.Requests++
	if result.Outcome > grrouter.Partial && req.caller == 0 && req.repeat < load.Repeats {
		sim.sendLoad(req.planned, req.repeat+1)
	}
}

// recordOutcome records the outcome of a request that neither returned nor was repeated.
func (sim *simulation) recordOutcome(req *request, result *grrouter.Result) {
	if req.returned || req.repeat > 0 {
		return
	}
	outcome := CallerFailed
	switch result.Outcome {
	case grrouter.Complete, grrouter.Partial:
		outcome = CallerAnswered
	case grrouter.NotRun:
		outcome = CallerRejected
	}
	sim.report.ByRequest[req.planned.index] = outcome
}

func (sim *simulation) returnLoad(req *request, result *grrouter.Result, took grclock.Millis) {
	remaining := req.timeout - took
	if took > req.route.LatencyObjective/4 || result.RetryAfter > remaining/3 {
		return
	}
	sim.after(result.RetryAfter, func() {
		again := sim.newRequest(req.instance, req.route)
		again.planned, again.searchTime = req.planned, req.searchTime
		again.caller, again.returned, again.timeout, again.firstAt = req.caller, true, remaining-result.RetryAfter, req.firstAt
		sim.sendToInstance(again)
	})
}

func (l *Load) lessUrgent(caller int) bool { return caller >= 1 && caller <= l.LessUrgent }

// organisationOf returns the organisation of a caller, or nil if the Load has none.
func (l *Load) organisationOf(caller int) *grroutes.Organisation {
	if l.LessUrgent == 0 {
		return nil
	}
	o := &grroutes.Organisation{Name: grident.Organisation(callerAddress(caller)), HasPriority: true}
	if l.lessUrgent(caller) {
		o.Priority = 1
	}
	return o
}

// slowFactor returns the multiple of the search time that searchers need now.
func (sim *simulation) slowFactor() grclock.Millis {
	load := &sim.config.Load
	from, until := load.SlowFrom, load.SlowUntil
	if until == 0 {
		from, until = loadFrom, loadUntil
	}
	if load.SlowFactor == 0 || sim.now < from || sim.now >= until {
		return 1
	}
	return grclock.Millis(load.SlowFactor)
}

func callerAddress(caller int) grident.Caller {
	return grident.Caller(fmt.Sprintf("192.0.2.%d", caller))
}

// extraOpenTime draws the time that opening a connection takes beyond that of the messages.
func (sim *simulation) extraOpenTime() grclock.Millis {
	if sim.config.Load.OpenTime == 0 {
		return 0
	}
	return grclock.Millis(sim.random.IntN(int(sim.config.Load.OpenTime)))
}
