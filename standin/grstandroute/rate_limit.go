package grstandroute

import (
	"math"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Bound on the requests that arrive at a searcher with a rate limit, from all instances
// together.
const (
	rateLimitWindow = 4 * grclock.Second
	rateLimitFactor = 1.5                // of the limit
	rateLimitExtra  = 5                  // requests
	rateLimitSettle = 4 * grclock.Second // time from a statement until the bound holds
)

// setRateLimits gives the searchers their rate limits.
func (sim *simulation) setRateLimits() {
	for i, s := range sim.searchers {
		shard, number := i/sim.config.Searchers, i%sim.config.Searchers
		for _, l := range sim.config.RateLimits {
			if shard < l.Shards && number < l.Searchers {
				s.rateLimits = append(s.rateLimits, l)
			}
		}
	}
}

// statement returns what the searcher's answers say now about its rate limit.
func (s *searcher) statement() grratelimit.Statement {
	for _, l := range s.rateLimits {
		if s.sim.now >= l.From && s.sim.now < l.Until && !math.IsInf(l.PerSecond, 1) {
			return grratelimit.Statement{Kind: grratelimit.Limited, Rate: grratelimit.Rate(l.PerSecond)}
		}
	}
	return grratelimit.Statement{Kind: grratelimit.Unlimited}
}

// checkRateLimits checks the attempts that reached each searcher while it stated a rate
// limit: in every window, and over the whole time, without rateLimitFactor.
func (sim *simulation) checkRateLimits() {
	for _, s := range sim.searchers {
		var times []grclock.Millis
		for _, a := range s.attempts {
			times = append(times, a.at)
		}
		for _, l := range s.rateLimits {
			sim.checkRateLimit(s, l, times)
		}
	}
}

func (sim *simulation) checkRateLimit(s *searcher, l RateLimit, times []grclock.Millis) {
	from, until := l.From+rateLimitSettle, min(l.Until, sim.config.Duration)
	perSecond := func(span grclock.Millis) float64 { return l.PerSecond * float64(span) / float64(grclock.Second) }
	total := countWithin(times, from, until-from)
	sim.report.Limited += total
	if allowed := perSecond(until-from) + rateLimitExtra; float64(total) > allowed {
		sim.reportViolation("%s: %d attempts from %d to %d ms, %.1f allowed at %.1f a second", s.id, total, from, until, allowed, l.PerSecond)
	}
	for _, start := range times {
		if start < from || start+rateLimitWindow > until {
			continue
		}
		n := countWithin(times, start, rateLimitWindow)
		if allowed := rateLimitFactor*perSecond(rateLimitWindow) + rateLimitExtra; float64(n) > allowed {
			sim.reportViolation("%s: %d attempts in the window from %d ms, %.1f allowed at %.1f a second", s.id, n, start, allowed, l.PerSecond)
			return
		}
	}
}

// requestUnits sends a request for units of rate limits to another instance. A killed one
// does not answer.
func (in *instance) requestUnits(r grrouter.RateLimitRequest) {
	sim := in.sim
	peer := sim.instance(r.To)
	asks := make([]grrouter.RateLimitAsk, len(r.Asks))
	for i, a := range r.Asks {
		asks[i] = grrouter.RateLimitAsk{
			Service: in.router.ServiceName(a.Service), Searcher: a.Searcher, Domain: a.Domain, Incarnation: a.Incarnation, Cold: a.Cold, Request: a.Request,
		}
	}
	sim.after(sim.peerOneWay(), func() {
		if sim.separated(in, peer) {
			return
		}
		peer.deliver(func() {
			peer.granted += len(asks)
			grants := peer.router.GrantRateLimits(sim.now, in.id, asks)
			sim.after(sim.peerOneWay(), func() { in.deliver(func() { in.handleGrants(r.Asks, grants) }) })
		})
	})
}

func (in *instance) handleGrants(asks []grdispatch.RateLimitAsk, grants []grratelimit.Grant) {
	for i := range asks {
		grant := grdispatch.RateLimitGrant{Searcher: asks[i].Searcher, Incarnation: asks[i].Incarnation, AskedAt: asks[i].AskedAt, Cold: asks[i].Cold, Grant: grants[i]}
		in.router.HandleRateLimitGrant(in.sim.now, asks[i].Service, &grant, &in.out)
	}
}

// publishedRateLimit is the newest statement that instances published to each other.
type publishedRateLimit struct {
	service   grident.Service
	statement grratelimit.Statement
}

// maxGossipDelay is the longest time until a published rate limit reaches an instance.
const maxGossipDelay = grclock.Second

// publishRateLimit informs the other instances of a rate limit that a searcher stated to
// this one. Each receives it after a delay of its own.
func (in *instance) publishRateLimit(c *grdispatch.RateLimitChange) {
	sim := in.sim
	if c.Learned || sim.published[c.Searcher].statement == c.New {
		return
	}
	sim.published[c.Searcher] = publishedRateLimit{in.router.ServiceName(c.Service), c.New}
	for _, other := range sim.running() {
		if other != in {
			sim.after(grclock.Millis(sim.random.IntN(int(maxGossipDelay))), func() { other.deliver(other.learnRateLimits) })
		}
	}
}

// learnRateLimits passes the published rate limits to the router.
func (in *instance) learnRateLimits() {
	for _, s := range in.sim.searchers { // In a fixed order.
		if l, ok := in.sim.published[s.id]; ok {
			in.router.LearnRateLimit(in.sim.now, l.service, s.id, 0, l.statement, &in.out)
		}
	}
}
