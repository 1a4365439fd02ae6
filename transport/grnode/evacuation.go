package grnode

import (
	"slices"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// evacuationEvent carries evacuations that were read from the platform: all of them as of a
// revision, or changes.
type evacuationEvent struct {
	list     []grcluster.Evacuation
	complete bool
	revision grident.Revision // of a list: no entry was read from an older state; of changes: all up to it are included
}

func (e *evacuationEvent) apply(state *grcluster.Cluster, now grclock.Millis, out *grcluster.Output) {
	if e.complete {
		state.ListEvacuations(now, e.list, e.revision, out)
		return
	}
	state.ChangeEvacuations(now, e.list, e.revision, out)
}

// ListEvacuations queues the complete list of evacuated failure domains that was read from the
// platform. No entry was read from a state older than the revision at.
func (n *Node) ListEvacuations(list []grcluster.Evacuation, at grident.Revision) {
	n.controlLoop.post(controlEvent{evacuations: &evacuationEvent{list, true, at}})
}

// ChangeEvacuations queues the changes of evacuations that were read from the platform after
// the list, up to a revision.
func (n *Node) ChangeEvacuations(changes []grcluster.Evacuation, upTo grident.Revision) {
	n.controlLoop.post(controlEvent{evacuations: &evacuationEvent{changes, false, upTo}})
}

// logEvacuations logs each failure domain whose evacuation begins or ends.
func (c *controlLoop) logEvacuations() {
	for _, e := range c.out.Evacuations {
		c.node.Log.Info("evacuation changed", zap.String("failure_domain", string(e.Domain)),
			zap.Bool("evacuated", e.State != grcluster.Gone), zap.Uint64("revision", uint64(e.Revision)))
	}
}

// evacuated returns a function that reports whether a failure domain is evacuated.
func (c *controlLoop) evacuated() func(grident.FailureDomain) bool {
	domains := c.state.EvacuatedDomains()
	return func(d grident.FailureDomain) bool { return slices.Contains(domains, d) }
}
