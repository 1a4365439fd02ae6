package grnode

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grmetric"
)

// maxColdLines bounds the log lines on cold searchers in each second: a whole failure domain can
// become cold at once.
const maxColdLines = 20

// setColdEntry sets what the entry of a searcher says of a cold time, if its service limits cold
// searchers.
func (c *controlLoop) setColdEntry(d *grdispatch.Searcher, service grident.Service) {
	t := c.state.RoutingTable()
	if t == nil || !t.LimitsCold(service) {
		return
	}
	if e, ok := c.state.ColdEntryOf(d.ID); ok {
		d.ColdStatedAt, d.ColdUntil = e.LearnedAt, e.Until
	}
}

// logColdChanges logs the searchers that count as cold, or as warm again, from now on.
func (l *routerLoop) logColdChanges(now grclock.Millis) {
	for i := range l.out.ColdChanges {
		if !l.coldLines.allow(now, maxColdLines) {
			return
		}
		change := &l.out.ColdChanges[i]
		message := "searcher warm"
		if change.Cold {
			message = "searcher cold"
		}
		l.node.Log.Info(message,
			zap.String("searcher", string(change.Searcher)), zap.String("service", string(l.router.ServiceName(change.Service))),
			zap.Int64("until", int64(change.Until)), zap.Int64("for_ms", int64(max(change.Until-now, 0))), zap.Stringer("source", change.Source))
	}
}

// collectCold sets the metrics of the cold searchers of a service.
func collectCold(state metrics.Registry, service string, uses []grdispatch.ColdUse) {
	if len(uses) == 0 {
		return
	}
	grmetric.Set(state, int64(len(uses)), "searchers_cold", "service", service)
	for i := range uses {
		labels := []string{"service", service, "searcher", string(uses[i].Searcher)}
		grmetric.Set(state, int64(uses[i].Left), "searcher_cold_left_ms", labels...)
		grmetric.Set(state, int64(uses[i].Attempts), "searcher_cold_attempts_total", labels...)
		grmetric.Set(state, int64(uses[i].HeldBack), "searcher_cold_held_back_total", labels...)
	}
}
