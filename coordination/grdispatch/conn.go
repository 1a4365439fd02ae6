package grdispatch

import (
	"math"

	"geraniumrouter/state/grclock"
)

// connPool holds the connections to one searcher.
type connPool struct {
	idle       []idleConn // least recently used first
	total      int        // opening, idle and in use
	opening    int
	target     int            // number of connections to pre-open
	lastOpened grclock.Millis // time of the last successful opening
	lastUsed   grclock.Millis // time of the last send
	retryAt    grclock.Millis // no connection is opened before this time
	failures   int            // failed openings and broken connections since the last answer
}

// idleConn is a connection that is not in use.
type idleConn struct {
	id    ConnID
	since grclock.Millis
}

// takeOldest removes and returns the least recently used idle connection; the pool
// must not be empty.
func (p *connPool) takeOldest() ConnID {
	conn := p.idle[0].id
	p.idle = append(p.idle[:0], p.idle[1:]...)
	return conn
}

// ConnOpened records that a connection is established.
func (l *Dispatcher) ConnOpened(now grclock.Millis, searcher int32, conn ConnID, out *Output) {
	r := &l.searchers[searcher]
	r.conns.opening--
	r.conns.lastOpened = now
	r.conns.idle = append(r.conns.idle, idleConn{conn, now})
	l.maintainConns(now, out)
	l.dispatch(now, out)
}

// ConnFailed records that a connection could not be opened.
func (l *Dispatcher) ConnFailed(now grclock.Millis, searcher int32, out *Output) {
	r := &l.searchers[searcher]
	r.conns.opening--
	r.conns.total--
	l.recordConnFailure(now, r)
	l.recordFailure(now, r)
	l.maintainConns(now, out)
	l.dispatch(now, out)
}

// ConnLost records that an idle connection was closed by the searcher. It emits a
// CloseConn action, which releases the daemon's side.
func (l *Dispatcher) ConnLost(now grclock.Millis, searcher int32, conn ConnID, out *Output) {
	r := &l.searchers[searcher]
	for i, c := range r.conns.idle {
		if c.id == conn {
			r.conns.idle = append(r.conns.idle[:i], r.conns.idle[i+1:]...)
			l.recordIdleClose(now, r, c.since)
			l.closeConn(searcher, conn, out)
			break
		}
	}
	l.maintainConns(now, out)
}

// ConnCount returns the number of connections to the searcher, including those being
// opened.
func (l *Dispatcher) ConnCount(searcher int32) int { return l.searchers[searcher].conns.total }

// WithinConnLimits reports whether no searcher has more connections than its connection
// limit.
func (l *Dispatcher) WithinConnLimits() bool {
	for i := range l.searchers {
		if r := &l.searchers[i]; r.present && r.conns.total > l.connLimit(r) {
			return false
		}
	}
	return true
}

// HasConn reports whether a connection to any searcher is established.
func (l *Dispatcher) HasConn() bool {
	for i := range l.searchers {
		if c := &l.searchers[i].conns; c.total > c.opening {
			return true
		}
	}
	return false
}

// unreachableAfter is the number of failed openings or broken connections, without an
// answer in between, after which a searcher without a connection counts as
// unreachable.
const unreachableAfter = 3

// unreachable reports whether it is pointless for the sub-request to wait: no searcher
// may receive it, or all that may have no connection and count as unreachable. It is
// false before the first SetSearchers.
func (l *Dispatcher) unreachable(now grclock.Millis, s *pendingRequest) bool {
	for i := range l.searchers {
		r := &l.searchers[i]
		if !l.allows(s, int32(i)) {
			continue
		}
		if r.usable() && (r.conns.total > r.conns.opening || r.conns.failures < unreachableAfter || l.mayReconnect(now, r)) {
			return false
		}
	}
	return l.hasSearcherList
}

// mayReconnect reports whether a connection to an unreachable searcher may be tried
// again. With warm connection targets set, that happens only for a waiting
// sub-request.
func (l *Dispatcher) mayReconnect(now grclock.Millis, r *searcherState) bool {
	return l.WarmConns != nil && r.conns.retryAt <= now
}

// TakeIdleConn takes the least recently used idle connection out of the pool for a health
// check by the daemon; ReturnConn puts it back. ok is false when no connection is
// idle.
func (l *Dispatcher) TakeIdleConn(searcher int32) (conn ConnID, ok bool) {
	p := &l.searchers[searcher].conns
	if len(p.idle) == 0 {
		return 0, false
	}
	return p.takeOldest(), true
}

// ReturnConn puts back a connection taken with Draw. If it is not healthy, it is
// replaced, and out receives the CloseConn action.
func (l *Dispatcher) ReturnConn(now grclock.Millis, searcher int32, conn ConnID, healthy bool, out *Output) {
	if !healthy {
		l.recordConnFailure(now, &l.searchers[searcher])
	}
	l.releaseConn(now, searcher, conn, healthy, out)
	l.maintainConns(now, out)
	l.dispatch(now, out)
}

// stableAfter is the time after the last opening from which the closing of an idle
// connection is attributed to the searcher's idle timeout and not to a fault.
const stableAfter = grclock.Second

// minWarm is the number of connections to a searcher that are reopened when it closes
// them. With only one, the second of two concurrent requests would go to another
// failure domain.
const minWarm = 2

