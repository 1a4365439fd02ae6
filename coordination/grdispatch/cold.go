package grdispatch

import (
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// A cold searcher tolerates few requests for a while: after a start, after the evacuation of its
// failure domain, or whenever its entry or an answer says so. Each attempt at it needs a unit of
// what it tolerates, beside one of a rate limit that it states. See docs/design/cold-searchers.md.

// ColdTerms tells what the cold searchers of a service tolerate. The zero value limits nothing.
type ColdTerms struct {
	Units grratelimit.QuotaTerms // none: there is no limit
	Lease grclock.Millis         // time after the request for units in which they may be used
	Start grclock.Millis         // how long a searcher is cold after a start
}

// limits reports whether cold searchers are limited.
func (t *ColdTerms) limits() bool { return t.Units.Version > 0 }

// ColdSource tells why a searcher counts as cold.
type ColdSource uint8

// The reasons.
const (
	ColdByEntry      ColdSource = iota // its entry states it
	ColdByStart                        // a new run or a new searcher appeared
	ColdByEvacuation                   // the evacuation of its failure domain ended
	ColdByConnection                   // no connection from before is left, so that it may have been restarted
	ColdByAnswer                       // an answer states it
)

// String returns the name of the reason for logs.
func (s ColdSource) String() string {
	return [...]string{"entry", "start", "evacuation", "connection", "answer"}[s]
}

// ColdStatement is what an answer says of the time for which its searcher stays cold.
type ColdStatement struct {
	Stated    bool
	Remaining grclock.Millis
}

// ColdChange reports that a searcher counts as cold, for another reason than before, or as warm
// again.
type ColdChange struct {
	Service  int32 // set by the router
	Searcher grident.SearcherID
	Cold     bool
	Until    grclock.Millis
	Source   ColdSource
}

// ColdUse describes the use of a cold searcher.
type ColdUse struct {
	Searcher           grident.SearcherID
	Left               grclock.Millis // time for which it stays cold
	Source             ColdSource
	Attempts, HeldBack uint64 // of this instance since the searcher became cold
}

// searcherCold is the dispatcher's knowledge of a searcher that is or was cold.
type searcherCold struct {
	until              grclock.Millis
	source             ColdSource
	active             bool           // it counts as cold; until its end has been noticed
	reported           bool           // as cold
	suspectedAt        grclock.Millis // when its run may have ended; 0: never
	units              grratelimit.ColdAllowance
	attempts, heldBack uint64

	lostAt   grclock.Millis // with unproven: when a connection was lost
	unproven bool           // a connection was lost, and its run may have ended
	// fresh holds the open connections that were opened since then.
	fresh map[ConnID]bool
}

// Timing of cold searchers.
const (
	// knownServiceTime is the time after the first list of a service from which on a searcher
	// that appears has been started; at the start of an instance they appear one after the other.
	knownServiceTime = 2 * grclock.Second
	// entryDelay is the time within which the entry of a new run is known.
	entryDelay = 3 * grclock.Second
)

// isCold reports whether attempts at the searcher need units.
func (d *Dispatcher) isCold(now grclock.Millis, r *searcherState) bool {
	return r.cold.until > now && d.coldTerms.limits()
}

// SetColdTerms changes what cold searchers tolerate.
func (d *Dispatcher) SetColdTerms(now grclock.Millis, t ColdTerms, out *Output) {
	if t == d.coldTerms {
		return
	}
	had := d.coldTerms.limits()
	d.coldTerms = t
	for i := range d.searchers {
		r := &d.searchers[i]
		switch {
		case !t.limits():
			d.endCold(now, r, out)
		case !had && r.ColdUntil > now:
			d.setCold(now, r, r.ColdUntil, ColdByEntry, out)
		case d.isCold(now, r):
			r.cold.units.SetTerms(now, t.Units, t.Lease)
		}
	}
	d.dispatch(now, out)
}

// noteListed evaluates a searcher of a new list. old is its description before; isNew tells that
// it was not listed before.
func (d *Dispatcher) noteListed(now grclock.Millis, r *searcherState, old *Searcher, isNew bool, out *Output) {
	s := &r.Searcher
	newRun := !isNew && s.Incarnation != old.Incarnation
	if isNew || newRun {
		r.cold.unproven, r.cold.fresh, r.cold.suspectedAt = false, nil, 0
	}
	if !d.coldTerms.limits() {
		return
	}
	stated := s.ColdStatedAt > 0 && (isNew || s.ColdStatedAt != old.ColdStatedAt)
	evacuationEnded := old.Evacuated && !s.Evacuated
	started := now + d.coldTerms.Start
	switch {
	case stated && evacuationEnded && !newRun:
		d.setCold(now, r, max(s.ColdUntil, started), ColdByEvacuation, out)
	case stated && (isNew || newRun || !d.suspectsRestart(now, r)):
		d.setCold(now, r, s.ColdUntil, ColdByEntry, out)
	case stated && s.ColdUntil > r.cold.until:
		d.setCold(now, r, s.ColdUntil, ColdByEntry, out)
	case newRun, isNew && d.knowsService(now):
		d.setCold(now, r, max(started, r.cold.until), ColdByStart, out)
	case evacuationEnded:
		d.setCold(now, r, max(started, r.cold.until), ColdByEvacuation, out)
	}
}

// suspectsRestart reports whether the searcher counts as cold since its run may have ended just
// now, so that an entry of the run may have been written before.
func (d *Dispatcher) suspectsRestart(now grclock.Millis, r *searcherState) bool {
	return d.isCold(now, r) && r.cold.suspectedAt > 0 && now-r.cold.suspectedAt < entryDelay
}

// knowsService reports whether the searchers of the service have been known for a while.
func (d *Dispatcher) knowsService(now grclock.Millis) bool {
	return d.hasSearchers && now-d.searchersSince >= knownServiceTime
}

// setCold sets the time until which a searcher is cold.
func (d *Dispatcher) setCold(now grclock.Millis, r *searcherState, until grclock.Millis, source ColdSource, out *Output) {
	if until <= now {
		d.endCold(now, r, out)
		return
	}
	if r.cold.until <= now {
		r.cold.units = grratelimit.ColdAllowance{}
		r.cold.units.SetTerms(now, d.coldTerms.Units, d.coldTerms.Lease)
		r.cold.attempts, r.cold.heldBack = 0, 0
	}
	isNews := r.usable() && (!r.cold.reported || r.cold.source != source)
	r.cold.until, r.cold.source, r.cold.active = until, source, true
	r.slowStartAt = until
	d.wakeAt(until)
	if isNews {
		r.cold.reported = true
		out.ColdChanges = append(out.ColdChanges, ColdChange{Searcher: r.ID, Cold: true, Until: until, Source: source})
	}
}

// endCold ends the time for which a searcher is cold. The slow start follows.
func (d *Dispatcher) endCold(now grclock.Millis, r *searcherState, out *Output) {
	if !r.cold.active {
		return
	}
	wasReported := r.cold.reported
	r.cold.until, r.cold.active, r.cold.reported = min(r.cold.until, now), false, false
	r.slowStartAt = r.cold.until
	if !wasReported {
		return
	}
	out.ColdChanges = append(out.ColdChanges, ColdChange{Searcher: r.ID, Until: r.cold.until, Source: r.cold.source})
}

// endColdTimes ends the cold times that are over and schedules the end of the others.
func (d *Dispatcher) endColdTimes(now grclock.Millis, out *Output) {
	for i := range d.searchers {
		switch r := &d.searchers[i]; {
		case !r.cold.active:
		case r.cold.until <= now:
			d.endCold(now, r, out)
		default:
			d.wakeAt(r.cold.until)
		}
	}
}

// recordColdAnswer records what an answer says. An answer on a connection that was opened before
// the last failure may be of an earlier run and does not shorten the cold time.
func (d *Dispatcher) recordColdAnswer(now grclock.Millis, r *searcherState, conn ConnID, s ColdStatement, out *Output) {
	if !s.Stated || !d.coldTerms.limits() {
		return
	}
	until := now + s.Remaining
	ofThisRun := conn > r.conns.lastFailed && (!r.cold.unproven || r.cold.fresh[conn])
	if until > r.cold.until || ofThisRun {
		d.setCold(now, r, until, ColdByAnswer, out)
	}
}

// oldConns returns the number of open connections from before the first loss of one that may
// have been the end of the run.
func (r *searcherState) oldConns() int {
	return r.conns.total - r.conns.opening - len(r.cold.fresh)
}

// noteConnLost records that a connection was lost or could not be opened. A restart under the
// same id breaks all connections, which this instance may notice one after the other, and after
// it has opened a new one.
func (d *Dispatcher) noteConnLost(now grclock.Millis, r *searcherState, out *Output) {
	if !d.coldTerms.limits() {
		return
	}
	if !r.cold.unproven {
		r.cold.unproven, r.cold.lostAt, r.cold.fresh = true, now, nil
	}
	d.checkRunProven(now, r, out)
}

// checkRunProven counts the searcher as cold if no connection is left that shows that its run
// goes on.
func (d *Dispatcher) checkRunProven(now grclock.Millis, r *searcherState, out *Output) {
	if !r.cold.unproven || r.oldConns() > 0 {
		return
	}
	r.cold.unproven, r.cold.fresh = false, nil
	if !d.coldTerms.limits() {
		return
	}
	r.cold.suspectedAt = now
	if until := now + d.coldTerms.Start; until > r.cold.until {
		d.setCold(now, r, until, ColdByConnection, out)
	}
}

// noteConnOpened records an open connection. It must be called before the connection is idle, so
// that no sub-request is sent on it if the run may have ended.
func (d *Dispatcher) noteConnOpened(now grclock.Millis, r *searcherState, conn ConnID, out *Output) {
	if !r.cold.unproven {
		return
	}
	if r.cold.fresh == nil {
		r.cold.fresh = make(map[ConnID]bool)
	}
	r.cold.fresh[conn] = true
	d.checkRunProven(now, r, out)
}

// noteConnAnswer records an answer. If it is one to an attempt that was sent after a connection
// was lost, on a connection from before, the run goes on.
func (r *searcherState) noteConnAnswer(conn ConnID, sentAt grclock.Millis) {
	if r.cold.unproven && !r.cold.fresh[conn] && sentAt > r.cold.lostAt {
		r.cold.unproven, r.cold.fresh = false, nil
	}
}

// permits reports whether the searcher's limits permit an attempt now.
func (d *Dispatcher) permits(now grclock.Millis, r *searcherState, out *Output) bool {
	d.checkRunProven(now, r, out)
	return r.rateLimit.Permits(now) && d.coldPermits(now, r)
}

func (d *Dispatcher) coldPermits(now grclock.Millis, r *searcherState) bool {
	return !d.isCold(now, r) || r.cold.units.Permits(now)
}

// denied reports whether units that an attempt needs were just denied.
func (d *Dispatcher) denied(now grclock.Millis, r *searcherState) bool {
	return r.rateLimit.Denied(now) || d.isCold(now, r) && r.cold.units.Denied(now)
}

// limited reports whether attempts at the searcher need units.
func (d *Dispatcher) limited(now grclock.Millis, r *searcherState) bool {
	return r.rateLimit.Limited() || d.isCold(now, r)
}

// useColdUnit takes a unit for an attempt of the sub-request and returns the time by which the
// attempt must be sent.
func (d *Dispatcher) useColdUnit(now grclock.Millis, s *pendingRequest, searcher int32, out *Output) (sendBy grclock.Millis) {
	r := &d.searchers[searcher]
	if !d.isCold(now, r) {
		return grclock.Never
	}
	r.cold.attempts++
	d.wantUnit(now, s, searcher)
	sendBy = r.cold.units.Use(now)
	d.askForColdUnits(now, searcher, false, out)
	return sendBy
}

func (d *Dispatcher) askForColdUnits(now grclock.Millis, searcher int32, waiting bool, out *Output) {
	r := &d.searchers[searcher]
	if !d.isCold(now, r) {
		return
	}
	request, ok := r.cold.units.Ask(now, waiting)
	if ok {
		out.RateLimitAsks = append(out.RateLimitAsks, RateLimitAsk{
			Searcher: r.ID, Domain: r.Domain, Incarnation: r.Incarnation, AskedAt: now, Request: request, Cold: true,
		})
	}
	if ok || waiting {
		d.wakeAt(r.cold.units.AskAt())
	}
}

// handleColdGrant processes the answer to a request for units of a cold searcher.
func (d *Dispatcher) handleColdGrant(now grclock.Millis, r *searcherState, g *RateLimitGrant) {
	switch {
	case !d.isCold(now, r):
	case g.Failed:
		r.cold.units.Failed(now)
	default:
		r.cold.units.Granted(now, g.AskedAt, g.Grant)
	}
}

// unitSource tells when units of a searcher's limits are expected.
type unitSource struct {
	rateLimit *searcherRateLimit
	cold      *grratelimit.ColdAllowance // nil: it is not cold
	coldUntil grclock.Millis
}

func (d *Dispatcher) unitSource(now grclock.Millis, r *searcherState) unitSource {
	u := unitSource{rateLimit: &r.rateLimit}
	if d.isCold(now, r) {
		u.cold, u.coldUntil = &r.cold.units, r.cold.until
	}
	return u
}

// wait returns the expected time until a sub-request may be sent after the given number of others.
func (u *unitSource) wait(now grclock.Millis, ahead int) grclock.Millis {
	wait := u.rateLimit.Wait(now, ahead)
	if u.cold != nil {
		wait = max(wait, min(u.cold.Wait(now, ahead), u.coldUntil-now))
	}
	return wait
}

// ColdUses describes the use of each cold searcher.
func (d *Dispatcher) ColdUses(now grclock.Millis) []ColdUse {
	var list []ColdUse
	for i := range d.searchers {
		if r := &d.searchers[i]; r.present && d.isCold(now, r) {
			list = append(list, ColdUse{r.ID, r.cold.until - now, r.cold.source, r.cold.attempts, r.cold.heldBack})
		}
	}
	return list
}
