package grnode

import (
	"go.uber.org/zap"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
)

// maxRejectionLines bounds the log lines on requests rejected early in each second, which can be
// most of them; requests_total counts all by code.
const maxRejectionLines = 10

// rejectedEarly reports whether a request on a route was rejected for queues, the number of
// requests in flight or the use of its source.
func rejectedEarly(request *RouteRequest, result *grrouter.Result) bool {
	return !request.IsGroup && result.Outcome == grrouter.NotRun && (result.Code == grerror.Overloaded || result.Code == grerror.OverShare)
}

// logRejection logs a request that was rejected early.
func (l *routerLoop) logRejection(now grclock.Millis, request *RouteRequest, result *grrouter.Result) {
	if !l.rejectionLines.allow(now, maxRejectionLines) {
		return
	}
	organisation := ""
	if o := request.Organisation; o != nil {
		organisation = string(o.Name)
	}
	l.node.Log.Info("request rejected early",
		zap.String("request_id", string(request.ID)), zap.String("route", request.Route.Name), zap.String("reason", string(result.Code)),
		zap.String("organisation", organisation), zap.String("caller", string(request.Caller)),
		zap.Int64("work_off_ms", int64(result.WorkOff)), zap.Int64("retry_after_ms", int64(result.RetryAfter)))
}
