package grnode

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/transport/grmetric"
)

// maxRouteLabels bounds the routes that have a metric label of their own; further routes
// share the label "other".
const maxRouteLabels = 128

// recordOutcome updates the metrics of a finished request, and logs it if the answer was
// incomplete or later than the latency objective.
func (l *routerLoop) recordOutcome(request *RouteRequest, result *grrouter.Result) {
	kind := "request"
	if request.Group {
		kind = "group"
	}
	late := result.Took > request.Route.Objective
	l.countOutcome(kind, request, result, late)
	complete := result.Outcome == grrouter.Complete || request.Group && len(result.Parts) == result.Asked
	if !complete || late {
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
		grmetric.Observe(registry, kind+"_ms", result.Took, "route", route)
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
	missing := make([]missingShard, len(result.Absent))
	for i := range result.Absent {
		missing[i] = missingShard(result.Absent[i])
	}
	l.node.Log.Info(message,
		zap.String("request_id", string(request.ID)), zap.String("route", request.Route.Name),
		zap.Uint64("table_version", uint64(request.Table.Version)), zap.Stringer("outcome", result.Outcome),
		zap.String("code", string(result.Code)), zap.Int("parts", len(result.Parts)), zap.Int("asked", result.Asked),
		zap.Objects("missing", missing), zap.Int64("took_ms", int64(result.Took)), zap.Int64("spent_ms", int64(result.Spent)),
		zap.Int64("objective_ms", int64(request.Route.Objective)), zap.Bool("more", result.More),
		zap.Int64("retry_after_ms", int64(result.RetryAfter)))
}

// missingShard is the log form of a shard whose partial result is missing.
type missingShard grrouter.Absence

// MarshalLogObject writes the fields that apply to the shard.
func (s missingShard) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddString("service", string(s.Service))
	if s.Peer != "" {
		to.AddString("peer", string(s.Peer))
		return nil
	}
	to.AddInt("sent", s.Trail.Sent)
	if s.Trail.Searcher != "" {
		to.AddString("searcher", string(s.Trail.Searcher))
	}
	if s.Trail.Age > 0 {
		to.AddInt64("silent_ms", int64(s.Trail.Age))
	}
	if s.Trail.Ended {
		to.AddString("last", s.Trail.Last.String())
	}
	if s.Trail.Waiting {
		to.AddBool("waiting", true)
	}
	return nil
}
