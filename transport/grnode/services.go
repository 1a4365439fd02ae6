package grnode

import (
	"slices"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// refreshServices passes the router all searchers, with this instance's connection limits
// for them. A searcher in maintenance or in an evacuated failure domain counts as leaving.
func (c *controlLoop) refreshServices() {
	inMaintenance := make(map[string]bool)
	if a, ok := c.state.ActivePreset(); ok {
		for _, s := range a.Preset.ServicesInMaintenance {
			inMaintenance["service "+string(s)] = true
		}
		for _, s := range a.Preset.SearchersInMaintenance {
			inMaintenance["searcher "+string(s)] = true
		}
	}
	evacuated := c.evacuated()
	services := make(map[grident.Service][]grdispatch.Searcher)
	for name := range c.routerSearchers {
		services[name] = nil
	}
	if t := c.state.RoutingTable(); t != nil {
		for i := range t.Services {
			services[t.Services[i].Name] = nil
		}
	}
	for _, s := range c.state.Searchers() {
		isEvacuated := evacuated(s.Domain)
		leaving := s.State != grcluster.Live || inMaintenance["service "+string(s.Service)] || inMaintenance["searcher "+string(s.ID)] || isEvacuated
		listed := grdispatch.Searcher{ID: s.ID, Address: s.Address, Domain: s.Domain, Slots: s.Slots, Leaving: leaving, Evacuated: isEvacuated, Incarnation: s.Incarnation}
		c.setColdEntry(&listed, s.Service)
		c.setConnLimits(&listed, &s)
		services[s.Service] = append(services[s.Service], listed)
	}
	for name, list := range services {
		c.refreshService(name, list)
	}
	if divisor := c.state.PendingDivisor(); divisor != c.targetDivisor {
		c.targetDivisor = divisor
		c.node.post(&reductionRequested{divisor})
	}
}

// setConnLimits sets the numbers of connections to a searcher. In the native protocol one
// connection within the limit is reserved for cancellations and load reads.
func (c *controlLoop) setConnLimits(d *grdispatch.Searcher, s *grcluster.SearcherStatus) {
	if c.node.Adapter == nil {
		connLimit := c.limitPart(s.ConnLimit)
		c.setControlConn(s.Searcher, connLimit > 1 && s.State != grcluster.Gone)
		d.ConnLimit = max(connLimit-1, 0)
		return
	}
	t := c.state.RoutingTable()
	now := c.node.Clock.Now()
	if t == nil || c.connsReleased {
		return
	}
	if !c.membersKnown(now) {
		if c.listOverdue(now) {
			d.ConnLimit = minConns
		}
		return
	}
	limit := t.ConnLimit(s.Service)
	if limit == 0 {
		limit = smallestConnLimit(t)
	}
	if limit > 0 && !grconnlimit.Fits(limit, c.memberCount(now)) {
		d.TotalConns = max(grconnlimit.Usable(limit), 1)
		return
	}
	d.ConnLimit = max(minConns, c.limitPart(t.ConnLimit(s.Service))/grconnlimit.UsableDivisor)
	// The owners of a shard together get half of the usable connections.
	d.OwnerConnLimit = t.ConnLimit(s.Service) / (grconnlimit.UsableDivisor * 2 * grrouter.OwnersPerDomain)
}

// smallestConnLimit returns the smallest limit that the table states. It is assumed for
// services that the table does not name yet.
func smallestConnLimit(t *grroutes.Table) int {
	smallest := 0
	for i := range t.Services {
		if limit := t.Services[i].ConnLimit; limit > 0 && (smallest == 0 || limit < smallest) {
			smallest = limit
		}
	}
	return smallest
}

// An instance that has just started knows no other. It opens no connection to searchers until
// it has read the list of registered instances or knows another one, but waits for that no longer
// than it waited for the list of searchers, and listGrace at most: the two are read at the same
// time. Then it holds minConns to each searcher, and after
// listWait it counts the members that it knows. For registrationWindow after it has read the
// list it counts all registered instances as members, since those that start at the same time
// are not known to each other yet; they may all have waited for the platform.
const (
	listGrace          = 100 * grclock.Millisecond
	listWait           = 5 * grclock.Second
	registrationWindow = 10 * grclock.Second
)

// membersKnown reports whether this instance knows how many instances share the searchers.
func (c *controlLoop) membersKnown(now grclock.Millis) bool {
	return c.registered > 0 || len(c.state.Members()) > 1 || now-c.startedAt >= listWait
}

// listOverdue reports whether the list of registered instances takes clearly longer than that of
// the searchers took.
func (c *controlLoop) listOverdue(now grclock.Millis) bool {
	return c.listedOnce && now-c.listedAt >= min(c.listedAt-c.startedAt, listGrace)
}

// memberCount returns the number of instances that may hold connections to searchers. Unlike
// KnownInstances, which bounds quotas, it forgets registered instances that have not appeared
// within registrationWindow, as lost ones would keep connections from the others for ever. Until
// then it counts those that refuse connections too: they may be about to start.
func (c *controlLoop) memberCount(now grclock.Millis) int {
	count := len(c.state.Members())
	if now-c.registeredAt < registrationWindow {
		count = max(count, c.registered)
	}
	return count
}

// updateMemberCount divides the connections anew when a waiting time of the start has ended. It
// reports whether it is known from now on how many instances share the searchers.
func (c *controlLoop) updateMemberCount(now grclock.Millis) (becameKnown bool) {
	known, overdue, count := c.membersKnown(now), c.listOverdue(now), c.memberCount(now)
	becameKnown = known && !c.lastKnown
	if known != c.lastKnown || overdue != c.lastOverdue || count != c.lastCount {
		c.lastKnown, c.lastOverdue, c.lastCount = known, overdue, count
		c.searchersStale = true
	}
	return becameKnown
}

// minConns is the number of connections to a searcher of a service that the table does
// not name yet, so that they are open once it does, and of any while the number of instances
// is not known.
const minConns = 1

// limitPart returns this instance's part of a connection limit.
func (c *controlLoop) limitPart(limit int) int {
	if c.connsReleased || c.state.Divisor() == 0 {
		return 0
	}
	return limit / c.state.Divisor()
}

func (c *controlLoop) setControlConn(s grcluster.Searcher, wanted bool) {
	if c.controlConns[s.Address] == wanted {
		return
	}
	c.controlConns[s.Address] = wanted
	if wanted {
		c.node.pool.OpenControl(s.ID, s.Incarnation, s.Address)
	} else {
		c.node.pool.CloseControl(s.Address)
	}
}

func (c *controlLoop) refreshService(name grident.Service, list []grdispatch.Searcher) {
	if last, known := c.routerSearchers[name]; known && slices.Equal(last, list) {
		return
	}
	c.routerSearchers[name] = list
	c.node.post(&serviceUpdated{name, list})
	for i := range list {
		if l, ok := c.state.RateLimitOf(list[i].ID); ok {
			c.node.post(&rateLimitLearned{l})
		}
	}
}

func searchersFrom(instances []grwire.InstanceWire) []grcluster.SearcherStatus {
	var list []grcluster.SearcherStatus
	for _, i := range instances {
		if i.Kind != grwire.KindSearcher {
			continue
		}
		state := grcluster.Live
		if i.State != grwire.StateLive {
			state = grcluster.Leaving
		}
		list = append(list, grcluster.SearcherStatus{State: state, Searcher: grcluster.Searcher{
			ID: grident.SearcherID(i.ID), Incarnation: grident.Incarnation(i.Run), Service: grident.Service(i.Service),
			Address: grident.Address(i.Address), Domain: grident.FailureDomain(i.Domain), Slots: i.Slots, ConnLimit: i.ConnLimit,
		}})
	}
	return list
}

func entryIDsFrom(instances []grwire.InstanceWire) []grident.InstanceID {
	var list []grident.InstanceID
	for _, i := range instances {
		if i.Kind == grwire.KindEntry {
			list = append(list, grident.InstanceID(i.ID))
		}
	}
	return list
}
