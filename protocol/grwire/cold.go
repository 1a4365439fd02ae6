package grwire

import (
	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grroutes"
)

// ColdAskWire describes the units for a cold searcher that are requested. Instances that do not
// know the field grant none.
type ColdAskWire struct {
	PerSecond float64 `cbor:"1,keyasint,omitempty"`
	Burst     float64 `cbor:"2,keyasint,omitempty"`
	Version   uint64  `cbor:"3,keyasint,omitempty"` // of the routing table that states the rate
	Unused    int     `cbor:"4,keyasint,omitempty"` // units of the last grant that were not used
}

func coldAskTo(a *grdispatch.RateLimitAsk) *ColdAskWire {
	if !a.Cold {
		return nil
	}
	t := &a.Request.Terms
	return &ColdAskWire{t.Quota.PerSecond, t.Quota.Burst, uint64(t.Version), a.Request.Unused}
}

func (w *ColdAskWire) apply(a *grrouter.RateLimitAsk) {
	a.Cold = true
	a.Request.Terms = grratelimit.QuotaTerms{
		Quota: grroutes.Quota{PerSecond: validRate(w.PerSecond), Burst: validRate(w.Burst)}, Version: grroutes.Version(max(w.Version, 1)),
	}
	a.Request.Unused = w.Unused
}

func coldRemainingTo(c grcluster.ColdStatement) *int64 {
	if !c.Stated {
		return nil
	}
	ms := int64(c.Remaining)
	return &ms
}

func coldRemainingFrom(ms *int64) grcluster.ColdStatement {
	if ms == nil {
		return grcluster.ColdStatement{}
	}
	return grcluster.ColdStatement{Stated: true, Remaining: grclock.Millis(max(*ms, 0))}
}
