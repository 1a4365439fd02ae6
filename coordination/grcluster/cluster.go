// Package grcluster maintains the cluster state that instances replicate among each
// other by gossip: the members, the searchers, their states and rate limits, the active
// preset, the routing table, the evacuated failure domains, the divisor of connection limits,
// and which instances watch the platform.
//
// A Cluster is a pure state machine over a grgossip.Map. It takes events, and
// collects the messages to peers and the changes in an Output:
//
//	cluster := &grcluster.Cluster{Self: member, Seeds: seeds}
//	cluster.Init(now, &out)
//	reply, ok := cluster.Receive(now, message, &out)
//	cluster.Tick(now, &out)
package grcluster

import (
	"slices"

	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/coordination/grlease"
	"geraniumrouter/coordination/grregistry"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/state/grsnapshot"
)

// Intervals of heartbeats and startup.
const (
	HeartbeatInterval = 500 * grclock.Millisecond
	SuspectAfter      = 1500 * grclock.Millisecond
	startupTimeout    = grclock.Second // longest wait for peers at startup if the platform cannot be read
	// platformReadWindow is how long a starting instance reads from the platform before
	// it requests what it still lacks from its peers.
	platformReadWindow = 500 * grclock.Millisecond
)

// Fan-out of heartbeats and changes.
const (
	Neighbours = 4 // members of the group that an instance sends heartbeats to, if all answer
	pushFanout = 4 // members that a change is pushed to immediately
	pushRounds = 3 // number of heartbeats that carry a change
)

// Cluster is the cluster state as one instance holds it. Set the exported fields
// before Init.
type Cluster struct {
	Self            Member
	Seeds           []grident.Address // peers to contact at startup
	Random          grident.Random
	Load            int  // queries in flight here, sent to the other instances
	PushImmediately bool // push changes immediately, not only with heartbeats
	GroupCount      int  // number of groups of instances that share searchers; 0 means 1
	// UncoordinatedDivisor divides connection limits by the number of members not known to
	// have ended, without waiting until the members count each other. The sum of all
	// connections can then exceed a limit for a while, which is acceptable where
	// searchers refuse surplus connections and instances use far fewer than their
	// share.
	UncoordinatedDivisor bool
	WatcherCount         int // instances that watch the platform in total; 0: one in each failure domain
	// ViewBound is the time within which a change of the searchers or the routing table must
	// be in force everywhere; 0: none, and the lease on the view never ends.
	ViewBound grclock.Millis
	// EntryLapseTime is the shortest outage of the platform in which a searcher's entry can
	// expire; 0: any.
	EntryLapseTime grclock.Millis
	// ReadsEvacuations tells that the platform holds the evacuated failure domains.
	ReadsEvacuations bool

	items              grgossip.Map[Value] // replicated to all instances
	groupItems         grgossip.Map[Value] // replicated within the group
	registry           grregistry.Registry // what was read of the platform's list of searchers, where it has revisions
	readingSearchers   bool                // a searcher that this instance read is being stored
	readingEvacuations bool                // an evacuation that this instance read is being stored
	lease              grlease.Lease
	viewDigest         grgossip.Digest  // of the usable searchers, the routing table and the evacuations
	evacuationsUpTo    grident.Revision // every change of the evacuations up to it was read; 0: no complete list was
	evacuationGraceEnd grclock.Millis   // until when evacuations may be written again after the platform came back from a copy; 0: none may
	presetRegister     grpreset.ActiveRegister
	loads              map[grident.InstanceID]int
	stated             map[grident.InstanceID]statedCapacity
	detector           failureDetector
	isolated           bool                                  // nothing is heard of any other member
	published          grconnlimit.PublishedDivisor          // own connection divisor and the members it counts
	divisorStale       bool                                  // inputs of the divisor changed
	pendingDivisor     int                                   // larger divisor, limits connections already; published when they are reduced to it
	seedsRead          bool                                  // the addresses registered at the platform were added
	refusedSeeds       map[grident.Address]bool              // nothing listened there
	membersRead        bool                                  // the platform's list of members was read
	listMisses         map[grident.SearcherID]int            // consecutive lists of the platform without the searcher
	rateLimitsAt       map[grident.SearcherID]grclock.Millis // last publications of rate limits
	eraListedAt        grclock.Millis                        // first list of the newest era that this instance read
	copiedEntries      map[grident.SearcherID]copiedEntry    // see era.go
	departures         map[grident.SearcherID]Departure      // newest announcement of each
	coldEntries        map[grident.SearcherID]ColdEntry      // what entries say of the time for which searchers stay cold
	unlistedRuns       map[grident.SearcherID]missingRun     // searchers of other instances that the platform does not list
	missingRuns        map[grident.InstanceID]missingRun
	nextHeartbeat      grclock.Millis
	members            []Member // members that are not gone, ordered by hash; rebuilt when stale
	groupMembers       []Member // those of this instance's group
	membersStale       bool
	out                *Output
	divisorSeq         uint64 // number of times that this run published its divisor
	ownState           State  // the state that this instance publishes of itself
	startedAt          grclock.Millis
	startupDone        bool // enough was read to activate a preset
}

