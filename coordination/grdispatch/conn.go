package grdispatch

import (
	"math"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// connPool holds the connections to one searcher.
type connPool struct {
	idle       []idleConn                         // least recently used first
	carried    map[ConnID][]grident.CorrelationID // of the requests sent on each connection
	total      int                                // opening, idle and in use
	opening    int
	target     int            // number of connections to pre-open
	lastOpened grclock.Millis // time of the last successful opening
	lastUsed   grclock.Millis // time of the last send
	retryAt    grclock.Millis // no connection is opened before this time
	failures   int            // failed openings and broken connections since the last answer
	reopenStep int            // doublings of the pause before the next opening
	lastFailed ConnID         // newest connection at the last failure
	trial      ConnID         // the only connection opened since then, which has not answered; 0: none
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
func (d *Dispatcher) ConnOpened(now grclock.Millis, searcher int32, conn ConnID, out *Output) {
	r := &d.searchers[searcher]
	r.conns.opening--
	d.noteConnOpened(now, r, conn, out)
	r.conns.lastOpened = now
	r.conns.idle = append(r.conns.idle, idleConn{conn, now})
	d.maintainConns(now, out)
	d.dispatch(now, out)
}

// ConnFailed records that a connection could not be opened.
func (d *Dispatcher) ConnFailed(now grclock.Millis, searcher int32, out *Output) {
	r := &d.searchers[searcher]
	r.conns.opening--
	r.conns.total--
	d.noteConnLost(now, r, out)
	d.recordConnFailure(now, r)
	d.recordFailure(now, r)
	d.maintainConns(now, out)
	d.dispatch(now, out)
}

// WithdrawOpening withdraws the opening of a connection that the transport has not begun, if
// it is not needed any more, and reports whether it did.
func (d *Dispatcher) WithdrawOpening(searcher int32, conn ConnID) bool {
	r := &d.searchers[searcher]
	surplus := r.conns.total > d.allowedConns(r)
	unused := d.WarmConns != nil && r.conns.total > r.conns.target && d.queue.Len() == 0
	if !surplus && !unused {
		return false
	}
	r.conns.opening--
	r.conns.total--
	if r.conns.trial == conn {
		r.conns.trial = 0
	}
	return true
}

// ConnLost records that an idle connection was closed by the searcher. It emits a
// CloseConn action, which releases the daemon's side.
func (d *Dispatcher) ConnLost(now grclock.Millis, searcher int32, conn ConnID, out *Output) {
	r := &d.searchers[searcher]
	for i, c := range r.conns.idle {
		if c.id == conn {
			r.conns.idle = append(r.conns.idle[:i], r.conns.idle[i+1:]...)
			d.recordIdleClose(now, r, c.since)
			d.closeConn(searcher, conn, out)
			d.noteConnLost(now, r, out)
			break
		}
	}
	d.maintainConns(now, out)
}

// unreachableAfter is the number of failed openings or broken connections, without an
// answer in between, after which a searcher without a connection counts as
// unreachable.
const unreachableAfter = 3

// unreachable reports whether it is pointless for the sub-request to wait: no searcher
// may receive it, or every searcher that may receive it accepts no new work or has no
// connection and counts as unreachable. It is false before the first SetSearchers.
func (d *Dispatcher) unreachable(now grclock.Millis, s *pendingRequest) bool {
	for i := range d.searchers {
		r := &d.searchers[i]
		if !d.allows(s, int32(i)) || r.NotHolder && r.conns.total == 0 {
			continue
		}
		if r.usable() && (r.conns.total > r.conns.opening || r.conns.failures < unreachableAfter || d.mayReconnect(now, r)) {
			return false
		}
	}
	return d.hasSearcherList
}

// mayReconnect reports whether the waiting sub-request itself can cause the next attempt
// to connect to an unreachable searcher: warm connection targets are set, so that
// connections beyond them are opened on demand only, and the retry pause is over.
func (d *Dispatcher) mayReconnect(now grclock.Millis, r *searcherState) bool {
	return d.WarmConns != nil && r.conns.retryAt <= now
}

// TakeIdleConn takes the least recently used idle connection out of the pool for a
// health check by the daemon; ReturnConn puts it back. ok is false when no connection
// is idle.
func (d *Dispatcher) TakeIdleConn(searcher int32) (conn ConnID, ok bool) {
	p := &d.searchers[searcher].conns
	if len(p.idle) == 0 {
		return 0, false
	}
	return p.takeOldest(), true
}

// ReturnConn puts back a connection taken with TakeIdleConn. If it is not healthy, it is
// replaced, and out receives the CloseConn action.
func (d *Dispatcher) ReturnConn(now grclock.Millis, searcher int32, conn ConnID, healthy bool, out *Output) {
	if !healthy {
		d.recordConnFailure(now, &d.searchers[searcher])
	}
	d.releaseConn(now, searcher, conn, healthy, out)
	if !healthy {
		d.noteConnLost(now, &d.searchers[searcher], out)
	}
	d.maintainConns(now, out)
	d.dispatch(now, out)
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
// are reopened only when a sub-request waits for a connection.
func (d *Dispatcher) recordIdleClose(now grclock.Millis, r *searcherState, since grclock.Millis) {
	if d.WarmConns == nil || now-r.conns.lastOpened < stableAfter {
		d.recordConnFailure(now, r)
		return
	}
	floor := minWarm
	if r.Domain != d.Domain && r.conns.lastUsed <= since {
		floor = 0 // too few hedges go there to keep a connection warm
	}
	r.conns.target = min(r.conns.target, max(r.conns.total-1, floor))
}

// recordUse records a send to the searcher and raises the target back to minWarm at
// most, so that the minimum of warm connections that was dropped for lack of use is
// reopened.
func (d *Dispatcher) recordUse(now grclock.Millis, r *searcherState) {
	r.conns.lastUsed = now
	r.conns.target = max(r.conns.target, min(d.warmTarget(r), minWarm))
}

// maxReopenStep bounds the doublings of the pause before the next opening.
const maxReopenStep = 16

// recordConnFailure delays the next opening after a connection broke or could not be
// opened: the searcher may accept connections and close them immediately. With
// Policy.ReopenMax the delay doubles with each failure, so that searchers at their
// connection limit are not asked over and over. Connections that fail together count once,
// and after a failure one connection is tried until it has answered.
func (d *Dispatcher) recordConnFailure(now grclock.Millis, r *searcherState) {
	r.conns.failures++
	r.conns.lastFailed, r.conns.trial = d.nextConn, 0
	if d.Policy.ReopenMax == 0 {
		r.conns.retryAt = now + d.Policy.ReopenInterval
		return
	}
	if r.conns.retryAt > now {
		return
	}
	pause := min(d.Policy.ReopenMax, d.Policy.ReopenInterval<<r.conns.reopenStep)
	r.conns.retryAt = now + pause/2 + grclock.Millis(d.Random.IntN(int(pause)))
	r.conns.reopenStep = min(r.conns.reopenStep+1, maxReopenStep)
}

// recordConnAnswer ends the growth of the pause before openings. An answer on a connection
// that is older than the last failure does not show that the searcher accepts new ones.
func (r *searcherState) recordConnAnswer(conn ConnID) {
	r.conns.failures = 0
	if conn > r.conns.lastFailed {
		r.conns.reopenStep, r.conns.trial = 0, 0
	}
}

// releaseConn returns a connection that was in use to the pool, or closes it.
func (d *Dispatcher) releaseConn(now grclock.Millis, searcher int32, conn ConnID, healthy bool, out *Output) {
	r := &d.searchers[searcher]
	if healthy && r.usable() && r.conns.total <= d.connLimit(r) && !r.conns.isUsedUp(conn) {
		r.conns.idle = append(r.conns.idle, idleConn{conn, now})
		return
	}
	d.closeConn(searcher, conn, out)
}

// closeConn closes a connection that is not in the idle list.
func (d *Dispatcher) closeConn(searcher int32, conn ConnID, out *Output) {
	d.searchers[searcher].conns.total--
	if d.searchers[searcher].conns.trial == conn {
		d.searchers[searcher].conns.trial = 0
	}
	delete(d.searchers[searcher].conns.carried, conn)
	delete(d.searchers[searcher].cold.fresh, conn)
	d.Counters.ConnsClosed++
	d.emit(out, CloseConn, searcher, conn, 0, SubRequestKey{}, 0)
}

// maintainConns closes idle connections above the connection limit and opens
// connections up to the target.
func (d *Dispatcher) maintainConns(now grclock.Millis, out *Output) {
	for i := range d.searchers {
		d.closeSurplus(int32(i), out)
		d.openToTarget(now, int32(i), out)
	}
}

func (d *Dispatcher) closeSurplus(i int32, out *Output) {
	r := &d.searchers[i]
	allowed := d.allowedConns(r)
	for r.conns.total > allowed && len(r.conns.idle) > 0 {
		d.closeConn(i, r.conns.takeOldest(), out)
	}
}

// allowedConns returns the number of connections that may be held to a searcher in its
// current state.
func (d *Dispatcher) allowedConns(r *searcherState) int {
	if !r.usable() {
		return 0
	}
	return d.connLimit(r)
}

func (d *Dispatcher) openToTarget(now grclock.Millis, i int32, out *Output) {
	r := &d.searchers[i]
	if !r.usable() {
		return
	}
	if r.refuses(now) {
		d.wakeAt(r.refusedUntil)
		return
	}
	target := min(d.connLimit(r), int(d.maxWindow(r))+d.Policy.WarmConns)
	if d.WarmConns != nil {
		target = min(d.connLimit(r), r.conns.target)
	}
	if r.conns.total < target && r.conns.retryAt > now {
		d.wakeAt(r.conns.retryAt)
		return
	}
	for r.conns.total < target && r.conns.trial == 0 {
		d.openConn(i, out)
	}
}

func (d *Dispatcher) openConn(i int32, out *Output) {
	r := &d.searchers[i]
	d.nextConn++
	r.conns.total++
	r.conns.opening++
	if r.conns.reopenStep > 0 {
		r.conns.trial = d.nextConn
	}
	d.Counters.ConnsOpened++
	d.emit(out, OpenConn, i, d.nextConn, 0, SubRequestKey{}, 0)
}

// WarmConnTargets states how many warm connections to hold to each searcher of the local
// failure domain and to each remote searcher, and whether this instance is one of the
// few owners that send sub-requests to the searchers of its domain for all instances.
type WarmConnTargets struct {
	Local, Remote int
	Owner         bool
}

// connLimit returns the number of connections that may be held to a searcher.
func (d *Dispatcher) connLimit(r *searcherState) int {
	if d.WarmConns != nil && d.WarmConns.Owner && r.Domain == d.Domain {
		return max(r.ConnLimit, r.OwnerConnLimit)
	}
	return r.ConnLimit
}

// SetWarmConns changes the numbers of warm connections.
func (d *Dispatcher) SetWarmConns(now grclock.Millis, targets WarmConnTargets, out *Output) {
	if d.WarmConns != nil && *d.WarmConns == targets {
		return
	}
	d.WarmConns = &targets
	for i := range d.searchers {
		d.searchers[i].conns.target = d.warmTarget(&d.searchers[i])
	}
	d.maintainConns(now, out)
}

// warmTarget returns the number of warm connections to hold to a searcher.
func (d *Dispatcher) warmTarget(r *searcherState) int {
	switch {
	case d.WarmConns == nil:
		return 0
	case r.Domain == d.Domain:
		return d.WarmConns.Local
	}
	return d.WarmConns.Remote
}

// openForWaiting opens a connection to the best searcher that lacks only a connection
// to take the waiting sub-request. If all of them lack a unit of their limits as well,
// units are requested first. At the connection limit the new connection replaces an idle
// one, if all idle ones have carried the request before.
func (d *Dispatcher) openForWaiting(now grclock.Millis, s *pendingRequest, out *Output) {
	best, bestScore := int32(-1), math.Inf(1)
	held := heldBackChoice{best: -1, rank: math.Inf(1), score: math.Inf(1)}
	for i := range d.searchers {
		r := &d.searchers[i]
		if r.usable() && r.conns.retryAt > now {
			d.wakeAt(r.conns.retryAt)
		}
		if !r.accepts(now) || r.conns.trial != 0 || r.conns.opening > 0 || r.conns.retryAt > now || r.inFlight >= int(r.window) {
			continue
		}
		if r.conns.total >= d.connLimit(r) && !r.conns.isReplaceable(s.Correlation) {
			continue
		}
		if !d.allows(s, int32(i)) || d.hasAttempt(s, int32(i)) {
			continue
		}
		score := d.score(now, r, i)
		if !d.permits(now, r, out) {
			held.consider(int32(i), score, d.denied(now, r))
			continue
		}
		if score < bestScore {
			best, bestScore = int32(i), score
		}
	}
	if best < 0 && held.best >= 0 {
		d.holdBack(now, s, held.best, true, out)
	}
	if best < 0 {
		return
	}
	if r := &d.searchers[best]; r.conns.total >= d.connLimit(r) {
		d.closeConn(best, r.conns.takeOldest(), out)
	}
	d.openConn(best, out)
}
