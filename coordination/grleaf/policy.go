package grleaf

import "geraniumrouter/state/grclock"

// Policy holds the tunable terms of a leaf.
type Policy struct {
	HedgeQuantile  float64        // latency quantile after which a second copy is sent; 0 sends none
	HedgeDelay     grclock.Millis // fixed delay of the second copy in place of the quantile
	HedgeMin       grclock.Millis // least delay of the second copy
	AbandonRatio   float64        // age ÷ delay of the second copy at which the first is cancelled; 0 never
	HedgeShare     float64        // extra sub-requests for hedges ÷ first ones, for the budget
	RetryShare     float64        // extra sub-requests for retries ÷ first ones, for the budget
	MaxAttempts    int            // copies of one sub-request, the first included
	MaxQueue       int            // sub-requests that wait
	SilentLimit    grclock.Millis // an attempt without an answer this long ends its connection
	SlowStart      grclock.Millis // span over which a new searcher comes to full weight
	EjectAfter     int            // failures in a row that take a searcher out
	EjectFor       grclock.Millis // first span that it stays out
	BackoffMax     grclock.Millis // longest pause after a searcher shed
	Choice         Choice         // how a searcher is chosen
	FixedWindow    bool           // keep windows at their start value
	WindowPerSlot  float64        // largest window ÷ slots
	SpareConns     int            // idle connections kept beyond the window
	ReopenInterval grclock.Millis // pause after a connection could not be opened
	DropAfter      grclock.Millis // after this long the connection of an attempt that nobody waits for is closed; 0 never
	PayResends     bool           // the budget pays for copies in place of those that searchers turned away
	FarCost        float64        // added to the expected wait in other failure domains, in typical answer times
}

// Choice selects the rule by which a searcher is chosen.
type Choice uint8

// The rules of choice.
const (
	Weighted   Choice = iota // least expected wait
	Random                   // any
	RoundRobin               // in turn
)

// RoutePolicy returns the policy for requests on routes: each carries its own
// time to a second copy, every arrival at a searcher is paid, and a connection
// ends by the deadline of its attempt or once nobody waits for the answer.
func RoutePolicy() Policy {
	p := DefaultPolicy()
	p.AbandonRatio = 0
	p.MaxAttempts = 2
	p.SilentLimit = grclock.Minute
	p.DropAfter = 400 * grclock.Millisecond
	p.PayResends = true
	p.FarCost = 5
	p.WindowPerSlot = 2
	p.EjectAfter = 4
	p.EjectFor = 500 * grclock.Millisecond
	return p
}

// DefaultPolicy returns the policy used where a preset does not say otherwise.
func DefaultPolicy() Policy {
	return Policy{
		HedgeQuantile:  0.955,
		AbandonRatio:   1.5,
		HedgeMin:       2 * grclock.Millisecond,
		HedgeShare:     0.04,
		RetryShare:     0.05,
		MaxAttempts:    3,
		MaxQueue:       256,
		SilentLimit:    2 * grclock.Second,
		SlowStart:      5 * grclock.Second,
		EjectAfter:     3,
		EjectFor:       grclock.Second,
		BackoffMax:     20 * grclock.Millisecond,
		WindowPerSlot:  1,
		SpareConns:     1,
		ReopenInterval: 250 * grclock.Millisecond,
	}
}
