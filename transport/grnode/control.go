package grnode

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grdrain"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grqueue"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/transport/grpeer"
)

// controlLoop is the event loop that owns the instance's view of its peers, the
// searchers and the preset. No other goroutine accesses its state machines.
type controlLoop struct {
	node            *Node
	events          *grqueue.Queue[controlEvent]
	state           *grcluster.Cluster
	out             grcluster.Output
	drain           grdrain.Drain
	phase           atomic.Int32
	phaseStart      grclock.Millis
	routerSearchers map[grident.Service][]grdispatch.Searcher // as last passed to the router
	controlConns    map[grident.Address]bool                  // open control connections
	memberStates    map[grident.InstanceID]grcluster.State
	// targetDivisor is set when the router was asked to reduce its connections to each
	// connection limit divided by this.
	targetDivisor  int
	connsReleased  bool
	startedAt      grclock.Millis
	registered     int            // registered instances, this one included; 0: the list was not read
	registeredAt   grclock.Millis // when it was read
	lastKnown      bool           // results of membersKnown, listOverdue and memberCount by which connections are divided
	lastOverdue    bool
	lastCount      int
	searchersStale bool           // the router gets the changed searchers on the next tick
	listedOnce     bool           // a complete list of searchers was read
	listedAt       grclock.Millis // when it was read first
	eraKnown       bool           // the era was noted after such a list
	platformAway   bool           // the view is used without a proof, as last logged
}

// controlEvent is an input of the control loop. It holds one event; fullListing qualifies
// objects.
type controlEvent struct {
	objects     []grwire.ObjectWire
	fullListing bool // objects is a full listing
	instances   []grwire.InstanceWire
	active      *grpreset.ActivePreset
	message     *messageEvent
	peerEvent   *grpeer.Event
	members     []grcluster.Member
	departure   *grcluster.Departure // announced by a searcher to this instance
	// reducedTo is a divisor: the connections held are now within each connection limit
	// divided by this.
	reducedTo         int
	drain             bool
	table             *grroutes.Table
	searcherList      *searcherList
	searcherChanges   *searcherList
	read              *readEvent
	evacuations       *evacuationEvent
	seeds             []grident.Address
	rateLimit         *grcluster.RateLimit // stated by a searcher to this instance
	platformReachable *bool                // whether the platform answers this instance
	inspect           func(c *grcluster.Cluster)
}

// searcherList is the platform's list of searchers, or changes of it, up to a revision.
type searcherList struct {
	searchers []grcluster.ListedSearcher
	revision  grident.Revision
}

type messageEvent struct {
	message grwire.PeerMessage
	answer  chan grwire.PeerMessage // has a capacity of one
}

// Intervals and sizes of the control loop.
const (
	controlQueueSize     = 4096 // events waiting for the control loop
	instancePollInterval = 500 * grclock.Millisecond
	watcherCheckInterval = 200 * grclock.Millisecond // of an instance that is no watcher
	controlTickInterval  = 100 * grclock.Millisecond
)

func (c *controlLoop) init() {
	n := c.node
	c.events = grqueue.New[controlEvent](controlQueueSize)
	c.routerSearchers = make(map[grident.Service][]grdispatch.Searcher)
	c.controlConns = make(map[grident.Address]bool)
	c.memberStates = make(map[grident.InstanceID]grcluster.State)
	c.startedAt = n.Clock.Now()
	c.drain.TTL = n.Settings.EntryListTTL
	callers := n.Settings.CallerAddress
	if n.Adapter != nil {
		c.drain.TTL = max(n.RouteSettings.DrainAcceptTime-grdrain.PropagationMargin, 0)
		callers = ""
	}
	c.state = &grcluster.Cluster{
		Self: grcluster.Member{
			Member:        grconnlimit.Member{ID: n.Settings.Instance, Incarnation: n.incarnation},
			PeerAddress:   n.Settings.PeerAddress,
			CallerAddress: callers,
			Domain:        n.Settings.FailureDomain,
			Capacity:      n.RouteSettings.Capacity,
		},
		Seeds:           n.Settings.PeerSeeds,
		Random:          grident.Random{State: uint64(n.incarnation)},
		PushImmediately: true,

		UncoordinatedDivisor: n.Adapter != nil,
	}
	if n.leasesView() {
		c.state.ViewBound, c.state.EntryLapseTime = n.RouteSettings.ViewBound, n.RouteSettings.EntryLapseTime
		c.state.ReadsEvacuations = n.RouteSettings.ReadsEvacuations
	}
	if n.Adapter != nil {
		c.state.WatcherCount = platformWatchers
	}
}

