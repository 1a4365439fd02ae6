package grnode

import (
	"context"

	"geraniumrouter/coordination/grcas"
	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grlease"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grplatform"
)

// Back-off and timeouts of the goroutines that read from the platform.
const (
	minWatchBackoff = 100 * grclock.Millisecond
	maxWatchBackoff = 5 * grclock.Second
	registerTimeout = 10 * grclock.Second
)

var membersCodec = grplatform.Codec[grwire.MembersWire]{Decode: grwire.DecodeMembers, Encode: grwire.EncodeMembers}

// watchObjects follows the objects of the platform: it reads them once at the start, and
// watches them while this instance is one of the watchers. After a failure or a
// compaction of the platform's history it lists them again.
func (c *controlLoop) watchObjects(ctx context.Context) error {
	version := uint64(0)
	backoff := minWatchBackoff
	random := grident.Random{State: uint64(c.node.incarnation)}
	for ctx.Err() == nil {
		if version != 0 && !c.node.ShouldRead(grlease.Searchers) {
			c.node.Clock.Sleep(ctx, watcherCheckInterval)
			continue
		}
		list, err := c.readObjects(ctx, version)
		if err != nil {
			version = 0
			c.node.platformUp.Store(false)
			c.node.Clock.Sleep(ctx, backoff/2+grclock.Millis(random.IntN(int(backoff))))
			backoff = min(2*backoff, maxWatchBackoff)
			continue
		}
		backoff = minWatchBackoff
		c.node.platformUp.Store(true)
		c.post(controlEvent{objects: list.Objects, fullListing: version == 0})
		version = max(list.Version, 1)
	}
	return nil
}

func (c *controlLoop) readObjects(ctx context.Context, version uint64) (grwire.ListReply, error) {
	if version > 0 {
		return c.node.platform.Watch(ctx, version)
	}
	maps, err := c.node.platform.List(ctx, grwire.ShardMapPrefix)
	if err != nil {
		return maps, err
	}
	active, err := c.node.platform.Get(ctx, grwire.ActivePresetKey)
	maps.Objects = append(maps.Objects, active)
	return maps, err
}

// watchInstances polls the platform's list of instances while this instance is one of
// the watchers.
func (c *controlLoop) watchInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.node.ShouldRead(grlease.Searchers) {
			if list, err := c.node.platform.Instances(ctx); err == nil {
				c.post(controlEvent{instances: list.Instances})
			}
		}
		c.node.Clock.Sleep(ctx, instancePollInterval)
	}
	return nil
}

// register adds this run to the platform's list of members, which defines an order among
// instances that start at the same time.
func (c *controlLoop) register(ctx context.Context) error {
	self := grwire.MemberTo(&c.state.Self)
	for ctx.Err() == nil {
		update := &grcas.Update[grwire.MembersWire]{
			Deadline: c.node.Clock.Now() + registerTimeout,
			Random:   grident.Random{State: uint64(c.node.incarnation)},
			Apply: func(current grwire.MembersWire, _ grident.Revision) grcas.ApplyResult[grwire.MembersWire] {
				return withMember(current, self)
			},
		}
		step := grplatform.Update(ctx, c.node.platform, grwire.MembersKey, membersCodec, update)
		if step.Outcome == grcas.Applied {
			c.post(controlEvent{members: membersFrom(step.Next)})
			return nil
		}
	}
	return nil
}

// withMember adds this run to the list. Ids are never removed: an instance that restarts
// while the platform is down relies on being listed.
func withMember(current grwire.MembersWire, self grwire.MemberWire) grcas.ApplyResult[grwire.MembersWire] {
	next := grwire.MembersWire{Members: []grwire.MemberWire{self}}
	for _, m := range current.Members {
		if m == self {
			return grcas.ApplyResult[grwire.MembersWire]{AlreadyApplied: true}
		}
		if m.ID != self.ID {
			next.Members = append(next.Members, m)
		}
	}
	return grcas.ApplyResult[grwire.MembersWire]{Next: next}
}

func membersFrom(w grwire.MembersWire) []grcluster.Member {
	list := make([]grcluster.Member, len(w.Members))
	for i := range w.Members {
		list[i] = grwire.MemberFrom(&w.Members[i])
	}
	return list
}
