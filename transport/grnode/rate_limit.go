package grnode

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grmetric"
)

// maxRateLimitLines bounds the log lines per call on searchers that state a rate limit, so
// that they leave room for other lines.
const maxRateLimitLines = 10

// logRateLimitChanges logs each searcher that states another rate limit than before.
func (l *routerLoop) logRateLimitChanges() {
	for i := range l.out.RateLimitChanges {
		c := &l.out.RateLimitChanges[i]
		l.node.Log.Info("rate limit changed",
			zap.String("service", string(l.router.ServiceName(c.Service))), zap.String("searcher", string(c.Searcher)),
			zap.Stringer("old", c.Old), zap.Stringer("new", c.New))
	}
}

// logRateLimitUse logs the use of searchers that state a rate limit, if it changed since
// the last line.
func (l *routerLoop) logRateLimitUse(now grclock.Millis) {
	last := l.loggedAttempts
	l.loggedAttempts = make(map[grident.SearcherID]grdispatch.AttemptCounts)
	lines := 0
	for i := range l.router.ServiceCount() {
		for _, use := range l.router.Dispatcher(int32(i)).RateLimitUses(now) {
			if last[use.Searcher] == use.Attempts || lines == maxRateLimitLines {
				l.loggedAttempts[use.Searcher] = last[use.Searcher]
				continue
			}
			lines++
			l.loggedAttempts[use.Searcher] = use.Attempts
			l.node.Log.Info("rate limit in force", zap.String("service", string(l.router.ServiceName(int32(i)))),
				zap.String("searcher", string(use.Searcher)), zap.Stringer("limit", use.Statement), zap.Int64("age_ms", int64(use.Age)),
				zap.Uint64("first", use.Attempts.First), zap.Uint64("hedged", use.Attempts.Hedged),
				zap.Uint64("retried", use.Attempts.Retried), zap.Uint64("resent", use.Attempts.Resent))
		}
	}
}

// collectRateLimits sets the metrics of the searchers of a service that state a rate limit.
func collectRateLimits(state metrics.Registry, service string, uses []grdispatch.RateLimitUse) {
	for i := range uses {
		use := &uses[i]
		labels := []string{"service", service, "searcher", string(use.Searcher)}
		grmetric.SetFraction(state, float64(use.Statement.Rate), "searcher_rate_limit_per_s", labels...)
		grmetric.Set(state, int64(use.Age), "searcher_rate_limit_age_ms", labels...)
		for kind, number := range map[string]uint64{
			"first": use.Attempts.First, "hedged": use.Attempts.Hedged, "retried": use.Attempts.Retried, "resent": use.Attempts.Resent,
		} {
			withKind := append(labels[:len(labels):len(labels)], "kind", kind)
			grmetric.Set(state, int64(number), "searcher_limited_attempts_total", withKind...)
		}
	}
}