func (c *controlLoop) run(ctx context.Context) error {
	clock := c.node.Clock
	c.state.Init(clock.Now(), &c.out)
	c.executeOutput()
	timer := clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events.Items():
			c.handle(clock.Now(), &e)
		case <-timer.C:
			c.tick(clock.Now())
			timer.Reset(controlTickInterval)
		}
	}
}

func (c *controlLoop) post(e controlEvent) { c.events.Put(c.node.group.Context().Done(), e) }

// inspect runs a function on the control loop and waits until it returns.
func (c *controlLoop) inspect(visit func(s *grcluster.Cluster)) {
	done := make(chan struct{})
	c.post(controlEvent{inspect: func(s *grcluster.Cluster) {
		visit(s)
		close(done)
	}})
	select {
	case <-done:
	case <-c.node.group.Context().Done():
	}
}

func (c *controlLoop) tick(now grclock.Millis) {
	c.turn(now)
	inFlight := int(c.node.inFlight.Load())
	c.state.Load = inFlight
	c.state.Tick(now, &c.out)
	c.advanceDrain(now, inFlight)
	c.updateReads(now)
	c.updateMemberCount(now)
	c.executeOutput()
	c.refreshIfStale(now)
	c.extendView(now)
}

// refreshIfStale passes the searchers to the router if they have changed.
func (c *controlLoop) refreshIfStale(now grclock.Millis) {
	if !c.searchersStale {
		return
	}
	c.searchersStale = false
	c.refreshServices()
	c.noteEra()
	c.updateReadiness(now)
}

func (c *controlLoop) handle(now grclock.Millis, e *controlEvent) {
	c.turn(now)
	for i := range e.objects {
		c.applyObject(now, &e.objects[i])
	}
	switch {
	case e.fullListing:
		c.state.PlatformRead(now, &c.out)
	case e.instances != nil:
		c.state.UpdateSearchers(now, searchersFrom(e.instances), &c.out)
		c.state.UpdateInstances(now, entryIDsFrom(e.instances), &c.out)
	case e.active != nil:
		c.state.SetPreset(now, e.active, &c.out)
	case e.message != nil:
		c.handleMessage(now, e.message)
	case e.peerEvent != nil:
		c.handlePeerEvent(now, e.peerEvent)
	case e.members != nil:
		c.state.SetRegisteredMembers(now, e.members, &c.out)
	case e.departure != nil:
		c.state.AnnounceDeparture(now, *e.departure, &c.out)
	case e.reducedTo == allConnsClosed:
		c.state.Leave(now, true, &c.out)
	case e.reducedTo > 0:
		c.state.ConnectionsReduced(now, e.reducedTo, &c.out)
	case e.table != nil:
		c.state.SetRoutingTable(now, e.table, &c.out)
	case e.searcherList != nil:
		c.state.ListSearchers(now, e.searcherList.searchers, e.searcherList.revision, !c.listedOnce, &c.out)
		if !c.listedOnce {
			c.listedOnce, c.listedAt = true, now
		}
	case e.searcherChanges != nil:
		c.state.ChangeSearchers(now, e.searcherChanges.searchers, e.searcherChanges.revision, &c.out)
	case e.read != nil:
		e.read.apply(c.state, now)
	case e.evacuations != nil:
		e.evacuations.apply(c.state, now, &c.out)
	case e.rateLimit != nil:
		c.state.SetRateLimit(now, *e.rateLimit, &c.out)
	case e.seeds != nil:
		c.state.AddSeeds(now, e.seeds, &c.out)
		c.registered, c.registeredAt = len(e.seeds)+1, now
		c.updateReadiness(now)
	case e.platformReachable != nil:
		c.state.SetPlatformReachable(now, *e.platformReachable, &c.out)
	case e.drain:
		c.startDrain(now)
	case e.inspect != nil:
		e.inspect(c.state)
	}
	c.executeOutput()
	if c.node.view.expired(now) {
		// Requests are waiting, so don't wait for the next tick.
		c.refreshIfStale(now)
		c.extendView(now)
	}
}

