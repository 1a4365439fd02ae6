package grcluster

import (
	"slices"

	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/coordination/grlease"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// The view of an instance consists of the searchers that it may use, its routing table and the
// evacuated failure domains. Package grlease tells how long it may act on them. The proofs come
// from the instances that watch the platform and spread with the answers to heartbeats: each
// instance asks one that is a level nearer to the watchers.

// View describes the view of an instance to others.
type View struct {
	Digest grgossip.Digest
	Proven bool           // the view is proven; see package grlease
	Age    grclock.Millis // of the proof
}

// view returns the description of this instance's view.
func (c *Cluster) view(now grclock.Millis) View {
	at, ok := c.lease.ProvenAt()
	return View{Digest: c.viewDigest, Proven: ok, Age: max(now-at, 0)}
}

// viewDigestOf returns an item's contribution to the digest of the view. Searchers that are
// gone and evacuations that have ended are not part of it: not every instance has known them.
func viewDigestOf(item Item) grgossip.Digest {
	switch {
	case item.Value.Kind == SearcherKind && StateOf(item.Version) != Gone,
		item.Value.Kind == EvacuationKind && StateOf(item.Version) != Gone,
		item.Value.Kind == RoutingTableKind:
		return grgossip.Digest(grident.Mix(grident.Hash(item.Key) ^ grident.Mix(digestInput(item)+1)))
	}
	return 0
}

// Turn records a turn of the event loop, before its event is handled. It returns how long the
// process stood still before, or 0. What was measured meanwhile tells nothing of others.
func (c *Cluster) Turn(now grclock.Millis) grclock.Millis {
	stopped := c.lease.Turn(now)
	if stopped > 0 {
		c.detector.stopped(now)
	}
	return stopped
}

// ReadBegan records that a call that reads a source was sent; the platform may wait that long
// with its answer.
func (c *Cluster) ReadBegan(source grlease.Source, at, wait grclock.Millis) {
	c.lease.ReadBegan(source, at, wait)
}

// ReadSucceeded records that the changes of a source up to the time given have been read and
// passed to this state machine.
func (c *Cluster) ReadSucceeded(source grlease.Source, asOf grclock.Millis) {
	c.lease.ReadSucceeded(source, asOf)
}

// ReadFailed records that a read that began at the time given failed.
func (c *Cluster) ReadFailed(now grclock.Millis, source grlease.Source, began grclock.Millis) {
	if c.lease.ReadFailed(source, began) && source == grlease.Searchers {
		c.registry.ReadFailed(now)
	}
}

// LearnView evaluates what another instance says of its view in its answer to a message sent
// at askedAt. Unlike a message that comes unasked, an answer is no older than the question.
func (c *Cluster) LearnView(now, askedAt grclock.Millis, answer *Message) {
	if answer.PlatformAway {
		c.registry.PeerOutage(askedAt)
	}
	v, asOf := answer.View, askedAt-answer.View.Age
	if own, ok := c.lease.ProvenAt(); answer.PlatformAway && (!v.Proven || ok && asOf <= own) {
		c.lease.PeerAway(askedAt)
	}
	if !v.Proven {
		return
	}
	c.registry.Served(now, asOf)
	if v.Digest == c.viewDigest {
		c.lease.PeerProven(asOf)
	}
}

// ViewUntil returns the time until which this instance may act on its view.
func (c *Cluster) ViewUntil(now grclock.Millis) grclock.Millis { return c.lease.Until(now) }

// ProofUntil returns the time until which it may act on its view by the last proof alone.
func (c *Cluster) ProofUntil() grclock.Millis { return c.lease.ProofUntil() }

// ViewProvenAt returns the time as of which the view is proven; ok is false if it is not.
func (c *Cluster) ViewProvenAt() (at grclock.Millis, ok bool) { return c.lease.ProvenAt() }

// DoubtAt returns the time from which a newer proof of the source is needed.
func (c *Cluster) DoubtAt(source grlease.Source) grclock.Millis { return c.lease.DoubtAt(source) }

// PlatformAway reports whether the view is used without a proof, since the platform cannot be
// read.
func (c *Cluster) PlatformAway(now grclock.Millis) bool { return c.lease.Away(now) }

// Reads tells for each source whether this instance reads it: as one of those that watch the
// platform, or since it is in doubt.
func (c *Cluster) Reads(now grclock.Millis) (reads [grlease.SourceCount]bool) {
	watches, rank := c.IsWatcher(), c.readRank()
	spread := float64(grident.Hash(c.Self.ID)>>32) / (1 << 32)
	for source := range grlease.SourceCount {
		reads[source] = c.lease.ShouldRead(now, source, watches, rank, spread)
	}
	return reads
}

// readRank returns the number of live members before this instance in hash order. Unlike the
// order of levels it does not change with who can reach the platform.
func (c *Cluster) readRank() int {
	rank := 0
	for _, m := range c.Members() {
		if c.isSelf(m) {
			break
		}
		if c.stateOf(m.ID) == Live {
			rank++
		}
	}
	return rank
}

// askForView asks other instances for a newer proof of the view if one is needed soon.
func (c *Cluster) askForView(now grclock.Millis) {
	if !c.lease.Seeks(now) || c.lease.Away(now) {
		return
	}
	message := c.newMessage(now)
	message.AsksView, message.View = true, c.view(now)
	message.Items.Digest = c.items.Digest()
	if now > c.lease.Until(now) {
		c.sendToSample(c.Members(), message)
		return
	}
	if m, ok := c.viewSource(); ok {
		c.send(m.PeerAddress, m.Incarnation, message)
	}
}

// levelRatio is the number of instances of a level for each one of the level before.
const levelRatio = 8

// viewSource returns a random member of the level before this instance's own, to ask for its
// view. ok is false if there is none.
func (c *Cluster) viewSource() (m Member, ok bool) {
	if c.lease.Bound == 0 {
		return Member{}, false
	}
	order := c.byLevel()
	self := slices.IndexFunc(order, c.isSelf)
	from, to := levelBefore(self, c.WatcherCount, len(order))
	candidates := slices.DeleteFunc(slices.Clone(order[from:to]), func(m Member) bool { return c.isSelf(m) || c.stateOf(m.ID) != Live })
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[c.Random.IntN(len(candidates))], true
}

// byLevel returns the members in the order of their levels: the watchers, then the others in
// hash order.
func (c *Cluster) byLevel() []Member {
	order := c.watchers()
	first := len(order)
	for _, m := range c.Members() {
		if !slices.ContainsFunc(order[:first], func(w Member) bool { return w.ID == m.ID }) {
			order = append(order, m)
		}
	}
	return order
}

// levelBefore returns the bounds of the level before that of the member at index, in the order
// of levels. The first level holds as many members as watch, and is its own source.
func levelBefore(index, watchers, members int) (from, to int) {
	from, to = 0, max(watchers, 1)
	size := to * levelRatio
	for index >= to+size {
		from, to = to, to+size
		size *= levelRatio
	}
	return min(from, members), min(to, members)
}
