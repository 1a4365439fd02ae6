package grnode

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/transport/grmetric"
)

// maxRoutes bounds the routes whose requests are counted apart.
const maxRoutes = 128

// noteEnd counts the end of a request, and writes a line for one that did not
// end whole and in time.
func (l *loop) noteEnd(request *RouteRequest, result *grrouter.Result) {
	of := "request"
	if request.Group {
		of = "group"
	}
	late := result.Took > request.Route.Objective
	l.measureEnd(of, request, result, late)
	whole := result.Outcome == grrouter.Complete || request.Group && len(result.Parts) == result.Asked
	if !whole || late {
		l.logEnd(of+" ended", request, result)
	}
}

func (l *loop) measureEnd(of string, request *RouteRequest, result *grrouter.Result, late bool) {
	registry := l.node.Metrics
	route := l.labelOf(request.Route.Name)
	code := string(result.Code)
	if code == "" && late {
		code = "late"
	}
	grmetric.Count(registry, of+"s_total", "route", route, "outcome", result.Outcome.String(), "code", code)
	if result.Outcome == grrouter.Complete || result.Outcome == grrouter.Partial {
		grmetric.Observe(registry, of+"_ms", result.Took, "route", route)
	}
}

// labelOf returns the name under which the requests of a route are counted.
func (l *loop) labelOf(route string) string {
	if !l.routes[route] {
		if len(l.routes) >= maxRoutes {
			return "other"
		}
		l.routes[route] = true
	}
	return route
}

// logEnd writes what decided on the end of a request, under which version, and
// what became of the shards that are missing.
func (l *loop) logEnd(event string, request *RouteRequest, result *grrouter.Result) {
	missing := make([]absence, len(result.Absent))
	for i := range result.Absent {
		missing[i] = absence(result.Absent[i])
	}
	l.node.Log.Info(event,
		zap.String("request_id", string(request.ID)), zap.String("route", request.Route.Name),
		zap.Uint64("table_version", uint64(request.Table.Version)), zap.Stringer("outcome", result.Outcome),
		zap.String("code", string(result.Code)), zap.Int("parts", len(result.Parts)), zap.Int("asked", result.Asked),
		zap.Objects("missing", missing), zap.Int64("took_ms", int64(result.Took)), zap.Int64("spent_ms", int64(result.Spent)),
		zap.Int64("objective_ms", int64(request.Route.Objective)), zap.Bool("more", result.More),
		zap.Int64("retry_after_ms", int64(result.RetryAfter)))
}

// absence is why a shard is missing, as a log shows it.
type absence grrouter.Absence

// MarshalLogObject writes the fields that apply.
func (a absence) MarshalLogObject(to zapcore.ObjectEncoder) error {
	to.AddString("service", string(a.Service))
	if a.Peer != "" {
		to.AddString("peer", string(a.Peer))
		return nil
	}
	to.AddInt("sent", a.Trail.Sent)
	if a.Trail.Searcher != "" {
		to.AddString("searcher", string(a.Trail.Searcher))
	}
	if a.Trail.Age > 0 {
		to.AddInt64("silent_ms", int64(a.Trail.Age))
	}
	if a.Trail.Ended {
		to.AddString("last", a.Trail.Last.String())
	}
	if a.Trail.Waiting {
		to.AddBool("waiting", true)
	}
	return nil
}