// Init prepares the state at startup. It must be called once, before all other
// methods.
func (c *Cluster) Init(now grclock.Millis, out *Output) {
	c.detector.init(now)
	c.loads = make(map[grident.InstanceID]int)
	c.stated = make(map[grident.InstanceID]statedCapacity)
	c.refusedSeeds = make(map[grident.Address]bool)
	c.listMisses = make(map[grident.SearcherID]int)
	c.rateLimitsAt = make(map[grident.SearcherID]grclock.Millis)
	c.unlistedRuns = make(map[grident.SearcherID]missingRun)
	c.copiedEntries = make(map[grident.SearcherID]copiedEntry)
	c.missingRuns = make(map[grident.InstanceID]missingRun)
	c.coldEntries = make(map[grident.SearcherID]ColdEntry)
	c.departures = make(map[grident.SearcherID]Departure)
	c.lease.Bound, c.registry.LapseTime = c.ViewBound, c.EntryLapseTime
	c.lease.Evacuations = c.ReadsEvacuations
	c.items.PushRounds, c.groupItems.PushRounds = pushRounds, pushRounds
	c.items.OnChange = c.itemChanged
	if c.UncoordinatedDivisor {
		// One push is enough: each instance receives a change from several others,
		// and the comparison of digests recovers lost ones.
		c.items.PushRounds = 1
		c.items.DigestInput = digestInput
		c.items.CompareFrom = now + platformReadWindow
		c.items.IsLarge = func(item Item) bool { return item.Value.Kind == RoutingTableKind || item.Value.Kind == SearcherKind }
	}
	c.groupItems.OnChange = func(grclock.Millis, Item, Item) { c.divisorStale = true }
	c.membersStale = true
	c.runStep(now, out, func() {
		c.put(now, memberKey(c.Self.ID), versionOf(c.Self.Incarnation, 0, Live), Value{Kind: MemberKind, Member: c.Self})
		c.publishDivisor(now)
	})
	c.nextHeartbeat = now
	c.startedAt = now
}

// Receive processes a message of a peer and returns the reply; ok is false if there
// is none.
func (c *Cluster) Receive(now grclock.Millis, got Message, out *Output) (answer Message, ok bool) {
	c.detector.heard(now, got.From.ID)
	c.loads[got.From.ID] = got.Load
	c.LearnCapacity(&got, out)
	if got.PlatformAway && now-c.startedAt < grregistry.GracePeriod {
		// Later, the message may have waited here while this process stood still.
		c.registry.PeerOutage(now)
	}
	c.runStep(now, out, func() {
		if got.Introduction != NoIntroduction {
			c.receiveIntroduction(now, &got)
		}
		got.Items.CompareNow = got.AsksView && got.View.Digest != c.viewDigest
		answer = c.newMessage(now)
		answer.Items, ok = c.items.Receive(now, got.Items)
		answer.View = c.view(now)
		if got.GroupItems != nil && c.groupOf(got.From.ID) == c.groupOf(c.Self.ID) {
			if group, more := c.groupItems.Receive(now, *got.GroupItems); more {
				answer.GroupItems, ok = &group, true
			}
		}
		c.updateDivisor(now)
		if own, known := c.items.Get(memberKey(c.Self.ID)); known && got.Introduction == Introduces {
			answer.Introduction, ok = AnswersIntroduction, true
			answer.Items.Items = append(answer.Items.Items, own)
		}
	})
	return answer, ok
}

