package grstandroute

import (
	"fmt"

	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// Timing of connection limits.
const (
	recutDelay   = 3 * grclock.Second  // from the registration of new searchers until the table names their shards
	settleTime   = 30 * grclock.Second // from the last request until the simulation ends
	deadConnTime = 2 * grclock.Second  // for which a searcher counts the connections of an instance that was killed
)

// conn is a connection as the searcher sees it.
type conn struct {
	closed  bool
	heldBy  *searcher // that counts it; nil: none
	refused bool      // beyond the limit: it is reset once it is open
	used    bool      // a sub-request was sent on it
	to      *searcher
	open    bool
	broken  bool              // the run of the searcher has ended
	attempt grident.AttemptID // in flight; 0: none
}

func (c *conn) close() {
	c.closed = true
	if c.heldBy != nil {
		c.heldBy.held--
		c.heldBy = nil
	}
}

// abandon ends the connection of an instance that was killed: the searcher counts it for a
// while longer.
func (c *conn) abandon(sim *simulation) {
	if sim.config.ConnLimit == 0 {
		c.closed = true
		return
	}
	c.closed = true
	sim.after(deadConnTime, c.close)
}

// accept opens a connection at a searcher, which resets it if it is beyond the limit.
func (s *searcher) accept(in *instance, key connKey, c *conn) {
	sim := s.sim
	if sim.config.ConnLimit == 0 || c.closed {
		return
	}
	sim.report.ConnsOpened++
	if s.held < sim.config.ConnLimit {
		s.held++
		c.heldBy = s
		sim.report.MostConns = max(sim.report.MostConns, s.held)
		return
	}
	sim.report.Resets++
	c.refused = true
	sim.after(oneWay, func() {
		in.deliver(func() {
			if !c.used && !c.closed {
				in.router.ConnLost(sim.now, key.dispatcher, key.searcher, key.conn, &in.out)
			}
		})
	})
}

// loseReply ends an attempt on a connection that the searcher resets.
func (in *instance) loseReply(a *grdispatch.Action) {
	attempt, dispatcher := a.Attempt, a.Service
	in.sim.after(2*oneWay, func() {
		in.deliver(func() {
			in.handleReply(dispatcher, grdispatch.Reply{Attempt: attempt, Kind: grdispatch.LostReply})
		})
	})
}

// connLimits sets the numbers of connections that the instance may hold to a searcher.
func (in *instance) connLimits(s *grdispatch.Searcher, name grident.Service) {
	if in.sim.config.ConnLimit == 0 {
		s.ConnLimit, s.OwnerConnLimit = 2, 3
		return
	}
	limit := in.table.ConnLimit(name)
	if limit == 0 {
		limit = in.sim.config.ConnLimit // As for the other services of the table.
	}
	if grconnlimit.Fits(limit, in.known) {
		s.ConnLimit = limit / in.known / grconnlimit.UsableDivisor
		s.OwnerConnLimit = grconnlimit.Usable(limit) / (2 * grrouter.OwnersPerDomain)
		return
	}
	s.TotalConns = grconnlimit.Usable(limit)
}

// setServices informs the router of the searchers that have registered.
func (in *instance) setServices() {
	sim := in.sim
	lists := make(map[grident.Service][]grdispatch.Searcher)
	for _, s := range sim.searchers {
		lists[s.service] = append(lists[s.service], in.listed(s))
	}
	for i := range sim.registered {
		in.router.SetService(sim.now, serviceName(i), lists[serviceName(i)], &in.out)
	}
}

// listed returns the description of a searcher for the router.
func (in *instance) listed(s *searcher) grdispatch.Searcher {
	listed := grdispatch.Searcher{ID: s.id, Domain: s.domain, Slots: in.sim.config.Slots}
	in.connLimits(&listed, s.service)
	in.setEntry(&listed)
	return listed
}

// newTable returns the table that names the shards from the given one on.
func (sim *simulation) newTable(version grroutes.Version, first int) *grroutes.Table {
	c := &sim.config
	all := make([]grident.Service, c.Shards)
	for i := range all {
		all[i] = serviceName(first + i)
	}
	t := &grroutes.Table{Version: version, Routes: []grroutes.Route{
		{Name: "all", Host: "h", PathPrefix: "/all/", Idempotent: true, FanOut: true, MaxAttempts: 2, MinSuccessShare: 0.89,
			Targets: []grroutes.Target{{Weight: 1, Services: all}}, Timeout: 15 * c.Objective, LatencyObjective: c.Objective},
		{Name: "once", Host: "h", PathPrefix: "/once/", MaxAttempts: 2,
			Targets: []grroutes.Target{{Weight: 1, Services: all[:1]}}, Timeout: 15 * c.Objective, LatencyObjective: 4 * c.Objective},
	}}
	limit := 26
	if c.ConnLimit > 0 {
		limit = c.ConnLimit
	}
	for _, name := range all {
		service := grroutes.Service{Name: name, ConnLimit: limit}
		if c.Bug != ColdUnknown {
			service.ColdPerSecond, service.ColdStart = c.ColdPerSecond, c.ColdTime
		}
		t.Services = append(t.Services, service)
	}
	t.BuildIndex()
	return t
}

// recut registers the searchers of another set of shards and then names them in a new table.
// Each instance learns of both after a delay of its own.
func (sim *simulation) recut() {
	sim.registered = 2 * sim.config.Shards
	for _, in := range sim.instances {
		sim.after(grclock.Millis(sim.random.IntN(int(maxViewDelay))), func() { in.deliver(in.setServices) })
	}
	sim.after(recutDelay, func() {
		sim.table = sim.newTable(2, sim.config.Shards)
		for _, in := range sim.instances {
			sim.after(grclock.Millis(sim.random.IntN(int(maxViewDelay))), func() { in.deliver(in.setTable) })
		}
	})
}

func (in *instance) setTable() {
	in.table = in.sim.table
	in.router.SetTable(in.sim.now, in.table, &in.out)
	if in.sim.config.ConnLimit > 0 {
		in.setServices()
	}
}

// restartAll kills all instances and starts them again. Each knows itself only at first.
func (sim *simulation) restartAll() {
	for _, in := range sim.instances {
		in.kill()
	}
	sim.after(restartTime, func() {
		for i := range sim.instances {
			sim.instances[i] = sim.newInstance(i)
		}
		for _, in := range sim.instances {
			in.start([]*instance{in})
		}
		sim.announceMembers()
	})
}

// partition divides the instances in two halves that learn of it at different times.
func (sim *simulation) partition() {
	sim.partitioned = true
	sim.announceMembers()
	sim.after(sim.config.Duration/3, func() {
		sim.partitioned = false
		sim.announceMembers()
	})
}

// reachable returns the running instances that an instance can reach, itself included.
func (sim *simulation) reachable(from *instance) []*instance {
	var list []*instance
	for _, in := range sim.running() {
		if !sim.separated(from, in) {
			list = append(list, in)
		}
	}
	return list
}

func (sim *simulation) separated(a, b *instance) bool {
	return sim.partitioned && a.number%8 < 4 != (b.number%8 < 4)
}

// routeOf returns the route of a request in the table of the instance.
func (in *instance) routeOf(req *request) *grroutes.Route {
	for i := range in.table.Routes {
		if in.table.Routes[i].Name == req.route.Name {
			return &in.table.Routes[i]
		}
	}
	panic(fmt.Sprint("no route ", req.route.Name))
}

// setMembership informs the router of the members that it can reach.
func (in *instance) setMembership(members []*instance) {
	if in.sim.config.ConnLimit == 0 && in.sim.config.ColdPerSecond == 0 {
		return
	}
	m := grrouter.Membership{Count: in.known, Unreachable: in.known - len(members)}
	for _, other := range members {
		m.Members = append(m.Members, grrouter.Peer{ID: other.id, Domain: other.domain, Capacity: other.capacity()})
	}
	in.router.SetMembership(m)
}
