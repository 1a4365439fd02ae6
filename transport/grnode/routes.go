package grnode

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grdrain"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/transport/grupstream"
)

// Adapter connects an instance to callers, searchers and a platform with protocols of
// their own, in place of the native interface. The instance then answers requests on
// routes.
type Adapter interface {
	// Goroutines returns the functions that serve callers and follow the platform. Each
	// runs in a goroutine of its own until its context ends.
	Goroutines(n *Node) []func(ctx context.Context) error
	// Exchange returns the wire form of one attempt at a caller's request.
	Exchange(request *RouteRequest) grupstream.Exchange
	// Merge returns the top greatest records of the answers of shards, in wire form.
	Merge(bodies [][]byte, top int) []byte
}

// RouteSettings holds the settings of an instance that answers requests on routes.
type RouteSettings struct {
	ExtraAttempts      grstat.GlobalLimit     // on extra attempts to each service, over all instances
	DrainAcceptTime    grclock.Millis         // how long a shutdown accepts new requests
	DrainAnswerTime    grclock.Millis         // from the start of a shutdown until every request has its final answer; 0: no limit
	PartProcessingTime float64                // ms per partial result; also the estimate for peers
	Capacity           grident.Millicores     // of the processor available to this instance
	QuotaBound         grratelimit.QuotaBound // on the requests of an organisation with a quota
	ColdBound          grratelimit.QuotaBound // on the requests to a cold searcher
	// ViewBound is the time within which a change of the searchers or the routing table must be
	// in force; 0: none. EntryLapseTime is the shortest outage of the platform in which a
	// searcher's entry can expire; 0: any.
	ViewBound, EntryLapseTime grclock.Millis
	// ReadsEvacuations tells that the adapter reads the evacuated failure domains.
	ReadsEvacuations bool
}

// RouteRequest is a caller's request on a route.
type RouteRequest struct {
	grrouter.RouteRequest
	ID          grident.RequestID // request id of the caller, by which searchers' answers are matched, also for logs
	HTTPRequest *http.Request     // its body is not read
	Body        []byte
}

// Route answers a request on a route. If the caller's context ends first, a request that
// may be repeated is cancelled.
func (n *Node) Route(ctx context.Context, request *RouteRequest) grrouter.Result {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	return n.submit(pendingRequest{ctx: ctx, route: request})
}

// Table returns the routing table in force, or nil.
func (n *Node) Table() *grroutes.Table { return n.table.Load() }

// SetRoutingTable queues a routing table that was read from the platform for activation.
func (n *Node) SetRoutingTable(t *grroutes.Table) { n.controlLoop.post(controlEvent{table: t}) }

// ListSearchers queues the complete list of searchers that was read from the platform. No
// entry was read from a state older than the revision at.
func (n *Node) ListSearchers(list []grcluster.ListedSearcher, at grident.Revision) {
	n.controlLoop.post(controlEvent{searcherList: &searcherList{list, at}})
}

// ChangeSearchers queues the changes of searchers that were read from the platform after the
// list, up to a revision.
func (n *Node) ChangeSearchers(changes []grcluster.ListedSearcher, upTo grident.Revision) {
	n.controlLoop.post(controlEvent{searcherChanges: &searcherList{changes, upTo}})
}

// AddSeeds adds addresses of other instances to contact: all that the platform lists, so that
// their number is known. The list must not be nil.
func (n *Node) AddSeeds(seeds []grident.Address) { n.controlLoop.post(controlEvent{seeds: seeds}) }

// platformWatchers is the number of instances that watch the platform on behalf of all.
// One is enough; with two the loss of one causes no delay.
const platformWatchers = 2

// SetPlatformReachable records whether the platform answers this instance.
func (n *Node) SetPlatformReachable(reachable bool) {
	n.controlLoop.post(controlEvent{platformReachable: &reachable})
}

// Phase returns the current phase of a graceful shutdown.
func (n *Node) Phase() grdrain.Phase { return n.controlLoop.currentPhase() }

// PlatformEra returns the newest era of the platform that this instance or a peer has read, see
// grident.Revision.
func (n *Node) PlatformEra() uint64 { return n.platformEra.Load() }

// Ready reports whether callers may send requests to this instance.
func (n *Node) Ready() bool { return n.ready.Load() && n.Phase() == grdrain.Serving }

// Entries returns the instances that callers may use, those in the given failure domain
// first. The seed varies the order among equal instances.
func (n *Node) Entries(domain grident.FailureDomain, seed uint64) []grcluster.Member {
	var list []grcluster.Member
	n.controlLoop.inspect(func(c *grcluster.Cluster) { list = c.Entries(domain, seed) })
	return list
}

// activateTable makes a routing table the one in force.
func (c *controlLoop) activateTable(t *grroutes.Table) {
	c.node.table.Store(t)
	c.node.tableActivatedMS.Store(int64(c.node.Clock.Now()))
	c.node.post(tableActivated{t})
	c.node.Log.Info("table in force", zap.Uint64("version", uint64(t.Version)), zap.Int("routes", len(t.Routes)))
}

// updateReadiness announces this instance to callers once it has a table and a searcher,
// and passes the router the peers that it can delegate to.
func (c *controlLoop) updateReadiness(now grclock.Millis) {
	if c.node.Adapter == nil {
		return
	}
	ready := c.state.RoutingTable() != nil && c.hasSearcher()
	if ready && !c.node.ready.Swap(true) {
		c.state.SetCallerAddress(now, c.node.Settings.CallerAddress, &c.out)
		c.node.Log.Info("ready")
	}
	c.node.post(&peersUpdated{c.state.Entries(c.node.Settings.FailureDomain, 0), c.membership()})
}

// membership describes this instance's place among the members to the router.
func (c *controlLoop) membership() grrouter.Membership {
	m := grrouter.Membership{
		Unlisted: !c.node.ready.Load(), Isolated: c.state.Isolated(), Settled: c.state.SeedsRead(), Known: c.state.KnownInstances(),
		Count: c.memberCount(c.node.Clock.Now()),
	}
	for _, member := range c.state.Status() {
		self := member.ID == c.node.Settings.Instance
		if member.State == grcluster.Live || self && member.State != grcluster.Leaving {
			m.Members = append(m.Members, grrouter.Peer{ID: member.ID, Domain: member.Domain, Capacity: member.Capacity})
		}
		switch {
		case member.State == grcluster.Suspect && member.ID != c.node.Settings.Instance:
			m.Unreachable++
			m.Suspects = append(m.Suspects, member.ID)
		case member.State == grcluster.Leaving && member.ID == c.node.Settings.Instance:
			m.Leaving = true
		}
	}
	return m
}

// hasSearcher reports whether the router has been given a searcher.
func (c *controlLoop) hasSearcher() bool {
	for _, list := range c.routerSearchers {
		if len(list) > 0 {
			return true
		}
	}
	return false
}