// Acknowledged records that a peer accepted a message that was sent at the time given.
func (c *Cluster) Acknowledged(now, sentAt grclock.Millis, id grident.InstanceID) {
	c.detector.heard(now, id)
	c.detector.answered(now, sentAt)
}

// ConnectionRefused records that a connection to a member's peer address was refused.
// It proves that the given run has ended, the run known at this address when the
// message was prepared.
func (c *Cluster) ConnectionRefused(now grclock.Millis, address grident.Address, run grident.Incarnation, out *Output) {
	if run == 0 && !c.refusedSeeds[address] {
		c.refusedSeeds[address], out.MembersChanged = true, true
	}
	c.runStep(now, out, func() {
		for _, m := range slices.Clone(c.Members()) {
			if m.PeerAddress == address && m.Incarnation == run && m.ID != c.Self.ID {
				c.setMember(now, m.ID, Gone)
			}
		}
		c.updateDivisor(now)
	})
}

// Tick runs the timers. It must be called at the time that NextWake returns, or
// earlier.
func (c *Cluster) Tick(now grclock.Millis, out *Output) {
	c.runStep(now, out, func() {
		if now >= c.nextHeartbeat {
			c.nextHeartbeat = now + HeartbeatInterval
			c.sendHeartbeats(now)
		}
		if now-c.startedAt >= startupTimeout {
			c.completeStartup()
		}
		c.updateSuspects(now)
		c.askForView(now)
		c.removeDue(now, Delayed)
		c.endLostEvacuations(now)
		c.updateDivisor(now)
	})
}

// NextWake returns the time by which Tick must be called.
func (c *Cluster) NextWake() grclock.Millis { return c.nextHeartbeat }

// Leave marks this instance as leaving or, with done, as gone. With done, its
// connections must be closed already.
func (c *Cluster) Leave(now grclock.Millis, done bool, out *Output) {
	c.runStep(now, out, func() {
		c.ownState = Leaving
		if done {
			c.ownState = Gone
			c.published = grconnlimit.PublishedDivisor{}
			c.publishDivisor(now)
		}
		c.setMember(now, c.Self.ID, c.ownState)
	})
}

// SetPreset stores and publishes an accepted switch of the preset.
func (c *Cluster) SetPreset(now grclock.Millis, a *grpreset.ActivePreset, out *Output) {
	c.runStep(now, out, func() {
		c.put(now, presetKey, grgossip.Version(a.Generation), Value{Kind: PresetKind, Preset: a})
	})
}

// SetShardMap stores and publishes a shard map; version is the revision of its object
// on the platform.
func (c *Cluster) SetShardMap(now grclock.Millis, m *grsnapshot.ShardMap, version grident.Revision, out *Output) {
	c.runStep(now, out, func() {
		c.put(now, shardMapKey(m.Collection), grgossip.Version(version), Value{Kind: ShardMapKind, ShardMap: m})
	})
}

// SetRoutingTable stores and publishes a routing table if its version is higher than
// that of the one held.
func (c *Cluster) SetRoutingTable(now grclock.Millis, t *grroutes.Table, out *Output) {
	c.runStep(now, out, func() {
		c.put(now, routingTableKey, grgossip.Version(t.Version), Value{Kind: RoutingTableKind, RoutingTable: t})
	})
}

// RoutingTable returns the active routing table, or nil.
func (c *Cluster) RoutingTable() *grroutes.Table {
	item, _ := c.items.Get(routingTableKey)
	return item.Value.RoutingTable
}

