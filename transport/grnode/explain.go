package grnode

import (
	"go.uber.org/zap"

	"geraniumrouter/coordination/grrouter"
)

// logEnd writes a line for a request that did not end whole and in time: what
// decided, under which version, and which shards were missing.
func (l *loop) logEnd(request *RouteRequest, result *grrouter.Result) {
	if result.Outcome == grrouter.Complete && result.Took <= request.Route.Objective {
		return
	}
	what := "request ended"
	if request.Group {
		what = "group ended"
	}
	missing := make([]string, len(result.Absent))
	for i, s := range result.Absent {
		missing[i] = string(s)
	}
	l.node.Log.Info(what,
		zap.String("request_id", string(request.ID)), zap.String("route", request.Route.Name),
		zap.Uint64("table_version", uint64(request.Table.Version)), zap.Stringer("outcome", result.Outcome),
		zap.String("code", string(result.Code)), zap.Int("parts", len(result.Parts)), zap.Int("asked", result.Asked),
		zap.Strings("missing", missing), zap.Int64("took_ms", int64(result.Took)),
		zap.Int64("objective_ms", int64(request.Route.Objective)), zap.Bool("more", result.More))
}