func (c *controlLoop) applyObject(now grclock.Millis, o *grwire.ObjectWire) {
	switch {
	case strings.HasPrefix(o.Key, grwire.ShardMapPrefix):
		var w grwire.MapWire
		if json.Unmarshal(o.Value, &w) != nil {
			return
		}
		if m, err := grwire.ShardMapFrom(&w); err == nil {
			c.state.SetShardMap(now, m, grident.Revision(o.Version), &c.out)
		}
	case o.Key == grwire.ActivePresetKey:
		if p, err := grwire.DecodePointer(o.Value); err == nil && p.Active != nil {
			c.state.SetPreset(now, p.Active, &c.out)
		}
	}
}

func (c *controlLoop) handleMessage(now grclock.Millis, e *messageEvent) {
	answer, ok := c.state.Receive(now, grwire.PeerMessageFrom(&e.message), &c.out)
	w := grwire.PeerMessageTo(&answer)
	w.Empty = !ok
	e.answer <- w
}

func (c *controlLoop) handlePeerEvent(now grclock.Millis, e *grpeer.Event) {
	switch e.Kind {
	case grpeer.ConnRefused:
		c.state.ConnectionRefused(now, e.To.To, e.To.Incarnation, &c.out)
	case grpeer.Answered:
		received := grwire.PeerMessageFrom(&e.Answer)
		c.state.Acknowledged(now, e.SentAt, received.From.ID)
		c.state.LearnCapacity(&received, &c.out)
		if !e.Answer.Empty {
			if next, more := c.state.Receive(now, received, &c.out); more {
				c.node.peerClient.Send(grcluster.Outgoing{To: e.To.To, Incarnation: received.From.Incarnation, Message: next})
			}
		}
		c.state.LearnView(now, e.SentAt, &received)
	}
}

// executeOutput carries out what the cluster state machine decided: it sends messages to
// peers and passes new state to the router.
func (c *controlLoop) executeOutput() {
	for i := range c.out.Messages {
		c.node.peerClient.Send(c.out.Messages[i])
	}
	for _, m := range c.out.ShardMaps {
		c.node.post(mapUpdated{m})
	}
	c.logSearcherChanges()
	c.logDepartures()
	c.logEvacuations()
	for i := range c.out.RateLimits {
		c.node.post(&rateLimitLearned{c.out.RateLimits[i]})
	}
	if a := c.out.ActivePreset; a != nil {
		c.node.Log.Info("preset in force",
			zap.Uint64("generation", uint64(a.Generation)), zap.String("preset", string(a.Preset.Name)))
		c.node.activationMS.Store(int64(c.node.Clock.Now() - a.SwitchedAt))
		c.node.post(&presetActivated{*a})
	}
	if t := c.out.RoutingTable; t != nil {
		c.activateTable(t)
	}
	refresh := c.out.SearchersChanged || c.out.ActivePreset != nil || c.out.RoutingTable != nil
	changed := c.out.MembersChanged
	c.out.Reset()
	switch {
	case refresh && c.node.Adapter != nil:
		c.searchersStale = true
	case refresh:
		c.refreshServices()
	}
	if changed {
		c.logMemberStates()
		c.updateReadiness(c.node.Clock.Now())
	}
	becameKnown := c.updateMemberCount(c.node.Clock.Now())
	if becameKnown || !c.node.ready.Load() {
		// Callers are waiting for readiness or for connections, so don't wait for the next tick.
		c.refreshIfStale(c.node.Clock.Now())
	}
}

// maxLoggedSearchers limits the number of searchers named in a log line.
const maxLoggedSearchers = 8

// logSearcherChanges writes one log line that names the searchers that are leaving or gone,
// as this instance read it from the platform; other changes are only counted.
func (c *controlLoop) logSearcherChanges() {
	changes := c.out.SearcherChanges
	if len(changes) == 0 {
		return
	}
	var leaving []string
	for i := range changes {
		if s := &changes[i]; s.State != grcluster.Live && len(leaving) < maxLoggedSearchers {
			leaving = append(leaving, string(s.ID)+" "+s.State.String())
		}
	}
	last := &changes[len(changes)-1]
	c.node.Log.Info("searchers changed", zap.Int("count", len(changes)), zap.Strings("leaving", leaving),
		zap.Uint64("revision", uint64(last.Revision)), zap.Stringer("read", last.Read))
}

// logMemberStates logs each member whose state changed.
func (c *controlLoop) logMemberStates() {
	for _, m := range c.state.Status() {
		if old, known := c.memberStates[m.ID]; known && old != m.State {
			c.node.Log.Info("member changed", zap.String("member", string(m.ID)), zap.Stringer("state", m.State))
		}
		c.memberStates[m.ID] = m.State
	}
}