// ActivePreset returns the active preset; ok is false if there is none.
func (c *Cluster) ActivePreset() (*grpreset.ActivePreset, bool) { return c.presetRegister.Active() }

// SetRegisteredMembers records the members in the platform's list of members, which
// includes this instance.
func (c *Cluster) SetRegisteredMembers(now grclock.Millis, members []Member, out *Output) {
	c.membersRead, c.divisorStale = true, true
	c.runStep(now, out, func() {
		for _, m := range members {
			if m.ID != c.Self.ID {
				c.put(now, memberKey(m.ID), versionOf(m.Incarnation, 0, Live), Value{Kind: MemberKind, Member: m})
			}
			if c.groupOf(m.ID) == c.groupOf(c.Self.ID) {
				value := Value{Kind: RegisteredMemberKind, Publisher: m.Member}
				c.groupItems.Put(now, Item{Key: registeredKey(m.ID), Version: 1, Value: value})
			}
		}
		c.updateDivisor(now)
	})
}

// ItemSummary returns the number of items held and their digest.
func (c *Cluster) ItemSummary() (int, grgossip.Digest) { return c.items.Len(), c.items.Digest() }

// runStep runs a step that collects its results in out, and then pushes the new
// changes.
func (c *Cluster) runStep(now grclock.Millis, out *Output, step func()) {
	c.out = out
	step()
	c.pushChanges(now)
	c.out = nil
}

// newMessage returns a message without items.
func (c *Cluster) newMessage(now grclock.Millis) Message {
	return Message{From: c.Self.Member, Load: c.Load, Capacity: c.Self.Capacity, PlatformAway: c.registry.AwaitsReturns(now)}
}

func (c *Cluster) put(now grclock.Millis, key grgossip.Key, version grgossip.Version, value Value) bool {
	return c.items.Put(now, Item{Key: key, Version: version, Value: value})
}

// itemChanged handles the replacement of an item.
func (c *Cluster) itemChanged(now grclock.Millis, old, item Item) {
	c.viewDigest ^= viewDigestOf(old) ^ viewDigestOf(item)
	switch item.Value.Kind {
	case PresetKind:
		if c.startupDone {
			c.activatePreset()
		}
	case ShardMapKind:
		c.out.ShardMaps = append(c.out.ShardMaps, item.Value.ShardMap)
	case RoutingTableKind:
		c.out.RoutingTable = item.Value.RoutingTable
	case SearcherKind:
		c.out.SearchersChanged = true
		c.learnCold(now, old, item)
		c.checkOutdated(now, old, item)
		c.carryOver(now, old, item)
	case EvacuationKind:
		c.evacuationChanged(now, old, item)
	case DepartureKind:
		c.departureChanged(item.Value.Departure)
	case RateLimitKind:
		c.out.RateLimits = append(c.out.RateLimits, item.Value.RateLimit)
	case MemberKind:
		c.membersStale, c.divisorStale, c.out.MembersChanged = true, true, true
		c.out.SearchersChanged = c.out.SearchersChanged || c.UncoordinatedDivisor
		if StateOf(old.Version) == Suspect && StateOf(item.Version) == Live {
			c.detector.refuted(item.Value.Member.ID)
		}
		c.refute(now, item)
	}
}

// activatePreset activates the newest known preset.
func (c *Cluster) activatePreset() {
	item, ok := c.items.Get(presetKey)
	if !ok || !c.presetRegister.SetIfNewer(*item.Value.Preset) {
		return
	}
	active, _ := c.presetRegister.Active()
	c.out.ActivePreset = active
}

// PlatformRead records that the platform's objects were read. The instance then no
// longer waits for peers before it activates a preset.
func (c *Cluster) PlatformRead(now grclock.Millis, out *Output) {
	c.runStep(now, out, func() { c.completeStartup() })
}

// completeStartup completes the startup. A preset is not activated earlier, because a
// restarted instance could receive an outdated one from a peer that lags behind.
func (c *Cluster) completeStartup() {
	if !c.startupDone {
		c.startupDone = true
		c.activatePreset()
	}
}
