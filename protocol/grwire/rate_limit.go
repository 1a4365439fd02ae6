package grwire

import (
	"math"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// RateLimitRequest requests units of searchers' rate limits from the instance that
// allocates them. It is encoded as CBOR, like PeerMessage.
type RateLimitRequest struct {
	From string             `cbor:"1,keyasint,omitempty"` // requesting instance
	Asks []RateLimitAskWire `cbor:"2,keyasint,omitempty"`
}

// RateLimitAskWire requests units of one searcher's rate limit.
type RateLimitAskWire struct {
	Service   string            `cbor:"1,keyasint,omitempty"`
	Searcher  string            `cbor:"2,keyasint,omitempty"`
	Domain    string            `cbor:"3,keyasint,omitempty"`
	Run       uint64            `cbor:"4,keyasint,omitempty"`
	Statement RateStatementWire `cbor:"5,keyasint,omitempty"`
	Wanted    int               `cbor:"6,keyasint,omitempty"`
	Quota     *QuotaAskWire     `cbor:"7,keyasint,omitempty"` // the units are of a quota; service and searcher are empty
	Cold      *ColdAskWire      `cbor:"8,keyasint,omitempty"` // the units are for a cold searcher
}

// QuotaAskWire describes the quota of which units are requested.
type QuotaAskWire struct {
	Organisation string  `cbor:"1,keyasint,omitempty"`
	PerSecond    float64 `cbor:"2,keyasint,omitempty"`
	Burst        float64 `cbor:"3,keyasint,omitempty"`
	Version      uint64  `cbor:"4,keyasint,omitempty"` // of the routing table that states it
	Unused       int     `cbor:"5,keyasint,omitempty"` // units of the last grant that were not used
	Steady       bool    `cbor:"6,keyasint,omitempty"` // further requests follow
	Reserve      bool    `cbor:"7,keyasint,omitempty"` // units of the reserve are requested
	Used         int     `cbor:"8,keyasint,omitempty"` // units of the reserve that were used since the last request
	Ceded        float64 `cbor:"9,keyasint,omitempty"` // units of the requester's own part that it leaves to the holder
}

// RateStatementWire is what a searcher stated about its rate limit.
type RateStatementWire struct {
	Kind  uint8   `cbor:"1,keyasint,omitempty"` // as grratelimit.StatementKind
	Rate  float64 `cbor:"2,keyasint,omitempty"` // requests per second
	AgeMS int64   `cbor:"3,keyasint,omitempty"`
}

// RateLimitAnswer answers a RateLimitRequest, with one grant for each request for units in
// the same order.
type RateLimitAnswer struct {
	Grants []RateLimitGrantWire `cbor:"1,keyasint,omitempty"`
}

// RateLimitGrantWire grants units of one searcher's rate limit.
type RateLimitGrantWire struct {
	Units      int               `cbor:"1,keyasint,omitempty"`
	NextUnitMS int64             `cbor:"2,keyasint,omitempty"` // expected time until a further unit
	Statement  RateStatementWire `cbor:"3,keyasint,omitempty"`
	Refused    bool              `cbor:"4,keyasint,omitempty"`  // another instance allocates this limit
	IntervalMS int64             `cbor:"5,keyasint,omitempty"`  // expected time between units after that
	Opening    bool              `cbor:"6,keyasint,omitempty"`  // the instance does not grant units of the quota yet
	Allocator  string            `cbor:"7,keyasint,omitempty"`  // with Refused: the instance that allocates, as far as known
	Granted    int               `cbor:"8,keyasint,omitempty"`  // with Refused, of a quota: units that the instance granted before
	Left       int               `cbor:"9,keyasint,omitempty"`  // with Refused, of a quota: units that it could have granted
	Complete   bool              `cbor:"10,keyasint,omitempty"` // with Refused, of a quota: no other instance granted units
}

// RateLimitRequestTo converts requests for units to their wire form.
func RateLimitRequestTo(from grident.InstanceID, asks []grdispatch.RateLimitAsk, serviceName func(int32) grident.Service) *RateLimitRequest {
	w := &RateLimitRequest{From: string(from)}
	for _, a := range asks {
		if a.Organisation != "" {
			w.Asks = append(w.Asks, RateLimitAskWire{Wanted: a.Request.Wanted, Quota: quotaAskTo(&a)})
			continue
		}
		w.Asks = append(w.Asks, RateLimitAskWire{
			Service: string(serviceName(a.Service)), Searcher: string(a.Searcher), Domain: string(a.Domain), Run: uint64(a.Incarnation),
			Statement: rateStatementTo(a.Request.Statement, a.Request.Age), Wanted: a.Request.Wanted,
			Cold: coldAskTo(&a),
		})
	}
	return w
}

// RateLimitAsksFrom converts requests for units from their wire form.
func RateLimitAsksFrom(w *RateLimitRequest) []grrouter.RateLimitAsk {
	list := make([]grrouter.RateLimitAsk, len(w.Asks))
	for i := range w.Asks {
		a := &w.Asks[i]
		list[i] = grrouter.RateLimitAsk{
			Service: grident.Service(a.Service), Searcher: grident.SearcherID(a.Searcher),
			Domain: grident.FailureDomain(a.Domain), Incarnation: grident.Incarnation(a.Run),
		}
		list[i].Request.Statement, list[i].Request.Age = rateStatementFrom(a.Statement)
		list[i].Request.Wanted = a.Wanted
		if a.Quota != nil {
			a.Quota.apply(&list[i])
		} else if a.Cold != nil {
			a.Cold.apply(&list[i])
		}
	}
	return list
}

func quotaAskTo(a *grdispatch.RateLimitAsk) *QuotaAskWire {
	r := &a.Request
	return &QuotaAskWire{
		Organisation: string(a.Organisation), PerSecond: r.Terms.Quota.PerSecond, Burst: r.Terms.Quota.Burst,
		Version: uint64(r.Terms.Version), Unused: r.Unused, Steady: r.Steady, Reserve: r.Reserve, Used: r.Used, Ceded: r.Ceded,
	}
}

// apply sets the fields of a request for units of a quota. Rate and burst are limited, so that
// malformed ones grant nothing beyond the slack.
func (w *QuotaAskWire) apply(a *grrouter.RateLimitAsk) {
	a.Organisation = grident.Organisation(w.Organisation)
	a.Request.Terms = grratelimit.QuotaTerms{
		Quota: grroutes.Quota{PerSecond: validRate(w.PerSecond), Burst: validRate(w.Burst)}, Version: grroutes.Version(max(w.Version, 1)),
	}
	a.Request.Unused, a.Request.Steady = w.Unused, w.Steady
	a.Request.Reserve, a.Request.Used, a.Request.Ceded = w.Reserve, w.Used, validRate(w.Ceded)
}

// validRate returns the rate, or 0 if it is negative or no finite number.
func validRate(rate float64) float64 {
	if rate >= 0 && !math.IsInf(rate, 1) {
		return rate
	}
	return 0
}

// RateLimitAnswerTo converts grants to their wire form.
func RateLimitAnswerTo(grants []grratelimit.Grant) RateLimitAnswer {
	var w RateLimitAnswer
	for _, g := range grants {
		w.Grants = append(w.Grants, RateLimitGrantWire{
			Units: g.Units, NextUnitMS: int64(g.NextUnit), IntervalMS: int64(g.Interval),
			Statement: rateStatementTo(g.Statement, g.Age), Refused: g.Refused, Opening: g.Opening, Allocator: string(g.Allocator),
			Granted: g.Handover.Granted, Left: g.Handover.Left, Complete: g.Handover.Complete,
		})
	}
	return w
}

// RateLimitGrantFrom converts a grant from its wire form.
func RateLimitGrantFrom(w *RateLimitGrantWire) grratelimit.Grant {
	g := grratelimit.Grant{
		Units: w.Units, NextUnit: grclock.Millis(w.NextUnitMS), Interval: grclock.Millis(w.IntervalMS), Refused: w.Refused,
		Opening: w.Opening, Allocator: grident.InstanceID(w.Allocator),
		Handover: grratelimit.Handover{Granted: w.Granted, Left: w.Left, Complete: w.Complete},
	}
	g.Statement, g.Age = rateStatementFrom(w.Statement)
	return g
}

// RateLimitWire is the rate limit that a run of a searcher states.
type RateLimitWire struct {
	Service   string            `cbor:"1,keyasint,omitempty"`
	Searcher  string            `cbor:"2,keyasint,omitempty"`
	Run       uint64            `cbor:"3,keyasint,omitempty"`
	Statement RateStatementWire `cbor:"4,keyasint,omitempty"`
}

func rateLimitTo(l *grcluster.RateLimit) *RateLimitWire {
	return &RateLimitWire{string(l.Service), string(l.Searcher), uint64(l.Incarnation), rateStatementTo(l.Statement, 0)}
}

func rateLimitFrom(w *RateLimitWire) grcluster.RateLimit {
	statement, _ := rateStatementFrom(w.Statement)
	return grcluster.RateLimit{
		Service: grident.Service(w.Service), Searcher: grident.SearcherID(w.Searcher),
		Incarnation: grident.Incarnation(w.Run), Statement: statement,
	}
}

func rateStatementTo(s grratelimit.Statement, age grclock.Millis) RateStatementWire {
	return RateStatementWire{Kind: uint8(s.Kind), Rate: float64(s.Rate), AgeMS: int64(age)}
}

// rateStatementFrom converts a statement from its wire form. A malformed one says nothing.
func rateStatementFrom(w RateStatementWire) (grratelimit.Statement, grclock.Millis) {
	age := grclock.Millis(w.AgeMS)
	switch kind := grratelimit.StatementKind(w.Kind); {
	case kind == grratelimit.Unlimited:
		return grratelimit.Statement{Kind: kind}, age
	case kind == grratelimit.Limited && w.Rate >= 0 && !math.IsInf(w.Rate, 1):
		return grratelimit.Statement{Kind: kind, Rate: grratelimit.Rate(w.Rate)}, age
	}
	return grratelimit.Statement{}, age
}
