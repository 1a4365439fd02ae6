package grstandroute

import (
	"fmt"
	"math"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/gropening"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// instance is one entry instance with its router.
type instance struct {
	sim         *simulation
	id          grident.InstanceID
	number      int
	table       *grroutes.Table // in force at this instance
	known       int             // members that may be running, as far as this instance knows
	domain      grident.FailureDomain
	router      *grrouter.Router
	out         grrouter.Output
	requests    map[grident.QueryID]*request // requests of callers
	groups      map[grident.QueryID]*group   // groups delegated by other instances
	conns       map[connKey]*conn
	entries     map[grident.SearcherID]knownEntry
	evacuated   map[grident.FailureDomain]bool
	killed      bool
	granted     int // answers to requests for units of other instances
	pausedUntil grclock.Millis
	wakeAt      grclock.Millis // time of the next Tick
	busyUntil   float64        // time in milliseconds when all replies so far will have been processed
	speed       int            // relative to that of the smallest instances
	openings    gropening.Queue
}

type connKey struct {
	dispatcher, searcher int32
	conn                 grdispatch.ConnID
}

// group is a delegation from one instance to another.
type group struct {
	from      *instance
	request   *request
	d         grrouter.Delegation
	cancelled bool
}

func (sim *simulation) newInstance(i int) *instance {
	in := &instance{
		sim: sim, id: grident.InstanceID(fmt.Sprintf("entry-%d", i)), number: i, domain: domainName(i % sim.config.Domains),
		requests: make(map[grident.QueryID]*request), groups: make(map[grident.QueryID]*group),
		conns: make(map[connKey]*conn), wakeAt: grclock.Never, speed: 1,
	}
	if i < sim.config.LargeInstances {
		in.speed = largeSpeed
	}
	in.router = &grrouter.Router{
		Seed: sim.config.Seed + uint64(i), Self: in.id, Domain: in.domain, Policy: grdispatch.RoutePolicy(),
		NoDelegation: sim.config.NoDelegation, AdmitAll: sim.config.Load.AdmitAll,
		ExtraLimit: grstat.GlobalLimit{Ratio: extraRatio, Count: extraCount, Window: extraWindow},
	}
	if sim.config.Bug == NoExtraLimit {
		in.router.ExtraLimit = grstat.GlobalLimit{Ratio: 9, Count: 1e6}
	}
	if !sim.config.ReplyTimeUnknown {
		in.router.PartProcessingTime = in.replyTime()
	}
	in.router.Capacity = in.capacity()
	in.router.ColdBound = grratelimit.QuotaBound{Overshoot: coldOvershoot - 1, Slack: coldSlack}
	in.router.Init()
	return in
}

// start starts the instance, which knows the given members.
func (in *instance) start(members []*instance) {
	sim := in.sim
	in.table = sim.table
	in.readEntries()
	in.router.SetTable(sim.now, in.table, &in.out)
	in.setPeers(members)
	in.setServices()
	in.learnRateLimits()
	in.applyOutput()
}

// setPeers replaces the members that the instance knows.
func (in *instance) setPeers(members []*instance) {
	var peers []grrouter.Peer
	for _, other := range members {
		if other.id != in.id {
			peers = append(peers, grrouter.Peer{ID: other.id, Domain: other.domain, Capacity: other.capacity()})
		}
	}
	in.known = in.sim.config.Instances
	in.setMembership(members)
	in.router.SetPeers(in.sim.now, peers, &in.out)
	if in.sim.config.ConnLimit > 0 {
		in.setServices()
	}
}

// deliver runs an event on the instance, or after the pause if it is paused.
// Events of a killed instance are dropped.
func (in *instance) deliver(do func()) {
	sim := in.sim
	switch {
	case in.killed:
	case in.pausedUntil > sim.now:
		sim.after(in.pausedUntil-sim.now, func() { in.deliver(do) })
	default:
		do()
		in.applyOutput()
	}
}

func (in *instance) pause(span grclock.Millis) { in.pausedUntil = in.sim.now + span }

// kill ends the instance. Its connections to searchers, callers and other
// instances are closed.
func (in *instance) kill() {
	if in.killed {
		return
	}
	in.killed = true
	for _, c := range in.conns {
		c.abandon(in.sim)
	}
	for _, req := range in.requests {
		in.sim.endRequest(req, disconnected)
	}
	for _, g := range in.groups {
		g.fail()
	}
}

func (in *instance) handleRequest(req *request) {
	routeReq := grrouter.RouteRequest{Correlation: req.correlation(), Table: in.table, Route: in.routeOf(req), Deadline: req.at + req.timeout}
	if !in.sim.config.NoRemainingTime {
		routeReq.Remaining = req.timeout - req.elapsed
	}
	if in.sim.config.CallersReturn {
		routeReq.LongestReturn = grclock.Minute
	}
	if in.sim.config.Load.Callers > 0 {
		routeReq.Caller, routeReq.LongestReturn = callerAddress(req.caller), routeReq.Remaining/3
		routeReq.Organisation = in.sim.config.Load.organisationOf(req.caller)
	}
	req.received = true
	in.requests[in.router.StartRoute(in.sim.now, routeReq, &in.out)] = req
}

// replyTime returns the processing time for a reply of a searcher, in milliseconds.
func (in *instance) replyTime() float64 {
	return float64(in.sim.config.ReplyTime) / float64(in.speed)
}

// capacity returns the processor capacity that the instance publishes.
func (in *instance) capacity() grident.Millicores {
	if in.sim.config.LargeInstances == 0 || in.sim.config.CapacityUnknown {
		return 0
	}
	return grident.Millicores(200 * in.speed)
}

// process runs an event after the processing time in milliseconds that it costs. Events are
// processed one after the other.
func (in *instance) process(cost float64, do func()) {
	sim := in.sim
	if cost == 0 {
		in.deliver(do)
		return
	}
	in.busyUntil = max(in.busyUntil, float64(sim.now)) + cost
	sim.after(grclock.Millis(math.Ceil(in.busyUntil))-sim.now, func() { in.deliver(do) })
}

func (in *instance) handleReply(dispatcher int32, reply grdispatch.Reply) {
	in.router.HandleReply(in.sim.now, dispatcher, reply, &in.out)
}

// applyOutput executes the actions, sends the delegations and handles the results
// that the router returned, and schedules the next Tick.
func (in *instance) applyOutput() {
	sim := in.sim
	for i := range in.out.Actions {
		in.executeAction(in.out.Actions[i])
	}
	for i := range in.out.Delegations {
		in.delegate(in.out.Delegations[i])
	}
	for i := range in.out.Results {
		in.handleResult(&in.out.Results[i])
	}
	for i := range in.out.RateLimitRequests {
		in.requestUnits(in.out.RateLimitRequests[i])
	}
	for i := range in.out.RateLimitChanges {
		in.publishRateLimit(&in.out.RateLimitChanges[i])
	}
	in.out.Reset()
	in.beginOpenings()
	wake := min(in.router.NextWake(), in.openings.NextWake())
	if wake >= grclock.Never || wake >= in.wakeAt && in.wakeAt > sim.now {
		return
	}
	in.wakeAt = max(wake, sim.now)
	at := in.wakeAt
	sim.after(at-sim.now, func() {
		if in.wakeAt == at {
			in.wakeAt = grclock.Never
			in.deliver(func() { in.router.Tick(sim.now, &in.out) })
		}
	})
}

// beginOpenings opens the connections that may be opened now and are still needed.
func (in *instance) beginOpenings() {
	sim := in.sim
	for {
		o, ok := in.openings.Next(sim.now, demand{in.router})
		if !ok {
			return
		}
		dispatcher := in.router.Dispatcher(o.Service)
		if dispatcher.WithdrawOpening(o.Searcher, o.Conn) {
			in.openings.Ended(o.Service, o.Searcher, o.Conn)
			continue
		}
		s := sim.searcher(dispatcher.SearcherAt(o.Searcher).ID)
		key, c := connKey{o.Service, o.Searcher, o.Conn}, &conn{to: s}
		in.conns[key] = c
		sim.after(3*oneWay+sim.extraOpenTime(), func() {
			if s.ended {
				in.failConn(key, c)
				return
			}
			c.open = true
			s.accept(in, key, c)
			in.deliver(func() {
				in.openings.Ended(o.Service, o.Searcher, o.Conn)
				in.router.ConnOpened(sim.now, o.Service, o.Searcher, o.Conn, &in.out)
			})
		})
	}
}

// demand tells what connections of a router are needed for.
type demand struct{ router *grrouter.Router }

// Waiting implements gropening.Demand.
func (d demand) Waiting(service int32) int { return d.router.Dispatcher(service).QueueLen() }

// HasConn implements gropening.Demand.
func (d demand) HasConn(service int32) bool { return d.router.Dispatcher(service).HasConn() }

// HasConnTo implements gropening.Demand.
func (d demand) HasConnTo(service, searcher int32) bool {
	return d.router.Dispatcher(service).HasConnTo(searcher)
}

func (in *instance) executeAction(a grdispatch.Action) {
	sim := in.sim
	key := connKey{a.Service, a.Searcher, a.Conn}
	switch a.Kind {
	case grdispatch.OpenConn:
		local := in.router.Dispatcher(a.Service).SearcherAt(a.Searcher).Domain == in.domain
		in.openings.Add(gropening.Opening{Service: a.Service, Searcher: a.Searcher, Conn: a.Conn, Local: local})
	case grdispatch.CloseConn:
		if c := in.conns[key]; c != nil {
			c.close()
			delete(in.conns, key)
		}
	case grdispatch.Send:
		j := &job{from: in, dispatcher: a.Service, attempt: a.Attempt, request: in.requestOf(a.Key.Query), conn: in.conns[key]}
		if j.request == nil {
			sim.reportViolation("sub-request sent for a request that has ended")
			return
		}
		j.conn.used, j.conn.attempt = true, a.Attempt
		if j.conn.refused {
			in.loseReply(&a)
			return
		}
		s := sim.searcher(a.ID)
		sim.after(oneWay, func() { s.handle(j) })
	}
}

func (in *instance) requestOf(id grident.QueryID) *request {
	if g := in.groups[id]; g != nil {
		return g.request
	}
	return in.requests[id]
}

// delegate sends a delegation to another instance.
func (in *instance) delegate(d grrouter.Delegation) {
	sim := in.sim
	peer := sim.instance(d.To)
	g := &group{from: in, request: in.requests[d.Query], d: d}
	sim.after(sim.peerOneWay(), func() {
		if sim.separated(in, peer) {
			return
		}
		if peer.killed {
			g.fail()
			return
		}
		peer.deliver(func() { peer.handleDelegation(g) })
	})
}

func (in *instance) handleDelegation(g *group) {
	sim := in.sim
	if g.d.Release {
		in.cancelGroup(g)
		return
	}
	if g.d.RequestRest {
		for id, other := range in.groups {
			if other.from == g.from && other.d.Query == g.d.Query && other.d.Group == g.d.Group {
				in.router.ContinueGroup(sim.now, id, g.d.RestWanted, &in.out)
				return
			}
		}
		g.answer(grrouter.GroupAnswer{})
		return
	}
	routeReq := grrouter.RouteRequest{
		Correlation: g.request.correlation(), Table: in.table, Route: g.request.route, Services: g.d.Services, Reserved: g.d.Reserved, OnlyReserved: g.d.OnlyReserved, IsGroup: true, PartialDeadline: g.d.PartialDeadline, Deadline: g.d.Deadline,
	}
	if sim.config.PeersReportRemaining {
		routeReq.Remaining = g.d.Remaining
	}
	if sim.config.Bug == IgnoreReserved {
		routeReq.Reserved = nil
	}
	in.groups[in.router.StartRoute(sim.now, routeReq, &in.out)] = g
}

// cancelGroup cancels a group whose requesting instance no longer waits for it.
func (in *instance) cancelGroup(g *group) {
	for id, other := range in.groups {
		if other.from == g.from && other.d.Query == g.d.Query && other.d.Group == g.d.Group {
			other.cancelled = true
			in.router.Cancel(in.sim.now, id, &in.out)
			return
		}
	}
}

func (g *group) fail() { g.answer(grrouter.GroupAnswer{Failed: true, MayHaveStarted: true}) }

func (g *group) answer(a grrouter.GroupAnswer) {
	sim := g.from.sim
	if g.d.Release || g.cancelled {
		return
	}
	sim.after(sim.peerOneWay(), func() {
		if sim.separated(g.from, sim.instance(g.d.To)) {
			return
		}
		g.from.deliver(func() { g.from.router.HandleGroupAnswer(sim.now, g.d.To, g.d.Query, g.d.Group, &a, &g.from.out) })
	})
}

func (in *instance) handleResult(result *grrouter.Result) {
	if g := in.groups[result.ID]; g != nil {
		if !result.MoreExpected {
			delete(in.groups, result.ID)
		}
		if result.Outcome == grrouter.NotRun {
			g.answer(grrouter.GroupAnswer{Failed: true})
			return
		}
		answer := grrouter.GroupAnswer{PartialResults: mergeRecords(result.PartialResults), MoreExpected: result.MoreExpected, WorkOff: result.WorkOff}
		if in.sim.config.PeersReportRemaining {
			answer.TypicalRemaining = result.TypicalRemaining
		}
		g.answer(answer)
		return
	}
	req := in.requests[result.ID]
	delete(in.requests, result.ID)
	copied := *result // The router reuses the list of results.
	in.sim.after(callerOneWay, func() { in.sim.receive(req, copied) })
}

// mergeRecords moves the records of all partial results into the first one, as the
// wire format does.
func mergeRecords(parts []grrouter.PartialResult) []grrouter.PartialResult {
	list := make([]grrouter.PartialResult, len(parts))
	var body []byte
	for i, p := range parts {
		list[i] = grrouter.PartialResult{Service: p.Service, Answer: &granswer.Answer{Status: 200, Signature: p.Answer.Signature}}
		body = append(body, p.Answer.Body...)
	}
	if len(list) > 0 {
		list[0].Answer.Body = body
	}
	return list
}

func (sim *simulation) searcher(id grident.SearcherID) *searcher {
	for _, s := range sim.searchers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (sim *simulation) instance(id grident.InstanceID) *instance {
	for _, in := range sim.instances {
		if in.id == id {
			return in
		}
	}
	return nil
}
