// Package grcontrol decides what an instance knows and tells: who is a member,
// which searchers may get work, which preset is in force, how connection limits
// are divided, and which few instances watch the platform.
//
// A Control is a pure state machine over a grspread.Map. Events go in, and an
// Out collects the messages to peers and what changed:
//
//	control := &grcontrol.Control{Self: member, Seeds: seeds}
//	control.Init(now, &out)
//	control.Receive(now, from, message, &out)
//	control.Tick(now, &out)
package grcontrol

import (
	"slices"

	"geraniumrouter/coordination/grshare"
	"geraniumrouter/coordination/grspread"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
	"geraniumrouter/state/grtable"
)

// Message is what instances send each other.
type Message struct {
	From grshare.Member
	Load int // queries in flight at the sender
	Body grspread.Message[Value]
	// Group is about how the sender's group divides connection limits; nil when
	// the receiver is of another group or nothing is to be said.
	Group *grspread.Message[Value]
}

// Outgoing is a message with its destination. Its answer, if any, is to be
// given to Receive.
type Outgoing struct {
	To      grid.Address
	Run     grid.Incarnation // of the member that is known there, or 0
	Message Message
}

// Out collects what a call decided. Callers reuse it to keep its memory.
type Out struct {
	Messages  []Outgoing
	Active    *grpreset.Active  // a preset that is in force from now on
	Maps      []*grsnapshot.Map // shard maps that are new
	Table     *grtable.Table    // a routing table that is in force from now on
	Searchers bool              // the searchers or shares changed
	Members   bool              // the members or their states changed
}

// Reset empties the lists.
func (o *Out) Reset() { *o = Out{Messages: o.Messages[:0], Maps: o.Maps[:0]} }

// Spans of the control duty.
const (
	HeartbeatInterval = 500 * grclock.Millisecond
	SuspectAfter      = 1500 * grclock.Millisecond
	settleAfter       = grclock.Second // wait for peers at the start, without the platform
	// readWithin is how long an instance that starts reads from the platform before
	// it takes from others all that it lacks.
	readWithin = 500 * grclock.Millisecond
)

// Sizes of the control duty.
const (
	Neighbours = 4 // others of the group that an instance sends heartbeats to
	fanout     = 4 // others that a change is pushed to at once
	pushRounds = 3 // heartbeats that repeat a change
)

// Control is the state of one instance. Set the exported fields before Init.
type Control struct {
	Self   Member
	Seeds  []grid.Address // peers to ask at the start
	Random grid.Random
	Load   int  // queries in flight, told to others
	Push   bool // push changes at once, not only with heartbeats
	Groups int  // sets of instances that share searchers; 0 stands for 1
	// Unproven divides connection limits by the members that are not known to
	// have ended, without waiting until each counts the others. It suits searchers
	// that turn surplus connections away and instances that hold far fewer than
	// their part.
	Unproven bool
	Watchers int // instances that watch the platform, over all; 0: one in each failure domain

	items      grspread.Map[Value] // kept equal on all instances
	shares     grspread.Map[Value] // kept equal on the instances of one group
	register   grpreset.Register
	loads      map[grid.InstanceID]int
	asked      map[grid.InstanceID]grclock.Millis // first heartbeat without an answer
	holding    grshare.Holding
	unreviewed bool // what decides on the divisor changed
	lowered    int  // divisor that the connections in use must come down to first
	registered bool
	listed     map[grid.SearcherID]int // misses in the platform's list
	missed     map[grid.InstanceID]missing
	nextBeat   grclock.Millis
	order      []Member // members that are not gone, by hash; rebuilt when stale
	mates      []Member // those of the own group
	stale      bool
	out        *Out
	holdSeq    uint64
	own        State // what this instance says of itself
	startedAt  grclock.Millis
	settled    bool // enough was read to put a preset in force
}

// Init starts the instance; it must be called once before use.
func (c *Control) Init(now grclock.Millis, out *Out) {
	c.asked = make(map[grid.InstanceID]grclock.Millis)
	c.loads = make(map[grid.InstanceID]int)
	c.listed = make(map[grid.SearcherID]int)
	c.missed = make(map[grid.InstanceID]missing)
	c.items.Rounds, c.shares.Rounds = pushRounds, pushRounds
	c.items.Changed = c.changed
	if c.Unproven {
		// Each instance hears of a change from several others, and digests find
		// what got lost.
		c.items.Rounds = 1
		c.items.Mark = markOf
		c.items.RepairFrom = now + readWithin
		c.items.Large = func(item Item) bool { return item.Value.Kind == TableKind || item.Value.Kind == SearcherKind }
	}
	c.shares.Changed = func(grclock.Millis, Item, Item) { c.unreviewed = true }
	c.stale = true
	c.with(out, func() {
		c.put(now, memberKey(c.Self.ID), versionOf(c.Self.Run, 0, Live), Value{Kind: MemberKind, Member: c.Self})
		c.publishHolding(now)
	})
	c.nextBeat = now
	c.startedAt = now
}

// Receive takes a message of a peer and returns the answer to it; ok is false
// when there is none.
func (c *Control) Receive(now grclock.Millis, got Message, out *Out) (answer Message, ok bool) {
	c.hear(got.From.ID, got.Load)
	c.with(out, func() {
		answer = Message{From: c.Self.Member, Load: c.Load}
		answer.Body, ok = c.items.Receive(now, got.Body)
		if got.Group != nil && c.groupOf(got.From.ID) == c.groupOf(c.Self.ID) {
			if group, more := c.shares.Receive(now, *got.Group); more {
				answer.Group, ok = &group, true
			}
		}
		c.review(now)
	})
	return answer, ok
}

