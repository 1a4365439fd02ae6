package grdispatch

import "geraniumrouter/state/grclock"

// ViewLease tells how long the lists of searchers may be used. One is shared by all
// dispatchers of an instance.
type ViewLease struct{ Until grclock.Millis }

// expired reports whether the lists may not be used any more. Without a lease they always may.
func (v *ViewLease) expired(now grclock.Millis) bool { return v != nil && now > v.Until }

// until returns the time until which the lists may be used.
func (v *ViewLease) until() grclock.Millis {
	if v == nil {
		return grclock.Never
	}
	return v.Until
}

// ViewExtended sends what has waited for the lease on the list of searchers.
func (d *Dispatcher) ViewExtended(now grclock.Millis, out *Output) { d.dispatch(now, out) }

// awaitView ends waiting sub-requests whose deadline has passed and schedules a wake-up for
// the next one.
func (d *Dispatcher) awaitView(now grclock.Millis, out *Output) {
	d.expireQueued(now, out)
	d.backlog.record(now, false)
	if d.queue.Len() > 0 {
		d.wakeAt(d.subs[d.queue.Top()].Deadline)
	}
}
