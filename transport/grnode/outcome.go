package grnode

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grlog"
	"geraniumrouter/transport/grmetric"
)

// maxRouteLabels bounds the routes that have a metric label of their own; further routes
// share the label "other".
const maxRouteLabels = 128

// recordOutcome updates the metrics of a finished request, and logs it if the answer was
// incomplete or later than the latency objective.
func (l *routerLoop) recordOutcome(request *RouteRequest, result *grrouter.Result) {
	l.recordQuota(request, result)
	kind := "request"
	if request.IsGroup {
		kind = "group"
	}
	late := result.Duration > request.Route.LatencyObjective
	l.countOutcome(kind, request, result, late)
	complete := result.Outcome == grrouter.Complete || request.IsGroup && len(result.PartialResults) == result.ShardsRequested
	switch {
	case rejectedEarly(request, result):
		l.logRejection(l.node.Clock.Now(), request, result)
	case (!complete || late) && result.Code != grerror.QuotaExceeded:
		l.logOutcome(kind+" ended", request, result)
	}
}

func (l *routerLoop) countOutcome(kind string, request *RouteRequest, result *grrouter.Result, late bool) {
	registry := l.node.Metrics
	route := l.routeLabel(request.Route.Name)
	code := string(result.Code)
	if code == "" && late {
		code = "late"
	}
	grmetric.Count(registry, kind+"s_total", "route", route, "outcome", result.Outcome.String(), "code", code)
	if result.Outcome == grrouter.Complete || result.Outcome == grrouter.Partial {
		grmetric.Observe(registry, kind+"_ms", result.Duration, "route", route)
	}
}

// routeLabel returns the metric label for a route.
func (l *routerLoop) routeLabel(route string) string {
	if !l.labelledRoutes[route] {
		if len(l.labelledRoutes) >= maxRouteLabels {
			return "other"
		}
		l.labelledRoutes[route] = true
	}
	return route
}

// logOutcome logs a finished request with the table version in use and, for each missing
// shard, its attempt history.
func (l *routerLoop) logOutcome(message string, request *RouteRequest, result *grrouter.Result) {
	missing := make([]missingShard, len(result.MissingShards))
	for i := range result.MissingShards {
		missing[i] = missingShard(result.MissingShards[i])
	}
	l.node.Log.Info(message,
		zap.String("request_id", string(request.ID)), zap.String("route", request.Route.Name),
		zap.Uint64("table_version", uint64(request.Table.Version)), zap.Stringer("outcome", result.Outcome),
		zap.String("code", string(result.Code)), zap.Int("parts", len(result.PartialResults)), zap.Int("asked", result.ShardsRequested),
		zap.Objects("missing", missing), zap.Int64("took_ms", int64(result.Duration)), zap.Int64("spent_ms", int64(result.ElapsedBeforeArrival)),
		zap.Int64("objective_ms", int64(request.Route.LatencyObjective)), zap.Bool("more", result.MoreExpected),
		zap.Int64("retry_after_ms", int64(result.RetryAfter)), grlog.Organisation(request.Organisation.ID()))
}

// logKept logs that a request goes on although its caller has disconnected.
func (l *routerLoop) logKept(now grclock.Millis, id grident.QueryID) {
	if kept, sent := l.router.IsKept(now, id); kept {
		l.node.Log.Info("caller disconnected", zap.String("request_id", string(l.pending[id].callerID())), zap.Bool("sent", sent))
	}
}

// logResend logs that a request that is not idempotent is sent again, and the outcome that
// proves that it has not run.
func (l *routerLoop) logResend(r *grdispatch.Resend) {
	pending := l.pending[r.Key.Query]
	if pending == nil {
		return
	}
	l.node.Log.Info("request sent again",
		zap.String("request_id", string(pending.callerID())), zap.String("searcher", string(r.Searcher)),
		zap.Uint32("connection", uint32(r.Conn)), zap.Uint64("attempt", uint64(r.Attempt)),
		zap.Stringer("last", r.Outcome), zap.Int64("after_ms", int64(r.Age)))
}

// missingShard is the log form of a shard whose partial result is missing.
type missingShard grrouter.MissingShard

// MarshalLogObject writes the fields that apply to the shard.
func (s missingShard) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddString("service", string(s.Service))
	if s.Peer != "" {
		to.AddString("peer", string(s.Peer))
		return nil
	}
	to.AddInt("sent", s.History.Sent)
	if s.History.Searcher != "" {
		to.AddString("searcher", string(s.History.Searcher))
	}
	if s.History.InFlightAge > 0 {
		to.AddInt64("silent_ms", int64(s.History.InFlightAge))
	}
	if s.History.AttemptEnded {
		to.AddString("last", s.History.LastKind.String())
	}
	if s.History.RateLimited {
		to.AddBool("rate_limited", true)
	}
	if s.History.Refused {
		to.AddBool("refused", true)
	}
	if s.History.Waiting {
		to.AddBool("waiting", true)
	}
	return nil
}