// Answered notes that a peer took a message and had nothing to say.
func (c *Control) Answered(id grid.InstanceID) { c.hear(id, -1) }

// Refused notes that nothing listens at the peers' address where the run of a
// member was known when a message to it was decided, which proves that this
// run has ended.
func (c *Control) Refused(now grclock.Millis, address grid.Address, run grid.Incarnation, out *Out) {
	c.with(out, func() {
		for _, m := range slices.Clone(c.Members()) {
			if m.Peers == address && m.Run == run && m.ID != c.Self.ID {
				c.setMember(now, m.ID, Gone)
			}
		}
		c.review(now)
	})
}

// Tick lets time pass; it must be called by the time that NextWake gives.
func (c *Control) Tick(now grclock.Millis, out *Out) {
	c.with(out, func() {
		if now >= c.nextBeat {
			c.nextBeat = now + HeartbeatInterval
			c.beat(now)
		}
		if now-c.startedAt >= settleAfter {
			c.settle()
		}
		c.suspectSilent(now)
		c.review(now)
	})
}

// NextWake returns the time by which Tick must be called.
func (c *Control) NextWake() grclock.Millis { return c.nextBeat }

// Leave marks this instance as leaving, or with done as gone: its connections
// are closed then.
func (c *Control) Leave(now grclock.Millis, done bool, out *Out) {
	c.with(out, func() {
		c.own = Leaving
		if done {
			c.own = Gone
			c.holding = grshare.Holding{}
			c.publishHolding(now)
		}
		c.setMember(now, c.Self.ID, c.own)
	})
}

// Adopt takes an accepted switch of preset.
func (c *Control) Adopt(now grclock.Millis, a *grpreset.Active, out *Out) {
	c.with(out, func() {
		c.put(now, presetKey, grspread.Version(a.Generation), Value{Kind: PresetKind, Active: a})
	})
}

// TakeMap takes a shard map; version is that of its object on the platform.
func (c *Control) TakeMap(now grclock.Millis, m *grsnapshot.Map, version grid.Revision, out *Out) {
	c.with(out, func() {
		c.put(now, mapKey(m.Collection), grspread.Version(version), Value{Kind: MapKind, Map: m})
	})
}

// TakeTable takes a routing table if its version is higher than the one held.
func (c *Control) TakeTable(now grclock.Millis, t *grtable.Table, out *Out) {
	c.with(out, func() {
		c.put(now, tableKey, grspread.Version(t.Version), Value{Kind: TableKind, Table: t})
	})
}

// AddSeeds adds peers to ask.
func (c *Control) AddSeeds(seeds []grid.Address) {
	for _, s := range seeds {
		if !slices.Contains(c.Seeds, s) {
			c.Seeds = append(c.Seeds, s)
		}
	}
}

// Table returns the routing table in force, or nil.
func (c *Control) Table() *grtable.Table {
	item, _ := c.items.Get(tableKey)
	return item.Value.Table
}

// Preset returns the switch in force.
func (c *Control) Preset() (*grpreset.Active, bool) { return c.register.Active() }

// Registered notes the members that stand in the platform's list of members,
// this instance among them.
func (c *Control) Registered(now grclock.Millis, members []Member, out *Out) {
	c.registered, c.unreviewed = true, true
	c.with(out, func() {
		for _, m := range members {
			if m.ID != c.Self.ID {
				c.put(now, memberKey(m.ID), versionOf(m.Run, 0, Live), Value{Kind: MemberKind, Member: m})
			}
			if c.groupOf(m.ID) == c.groupOf(c.Self.ID) {
				value := Value{Kind: RegisteredKind, Holder: m.Member}
				c.shares.Put(now, Item{Key: registeredKey(m.ID), Version: 1, Value: value})
			}
		}
		c.review(now)
	})
}

// Items returns the number of items known and their digest.
func (c *Control) Items() (int, grspread.Digest) { return c.items.Len(), c.items.Digest() }

// with runs a step with out as the place for what it decides, and then pushes
// new changes at once.
func (c *Control) with(out *Out, step func()) {
	c.out = out
	step()
	c.pushFresh()
	c.out = nil
}

func (c *Control) put(now grclock.Millis, key grspread.Key, version grspread.Version, value Value) bool {
	return c.items.Put(now, Item{Key: key, Version: version, Value: value})
}

// changed takes note of an item that was just replaced.
func (c *Control) changed(now grclock.Millis, _, item Item) {
	switch item.Value.Kind {
	case PresetKind:
		if c.settled {
			c.putInForce()
		}
	case MapKind:
		c.out.Maps = append(c.out.Maps, item.Value.Map)
	case TableKind:
		c.out.Table = item.Value.Table
	case SearcherKind:
		c.out.Searchers = true
	case MemberKind:
		c.stale, c.unreviewed, c.out.Members = true, true, true
		c.out.Searchers = c.out.Searchers || c.Unproven
		c.refute(now, item)
	}
}

// putInForce puts the newest switch that is known in force.
func (c *Control) putInForce() {
	item, ok := c.items.Get(presetKey)
	if !ok || !c.register.Adopt(*item.Value.Active) {
		return
	}
	active, _ := c.register.Active()
	c.out.Active = active
}

// PlatformRead notes that the platform's objects were read. From then on the
// instance does not wait for more peers before it puts a preset in force.
func (c *Control) PlatformRead(out *Out) {
	c.with(out, func() { c.settle() })
}

// settle ends the start: before it, an instance that was restarted might put
// in force what only a peer that lags still holds.
func (c *Control) settle() {
	if !c.settled {
		c.settled = true
		c.putInForce()
	}
}
