package grrouter

import "geraniumrouter/state/grclock"

// An instance that is short of CPU time handles its timers late. Partial-result
// deadlines are set earlier by the recent delay.
const (
	lagWeight    = 0.1                      // weight of the newest timer in the mean
	maxLagSample = 50 * grclock.Millisecond // cap on one sample: a longer delay is a pause of the whole process, not a sign of load
)

// recordTimerLag adds the delay of one timer to the event loop lag.
func (r *Router) recordTimerLag(late grclock.Millis) {
	r.timerLag.Add(float64(min(late, maxLagSample)), lagWeight)
}

// loopLag returns the mean delay of recent timers.
func (r *Router) loopLag() grclock.Millis { return grclock.Millis(r.timerLag.Value(0)) }
