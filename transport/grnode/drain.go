package grnode

import (
	"context"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grdrain"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
)

// awaitTermination starts a graceful shutdown when the process receives a termination
// signal.
func (n *Node) awaitTermination(ctx context.Context) error {
	select {
	case <-n.Terminate:
		n.controlLoop.post(controlEvent{drain: true})
	case <-ctx.Done():
	}
	return nil
}

// claimFlushTimeout bounds the wait in a shutdown for outcomes that the platform does
// not accept.
const claimFlushTimeout = 5 * grclock.Second

// allConnsClosed is a divisor so large that no connection remains. Peers are informed
// that this instance is gone only after that point, because they then use its part of
// the connection limits.
const allConnsClosed = 1 << 30

func (c *controlLoop) startDrain(now grclock.Millis) {
	if c.drain.Phase() != grdrain.Serving {
		return
	}
	c.drain.Start(now)
	if limit := c.node.RouteSettings.DrainAnswerTime; limit > 0 {
		c.node.post(&drainStarted{now + limit})
	}
	c.state.Leave(now, false, &c.out)
	c.enterPhase(grdrain.Leaving)
}

// advanceDrain moves the shutdown on to its next phase when that is due.
func (c *controlLoop) advanceDrain(now grclock.Millis, inFlight int) {
	before := c.drain.Phase()
	if before == grdrain.Refusing && now-c.phaseStart < claimFlushTimeout {
		inFlight += int(c.node.claimLoop.unfinishedWrites.Load())
	}
	phase := c.drain.Step(now, inFlight)
	if phase == before {
		return
	}
	c.enterPhase(phase)
	switch phase {
	case grdrain.Closing:
		c.connsReleased = true
		c.refreshServices()
		c.node.post(&reductionRequested{allConnsClosed})
	case grdrain.Ended:
		c.node.group.Stop()
	}
}

func (c *controlLoop) enterPhase(phase grdrain.Phase) {
	c.phase.Store(int32(phase))
	c.phaseStart = c.node.Clock.Now()
	c.node.Log.Info("phase", zap.Stringer("phase", phase))
}

// currentPhase returns the shutdown phase; any goroutine may call it.
func (c *controlLoop) currentPhase() grdrain.Phase { return grdrain.Phase(c.phase.Load()) }

// rejection returns the answer to new requests during a shutdown and before this instance is
// ready for the first time, which names other entries to use. ok is false while requests are
// accepted.
func (h callerHandler) rejection() (answer grwire.Answer, ok bool) {
	var fault *grerror.Error
	switch {
	case h.node.controlLoop.currentPhase() >= grdrain.Refusing:
		fault = grerror.New(grerror.Leaving, "instance %s is leaving", h.node.Settings.Instance)
	case h.node.started.Load():
		return answer, false
	default:
		if fault = h.connFault(); fault == nil {
			h.node.started.Store(true)
			return answer, false
		}
	}
	answer = grwire.RejectionFor(fault)
	answer.Entries = h.Entries(h.node.Settings.FailureDomain, uint64(h.node.Clock.Now())).Entries
	return answer, true
}
