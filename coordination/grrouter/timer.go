package grrouter

import "geraniumrouter/state/grclock"

// Tick handles the timers that are due; it must be called by the time that NextWake
// returns.
func (r *Router) Tick(now grclock.Millis, out *Output) {
	for r.deadlines.Len() > 0 && r.deadlines.Top().at <= now {
		due := r.deadlines.Pop()
		r.recordTimerLag(now - due.at)
		if due.id == retireTimer {
			r.setWarmConns(now, out)
			r.redivideConns(now, out)
		}
		if q := r.queries[due.id]; q != nil {
			r.handleDeadline(now, q, out)
		}
		if w := r.quotas.waits[due.id]; w != nil && now >= w.until {
			r.quotaWaitEnded(now, w, out)
		} else if w != nil {
			r.serveQuota(now, w.account, out)
		}
	}
	if r.quotas.sweepAt > 0 && now >= r.quotas.sweepAt {
		r.sweepQuotas(now, out)
	}
	r.sweepCold(now)
	for r.dispatcherWakes.Len() > 0 && r.dispatcherWakes.Top().at <= now {
		due := r.dispatcherWakes.Pop()
		if r.nextWakes[due.dispatcher] != due.at {
			continue
		}
		r.nextWakes[due.dispatcher] = grclock.Never
		r.dispatchers[due.dispatcher].Tick(now, &out.dispatcher)
		r.collect(now, due.dispatcher, out)
	}
}

// handleDeadline handles a timer of a query: the query ends at its deadline, or at an
// earlier timer if it can be answered by then.
func (r *Router) handleDeadline(now grclock.Millis, q *query, out *Output) {
	if q.route != nil && now < q.deadline {
		r.endRouteIfDue(now, q, out)
		return
	}
	r.finish(now, q, out)
}

// NextWake returns the time by which Tick must be called.
func (r *Router) NextWake() grclock.Millis {
	wake := grclock.Never
	if r.deadlines.Len() > 0 {
		wake = r.deadlines.Top().at
	}
	if r.dispatcherWakes.Len() > 0 {
		wake = min(wake, r.dispatcherWakes.Top().at)
	}
	if r.quotas.sweepAt > 0 {
		wake = min(wake, r.quotas.sweepAt)
	}
	if r.cold.sweepAt > 0 {
		wake = min(wake, r.cold.sweepAt)
	}
	return wake
}
