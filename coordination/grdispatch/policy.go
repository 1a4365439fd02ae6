package grdispatch

import "geraniumrouter/state/grclock"

// Policy holds the tunable parameters of a dispatcher.
type Policy struct {
	HedgeQuantile       float64        // latency quantile after which a hedge is sent; 0: no hedges
	HedgeDelay          grclock.Millis // fixed hedge delay in place of the quantile; 0: by the quantile
	MinHedgeDelay       grclock.Millis // lower bound of the delay by the quantile
	CancelRatio         float64        // age ÷ hedge delay at which an attempt with a hedge in flight is cancelled; 0: never
	HedgeRatio          float64        // hedges ÷ first attempts, for the budget
	RetryRatio          float64        // retries ÷ first attempts, for the budget
	MaxAttempts         int            // attempts of one sub-request, including the first
	MaxQueue            int            // maximum number of waiting sub-requests
	UnresponsiveTimeout grclock.Millis // time without an answer after which an attempt's connection is closed as unresponsive
	SlowStart           grclock.Millis // ramp-up time of a new searcher to its full weight
	EjectAfter          int            // consecutive failures after which a searcher is ejected
	EjectFor            grclock.Millis // duration of the first ejection
	BackoffMax          grclock.Millis // longest backoff from a searcher that shed or lost a connection
	LoadBalancing       LoadBalancing  // load balancing algorithm
	FixedWindow         bool           // keep concurrency windows at their initial size
	WindowPerSlot       float64        // maximum concurrency window ÷ slots
	WarmConns           int            // idle connections held beyond the window
	ReopenInterval      grclock.Millis // backoff after a connection failed
	ReopenMax           grclock.Millis // limit of that backoff, which doubles until an answer; 0: it does not grow
	CloseAbandonedAfter grclock.Millis // time after which the connection of an abandoned attempt is closed; 0: never
	ChargeResends       bool           // charge resends after a searcher shed or drained to the retry budget
	RemoteCost          float64        // penalty on the expected wait of remote searchers, in multiples of the typical latency
}

// LoadBalancing is a load balancing algorithm.
type LoadBalancing uint8

// Load balancing algorithms.
const (
	LeastWait LoadBalancing = iota // shortest expected wait
	Random                         // uniformly random
	RoundRobin
)

// RoutePolicy returns the policy for requests on routes. Each request carries its own
// hedge delay, every attempt beyond the first that reaches a searcher is charged to
// the budget, and a connection is closed at the deadline of its attempt or once the
// attempt is abandoned.
func RoutePolicy() Policy {
	p := DefaultPolicy()
	p.CancelRatio = 0
	p.MaxAttempts = 2
	p.UnresponsiveTimeout = grclock.Minute
	p.CloseAbandonedAfter = 400 * grclock.Millisecond
	p.ChargeResends = true
	p.RemoteCost = 5
	p.WindowPerSlot = 2
	p.EjectAfter = 4
	p.EjectFor = 500 * grclock.Millisecond
	p.ReopenInterval = 50 * grclock.Millisecond
	p.ReopenMax = 4 * grclock.Second
	return p
}

// DefaultPolicy returns the policy for everything that a preset does not set.
func DefaultPolicy() Policy {
	return Policy{
		HedgeQuantile:       0.955,
		CancelRatio:         1.5,
		MinHedgeDelay:       2 * grclock.Millisecond,
		HedgeRatio:          0.04,
		RetryRatio:          0.05,
		MaxAttempts:         3,
		MaxQueue:            256,
		UnresponsiveTimeout: 2 * grclock.Second,
		SlowStart:           5 * grclock.Second,
		EjectAfter:          3,
		EjectFor:            grclock.Second,
		BackoffMax:          20 * grclock.Millisecond,
		WindowPerSlot:       1,
		WarmConns:           1,
		ReopenInterval:      250 * grclock.Millisecond,
	}
}
