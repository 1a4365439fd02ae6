package grnode

import (
	"strconv"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grmetric"
	"geraniumrouter/transport/grpeer"
)

// maxRateLimitLines bounds the log lines per call on searchers that state a rate limit, so
// that they leave room for other lines.
const maxRateLimitLines = 10

// rateLimitRequested carries a peer's call for units of searchers' rate limits.
type rateLimitRequested struct {
	request *grwire.RateLimitRequest
	answer  chan grwire.RateLimitAnswer // has a capacity of one
}

func (e *rateLimitRequested) apply(l *routerLoop, now grclock.Millis) {
	grants := l.router.GrantRateLimits(now, grident.InstanceID(e.request.From), grwire.RateLimitAsksFrom(e.request))
	e.answer <- grwire.RateLimitAnswerTo(grants)
}

// onRateLimit passes a peer's call for units to the router's event loop and waits for the
// answer.
func (n *Node) onRateLimit(request grwire.RateLimitRequest) grwire.RateLimitAnswer {
	e := &rateLimitRequested{&request, make(chan grwire.RateLimitAnswer, 1)}
	n.post(e)
	select {
	case answer := <-e.answer:
		return answer
	case <-n.group.Context().Done():
		return grwire.RateLimitAnswer{}
	}
}

// sendRateLimitRequest requests units from a peer.
func (l *routerLoop) sendRateLimitRequest(r *grrouter.RateLimitRequest) {
	request := grwire.RateLimitRequestTo(l.node.Settings.Instance, r.Asks, l.router.ServiceName)
	l.rateLimitAsks[request] = r.Asks
	peer := l.peers[r.To]
	l.node.groupClient.SendRateLimit(r.To, peer.PeerAddress, l.node.byteCounters("leaf", peer.Domain), request)
}

// rateLimitCallEnded carries the result of a call for units to a peer.
type rateLimitCallEnded struct{ grpeer.RateLimitEvent }

func (e *rateLimitCallEnded) apply(l *routerLoop, now grclock.Millis) {
	asks := l.rateLimitAsks[e.Request]
	delete(l.rateLimitAsks, e.Request)
	failed := e.Answer == nil || len(e.Answer.Grants) != len(asks)
	if failed {
		grmetric.Count(l.node.Metrics, "rate_limit_calls_failed_total")
		l.node.Log.Info("rate limit not allocated", zap.String("peer", string(e.To)), zap.Int("searchers", len(asks)))
	}
	for i := range asks {
		grant := grdispatch.RateLimitGrant{
			Searcher: asks[i].Searcher, Incarnation: asks[i].Incarnation, AskedAt: asks[i].AskedAt, Confirm: asks[i].Confirm,
			Reserve: asks[i].Request.Reserve, Cold: asks[i].Cold, From: e.To, Failed: failed,
		}
		if !failed {
			grant.Grant = grwire.RateLimitGrantFrom(&e.Answer.Grants[i])
		}
		if asks[i].Organisation != "" {
			l.router.HandleQuotaGrant(now, asks[i].Organisation, &grant, &l.out)
			continue
		}
		l.router.HandleRateLimitGrant(now, asks[i].Service, &grant, &l.out)
	}
}

// publishRateLimitChanges logs each searcher of which another rate limit is known than
// before, and informs the other instances of those that it stated to this one.
func (l *routerLoop) publishRateLimitChanges() {
	for i := range l.out.RateLimitChanges {
		c := &l.out.RateLimitChanges[i]
		if !c.Learned {
			l.node.controlLoop.post(controlEvent{rateLimit: &grcluster.RateLimit{
				Service: l.router.ServiceName(c.Service), Searcher: c.Searcher, Incarnation: c.Run, Statement: c.New,
			}})
		}
		l.node.Log.Info("rate limit changed",
			zap.String("service", string(l.router.ServiceName(c.Service))), zap.String("searcher", string(c.Searcher)),
			zap.Stringer("old", c.Old), zap.Stringer("new", c.New), zap.Bool("learned", c.Learned))
	}
}

// rateLimitLearned carries a rate limit that a searcher stated to another instance.
type rateLimitLearned struct{ grcluster.RateLimit }

func (e *rateLimitLearned) apply(l *routerLoop, now grclock.Millis) {
	l.router.LearnRateLimit(now, e.Service, e.Searcher, e.Incarnation, e.Statement, &l.out)
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
				zap.String("granted_per_s", strconv.FormatFloat(use.PerSecond, 'f', 1, 64)), zap.Uint64("held_back", use.Attempts.HeldBack),
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
		grmetric.SetFraction(state, use.PerSecond, "searcher_rate_limit_granted_per_s", labels...)
		grmetric.Set(state, int64(use.Attempts.HeldBack), "searcher_held_back_total", labels...)
		for kind, number := range map[string]uint64{
			"first": use.Attempts.First, "hedged": use.Attempts.Hedged, "retried": use.Attempts.Retried, "resent": use.Attempts.Resent,
		} {
			withKind := append(labels[:len(labels):len(labels)], "kind", kind)
			grmetric.Set(state, int64(number), "searcher_limited_attempts_total", withKind...)
		}
	}
}
