package grrouter

import "geraniumrouter/state/grclock"

// ExtendView extends the lease on the searchers, and sends what has waited for that. The
// searchers must be up to date already.
func (r *Router) ExtendView(now, until grclock.Millis, out *Output) {
	expired := now > r.View.Until
	r.View.Until = max(r.View.Until, until)
	if !expired {
		return
	}
	for i, d := range r.dispatchers {
		if d.QueueLen() > 0 {
			d.ViewExtended(now, &out.dispatcher)
			r.collect(now, int32(i), out)
		}
	}
}
