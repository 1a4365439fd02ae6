package grnode

import (
	"context"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/coordination/grcontrol"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/transport/grplatform"
)

// Pauses of the duties that follow the platform.
const (
	firstWatchPause = 100 * grclock.Millisecond
	maxWatchPause   = 5 * grclock.Second
	registerTimeout = 10 * grclock.Second
)

var membersCodec = grplatform.Codec[grwire.MembersWire]{Decode: grwire.DecodeMembers, Encode: grwire.EncodeMembers}

// watchObjects follows the objects of the platform, once at the start and then
// while it is this instance's turn. After a failure or a compaction it lists
// them again.
func (c *control) watchObjects(ctx context.Context) error {
	version := uint64(0)
	pause := firstWatchPause
	random := grid.Random{State: uint64(c.node.run)}
	for ctx.Err() == nil {
		if version != 0 && !c.watching.Load() {
			c.node.Clock.Sleep(ctx, idleInterval)
			continue
		}
		list, err := c.readObjects(ctx, version)
		if err != nil {
			version = 0
			c.node.platformUp.Store(false)
			c.node.Clock.Sleep(ctx, pause/2+grclock.Millis(random.Below(int(pause))))
			pause = min(2*pause, maxWatchPause)
			continue
		}
		pause = firstWatchPause
		c.node.platformUp.Store(true)
		c.post(controlEvent{objects: list.Objects, listed: version == 0})
		version = max(list.Version, 1)
	}
	return nil
}

func (c *control) readObjects(ctx context.Context, version uint64) (grwire.ListReply, error) {
	if version > 0 {
		return c.node.platform.Watch(ctx, version)
	}
	maps, err := c.node.platform.List(ctx, grwire.MapPrefix)
	if err != nil {
		return maps, err
	}
	active, err := c.node.platform.Get(ctx, grwire.ActiveKey)
	maps.Objects = append(maps.Objects, active)
	return maps, err
}

// watchInstances follows the platform's list of instances while it is this
// instance's turn.
func (c *control) watchInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.watching.Load() {
			if list, err := c.node.platform.Instances(ctx); err == nil {
				c.post(controlEvent{instances: list.Instances})
			}
		}
		c.node.Clock.Sleep(ctx, instanceInterval)
	}
	return nil
}

// register enters this run in the platform's list of members, which orders the
// instances that start at the same time.
func (c *control) register(ctx context.Context) error {
	self := grwire.MemberTo(&c.state.Self)
	for ctx.Err() == nil {
		change := &grchange.Change[grwire.MembersWire]{
			Deadline: c.node.Clock.Now() + registerTimeout,
			Random:   grid.Random{State: uint64(c.node.run)},
			Apply: func(current grwire.MembersWire, _ grid.Revision) grchange.Verdict[grwire.MembersWire] {
				return withMember(current, self)
			},
		}
		step := grplatform.Run(ctx, c.node.platform, grwire.MembersKey, membersCodec, change)
		if step.End == grchange.Applied {
			c.post(controlEvent{members: membersFrom(step.Next)})
			return nil
		}
	}
	return nil
}

// withMember adds this run to the list. Ids are never taken out: one that
// returns while the platform is down relies on standing in it.
func withMember(current grwire.MembersWire, self grwire.MemberWire) grchange.Verdict[grwire.MembersWire] {
	next := grwire.MembersWire{Members: []grwire.MemberWire{self}}
	for _, m := range current.Members {
		if m == self {
			return grchange.Verdict[grwire.MembersWire]{Settled: true}
		}
		if m.ID != self.ID {
			next.Members = append(next.Members, m)
		}
	}
	return grchange.Verdict[grwire.MembersWire]{Next: next}
}

func membersFrom(w grwire.MembersWire) []grcontrol.Member {
	list := make([]grcontrol.Member, len(w.Members))
	for i := range w.Members {
		list[i] = grwire.MemberFrom(&w.Members[i])
	}
	return list
}