// recordIdleClose records that the searcher closed a connection that had been idle
// since the given time. Closed connections beyond the minimum were not needed, so they
// are not reopened until the searcher is used again.
func (l *Dispatcher) recordIdleClose(now grclock.Millis, r *searcherState, since grclock.Millis) {
	if l.WarmConns == nil || now-r.conns.lastOpened < stableAfter {
		l.recordConnFailure(now, r)
		return
	}
	floor := minWarm
	if r.Domain != l.Domain && r.conns.lastUsed <= since {
		floor = 0 // too few hedges go there to keep a connection warm
	}
	r.conns.target = min(r.conns.target, max(r.conns.total-1, floor))
}

// recordUse records a send to the searcher and raises the target again, so that warm
// connections that were dropped for lack of use are reopened.
func (l *Dispatcher) recordUse(now grclock.Millis, r *searcherState) {
	r.conns.lastUsed = now
	r.conns.target = max(r.conns.target, min(l.warmTarget(r), minWarm))
}

// recordConnFailure delays the next opening after a connection broke or could not be
// opened: the searcher may accept connections and close them immediately.
func (l *Dispatcher) recordConnFailure(now grclock.Millis, r *searcherState) {
	r.conns.failures++
	r.conns.retryAt = now + l.Policy.ReopenInterval
}

// releaseConn returns a connection that was in use to the pool, or closes it.
func (l *Dispatcher) releaseConn(now grclock.Millis, searcher int32, conn ConnID, healthy bool, out *Output) {
	r := &l.searchers[searcher]
	if healthy && r.usable() && r.conns.total <= l.connLimit(r) {
		r.conns.idle = append(r.conns.idle, idleConn{conn, now})
		return
	}
	l.closeConn(searcher, conn, out)
}

// closeConn closes a connection that is not in the idle list.
func (l *Dispatcher) closeConn(searcher int32, conn ConnID, out *Output) {
	l.searchers[searcher].conns.total--
	l.Counters.ConnsClosed++
	l.emit(out, CloseConn, searcher, conn, 0, SubRequestKey{}, 0)
}

// maintainConns closes idle connections above the connection limit and opens
// connections up to the target.
func (l *Dispatcher) maintainConns(now grclock.Millis, out *Output) {
	for i := range l.searchers {
		l.closeSurplus(int32(i), out)
		l.openToTarget(now, int32(i), out)
	}
}

func (l *Dispatcher) closeSurplus(i int32, out *Output) {
	r := &l.searchers[i]
	allowed := l.connLimit(r)
	if !r.usable() {
		allowed = 0
	}
	for r.conns.total > allowed && len(r.conns.idle) > 0 {
		l.closeConn(i, r.conns.takeOldest(), out)
	}
}

func (l *Dispatcher) openToTarget(now grclock.Millis, i int32, out *Output) {
	r := &l.searchers[i]
	if !r.usable() {
		return
	}
	target := min(l.connLimit(r), int(l.maxWindow(r))+l.Policy.WarmConns)
	if l.WarmConns != nil {
		target = min(l.connLimit(r), r.conns.target)
	}
	if r.conns.total < target && r.conns.retryAt > now {
		l.wakeAt(r.conns.retryAt)
		return
	}
	for r.conns.total < target {
		l.openConn(i, out)
	}
}

func (l *Dispatcher) openConn(i int32, out *Output) {
	r := &l.searchers[i]
	l.nextConn++
	r.conns.total++
	r.conns.opening++
	l.Counters.ConnsOpened++
	l.emit(out, OpenConn, i, l.nextConn, 0, SubRequestKey{}, 0)
}

// WarmConnTargets states how many warm connections to hold to each searcher of the local failure
// domain and to each remote searcher, and whether this instance is one of the few
// owners that send sub-requests to the searchers of its domain for all instances.
type WarmConnTargets struct {
	Local, Remote int
	Owner         bool
}

// connLimit returns the number of connections that may be held to a searcher.
func (l *Dispatcher) connLimit(r *searcherState) int {
	if l.WarmConns != nil && l.WarmConns.Owner && r.Domain == l.Domain {
		return max(r.ConnLimit, r.OwnerConnLimit)
	}
	return r.ConnLimit
}

// SetWarmConns changes the numbers of warm connections.
func (l *Dispatcher) SetWarmConns(now grclock.Millis, keep WarmConnTargets, out *Output) {
	if l.WarmConns != nil && *l.WarmConns == keep {
		return
	}
	l.WarmConns = &keep
	for i := range l.searchers {
		l.searchers[i].conns.target = l.warmTarget(&l.searchers[i])
	}
	l.maintainConns(now, out)
}

// warmTarget returns the number of warm connections to hold to a searcher.
func (l *Dispatcher) warmTarget(r *searcherState) int {
	switch {
	case l.WarmConns == nil:
		return 0
	case r.Domain == l.Domain:
		return l.WarmConns.Local
	}
	return l.WarmConns.Remote
}

// openForWaiting opens a connection to the best searcher that lacks only a connection
// to take the waiting sub-request.
func (l *Dispatcher) openForWaiting(now grclock.Millis, s *pendingRequest, out *Output) {
	best, bestScore := int32(-1), math.Inf(1)
	for i := range l.searchers {
		r := &l.searchers[i]
		if !r.usable() || r.conns.opening > 0 || r.conns.total >= l.connLimit(r) || r.conns.retryAt > now || r.inFlight >= int(r.window) {
			continue
		}
		if !l.allows(s, int32(i)) || l.hasAttempt(s, int32(i)) {
			continue
		}
		if score := l.score(now, r, i); score < bestScore {
			best, bestScore = int32(i), score
		}
	}
	if best >= 0 {
		l.openConn(best, out)
	}
}
