package grnode

import (
	"go.uber.org/zap"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/transport/grmetric"
)

// maxQuotaLines bounds the log lines on rejected requests of organisations in each second; all
// are counted.
const maxQuotaLines = 10

// lineLimit bounds the log lines of one kind in each second.
type lineLimit struct {
	second grclock.Millis
	lines  int
}

// allow reports whether one more line may be written.
func (l *lineLimit) allow(now grclock.Millis, most int) bool {
	if second := now / grclock.Second; second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= most
}

// recordQuota counts a request of an organisation with a quota and logs it if it was rejected.
func (l *routerLoop) recordQuota(request *RouteRequest, result *grrouter.Result) {
	if result.Quota.Decision == grrouter.NoQuota {
		return
	}
	decision := result.Quota.Decision.String()
	grmetric.Count(l.node.Metrics, "quota_requests_total", "decision", decision)
	if result.Quota.Decision != grrouter.QuotaDenied || !l.quotaLines.allow(result.EndedAt, maxQuotaLines) {
		return
	}
	o := request.Organisation
	l.node.Log.Info("quota exceeded",
		zap.String("request_id", string(request.ID)), zap.String("organisation", string(o.Name)),
		zap.Float64("rate", o.Quota.PerSecond), zap.Float64("burst", o.Quota.Burst), zap.Int("units", result.Quota.Units),
		zap.Int64("retry_after_ms", int64(result.RetryAfter)), zap.String("decision", decision))
}
