package grnode

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grlease"
	"geraniumrouter/state/grclock"
	"geraniumrouter/transport/grmetric"
)

// viewGate tells all goroutines until when the routing table and the searchers may be used.
type viewGate struct {
	term                  // of the view, with the extensions while the platform cannot be read
	proof    term         // without them
	provenAt atomic.Int64 // time in milliseconds; 0: not proven
	sources  [grlease.SourceCount]sourceGate
}

// term is a time up to which something holds, and that goroutines can wait to be extended.
type term struct {
	until atomic.Int64 // time in milliseconds

	mu       sync.Mutex
	extended chan struct{} // closed at the next extension; nil if nobody waits
}

// sourceGate tells the goroutine that reads a source whether to read, and how soon.
type sourceGate struct {
	reads   atomic.Bool
	doubtAt atomic.Int64 // time in milliseconds
}

// init prepares the gate at startup: all sources are read until the control loop knows better.
// Without a lease the view may always be used.
func (g *viewGate) init(leased bool) {
	for i := range g.sources {
		g.sources[i].reads.Store(true)
		if !leased {
			g.sources[i].doubtAt.Store(int64(grclock.Never))
		}
	}
	if !leased {
		g.until.Store(int64(grclock.Never))
		g.proof.until.Store(int64(grclock.Never))
	}
}

func (t *term) expired(now grclock.Millis) bool { return int64(now) > t.until.Load() }

func (t *term) extend(until grclock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until.Store(int64(until))
	if t.extended != nil {
		close(t.extended)
		t.extended = nil
	}
}

// nextExtension returns a channel that is closed at the next extension.
func (t *term) nextExtension() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.extended == nil {
		t.extended = make(chan struct{})
	}
	return t.extended
}

// AwaitView waits until the routing table may be used, for the given time at most, and reports
// whether it may. It returns at once unless this instance has stood still or hears of nobody
// who reads the platform.
func (n *Node) AwaitView(ctx context.Context, atMost grclock.Millis) bool {
	return n.awaitTerm(ctx, &n.view.term, atMost)
}

// AwaitProof waits like AwaitView, for a view that is proven: one that is used without a proof,
// since the platform cannot be read, does not suffice.
func (n *Node) AwaitProof(ctx context.Context, atMost grclock.Millis) bool {
	return n.awaitTerm(ctx, &n.view.proof, atMost)
}

func (n *Node) awaitTerm(ctx context.Context, t *term, atMost grclock.Millis) bool {
	start := n.Clock.Now()
	if !t.expired(start) {
		return true
	}
	grmetric.Count(n.Metrics, "view_waits_total")
	timer := n.Clock.NewTimer(atMost)
	defer timer.Stop()
	for {
		next := t.nextExtension()
		if now := n.Clock.Now(); !t.expired(now) {
			grmetric.Observe(n.Metrics, "view_wait_ms", now-start)
			return true
		}
		select {
		case <-next:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// ShouldRead reports whether this instance reads the source: as one of those that watch the
// platform, or since it hears of nobody who does.
func (n *Node) ShouldRead(source grlease.Source) bool { return n.view.sources[source].reads.Load() }

// WatchWait returns how long the platform may hold back its answer to a watch of the source
// that is sent now, of the longest wait given.
func (n *Node) WatchWait(source grlease.Source, longest grclock.Millis) grclock.Millis {
	doubtAt := grclock.Millis(n.view.sources[source].doubtAt.Load())
	return grlease.WatchWait(n.Clock.Now(), doubtAt, longest)
}

// viewAge returns the age of the proof of the view in milliseconds, or -1 if there is none.
func (n *Node) viewAge() int64 {
	at := n.view.provenAt.Load()
	if at == 0 {
		return -1
	}
	return int64(n.Clock.Now()) - at
}

// readEvent reports the begin or the end of a call that reads the platform.
type readEvent struct {
	source grlease.Source
	result readResult
	at     grclock.Millis // of readSucceeded: everything acknowledged until then was read; else when the call began
	wait   grclock.Millis // how long the platform may wait with its answer
}

// readResult is the state of a call that reads the platform.
type readResult uint8

const (
	readBegan readResult = iota
	readSucceeded
	readFailed
)

func (e *readEvent) apply(s *grcluster.Cluster, now grclock.Millis) {
	switch e.result {
	case readBegan:
		s.ReadBegan(e.source, e.at, e.wait)
	case readSucceeded:
		s.ReadSucceeded(e.source, e.at)
	case readFailed:
		s.ReadFailed(now, e.source, e.at)
	}
}

// ReadBegan records that a call that reads the platform is sent; the platform may wait for the
// given time with its answer.
func (n *Node) ReadBegan(source grlease.Source, at, wait grclock.Millis) {
	n.controlLoop.post(controlEvent{read: &readEvent{source, readBegan, at, wait}})
}

// ReadSucceeded records that everything that the platform had acknowledged by the time given
// has been read. What was read must have been queued before.
func (n *Node) ReadSucceeded(source grlease.Source, asOf grclock.Millis) {
	n.controlLoop.post(controlEvent{read: &readEvent{source, readSucceeded, asOf, 0}})
}

// ReadFailed records that a call that began at the time given failed.
func (n *Node) ReadFailed(source grlease.Source, began grclock.Millis) {
	n.controlLoop.post(controlEvent{read: &readEvent{source, readFailed, began, 0}})
}

// turn records a turn of the control loop.
func (c *controlLoop) turn(now grclock.Millis) {
	stopped := c.state.Turn(now)
	if stopped == 0 {
		return
	}
	grmetric.Count(c.node.Metrics, "stops_total")
	at, _ := c.state.ViewProvenAt()
	c.node.Log.Warn("process stood still", zap.Int64("for_ms", int64(stopped)), zap.Int64("view_age_ms", int64(now-at)),
		zap.Bool("view_expired", c.node.view.expired(now)))
}

// extendView lets the router and the callers' requests use the view for longer, if there is a
// newer proof. The router has been given what the proof covers.
func (c *controlLoop) extendView(now grclock.Millis) {
	if !c.node.leasesView() {
		return
	}
	at, _ := c.state.ViewProvenAt()
	c.node.view.provenAt.Store(int64(at))
	for source := range grlease.SourceCount {
		c.node.view.sources[source].doubtAt.Store(int64(c.state.DoubtAt(source)))
	}
	c.logAway(now)
	if until := c.state.ViewUntil(now); int64(until) > c.node.view.until.Load() {
		c.node.post(viewExtended{until})
		c.node.view.extend(until)
	}
	if until := c.state.ProofUntil(); int64(until) > c.node.view.proof.until.Load() {
		c.node.view.proof.extend(until)
	}
}

// updateReads tells the goroutines that read the platform whether to.
func (c *controlLoop) updateReads(now grclock.Millis) {
	for source, reads := range c.state.Reads(now) {
		c.node.view.sources[source].reads.Store(reads)
	}
}

// logAway logs when the platform cannot be read and the view is used without a proof, and
// the end of that.
func (c *controlLoop) logAway(now grclock.Millis) {
	away := c.state.PlatformAway(now)
	if away == c.platformAway {
		return
	}
	c.platformAway = away
	at, proven := c.state.ViewProvenAt()
	c.node.Log.Info("view used without proof", zap.Bool("begin", away), zap.Bool("proven", proven), zap.Int64("age_ms", int64(now-at)))
}
