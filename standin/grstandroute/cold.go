package grstandroute

import (
	"cmp"
	"maps"
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grratelimit"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// ColdFaultKind is the way in which searchers become cold.
type ColdFaultKind uint8

// The ways.
const (
	// ColdRestart ends the searchers and starts them again under the same ids at Until.
	ColdRestart ColdFaultKind = iota
	// ColdAgain makes running searchers cold; only their entries tell.
	ColdAgain
	// ColdEvacuation evacuates the failure domain of the searchers until Until. They are cold
	// afterwards.
	ColdEvacuation
)

// ColdFault makes the searchers of a failure domain, or some of them, cold.
type ColdFault struct {
	Kind      ColdFaultKind
	At, Until grclock.Millis
	Domain    int
	Shards    int  // those of the first so many shards; 0: all
	Untold    bool // of ColdEvacuation: the entries do not tell that the searchers are cold
}

// Bound on the requests that arrive at a cold searcher in a sliding second, as in the settings
// of a deployment.
const (
	coldOvershoot = 1.5 // factor
	coldSlack     = 5   // requests
)

// entryWriteTime is the longest time from a searcher's start until its entry is written.
const entryWriteTime = 300 * grclock.Millisecond

// coldSpan is a time in which the bound holds for a searcher.
type coldSpan struct{ from, until grclock.Millis }

// searcherEntry is the registry entry of a searcher.
type searcherEntry struct {
	number    int // of the change
	run       grident.Incarnation
	remaining grclock.Millis
}

// knownEntry is an entry as an instance learned it.
type knownEntry struct {
	searcherEntry
	learnedAt grclock.Millis
}

func (sim *simulation) scheduleColdFaults() {
	for _, f := range sim.config.ColdFaults {
		sim.after(f.At, func() { sim.beginColdFault(f) })
		if f.Kind != ColdAgain {
			sim.after(f.Until, func() { sim.endColdFault(f) })
		}
	}
	if sim.config.KillAllocatorAt > 0 {
		sim.after(sim.config.KillAllocatorAt, sim.killAllocator)
	}
}

// killAllocator kills the instance that has answered most requests for units.
func (sim *simulation) killAllocator() {
	sim.restart(slices.Index(sim.instances, slices.MaxFunc(sim.instances, func(a, b *instance) int { return cmp.Compare(a.granted, b.granted) })))
}

// affected returns the searchers of a fault.
func (sim *simulation) affected(f ColdFault) []*searcher {
	var list []*searcher
	for i, s := range sim.searchers {
		if s.domain == domainName(f.Domain) && (f.Shards == 0 || i/sim.config.Searchers < f.Shards) {
			list = append(list, s)
		}
	}
	return list
}

func (sim *simulation) beginColdFault(f ColdFault) {
	if f.Kind == ColdEvacuation {
		sim.setEvacuated(domainName(f.Domain), true)
		return
	}
	for _, s := range sim.affected(f) {
		if f.Kind == ColdAgain {
			s.becomeCold(2*maxViewDelay, 0)
		} else {
			s.end()
		}
	}
}

func (sim *simulation) endColdFault(f ColdFault) {
	if f.Kind == ColdEvacuation {
		sim.setEvacuated(domainName(f.Domain), false)
	}
	for _, s := range sim.affected(f) {
		if f.Kind == ColdEvacuation && f.Untold {
			s.coldSpans = append(s.coldSpans, coldSpan{sim.now, sim.now + sim.config.ColdTime})
			continue
		}
		if f.Kind == ColdRestart {
			s.ended = false
			s.entry.run++
		}
		s.becomeCold(0, sim.entryDelay())
	}
}

// entryDelay draws the time until the entry of a searcher that becomes cold is written. An
// instance that starts takes what the entries state, so if instances start it is 0.
func (sim *simulation) entryDelay() grclock.Millis {
	if c := &sim.config; c.RestartEvery > 0 || c.RestartAll || c.KillAllocatorAt > 0 {
		return 0
	}
	return grclock.Millis(sim.random.IntN(int(entryWriteTime)))
}

// becomeCold makes the searcher cold. The bound holds after the time that instances have to
// learn of it, and its entry is written after a delay.
func (s *searcher) becomeCold(learnTime, entryDelay grclock.Millis) {
	sim := s.sim
	until := sim.now + sim.config.ColdTime
	s.coldSpans = append(s.coldSpans, coldSpan{sim.now + learnTime, until})
	run := s.entry.run
	sim.after(entryDelay, func() {
		if s.entry.run != run {
			return
		}
		s.entry.number++
		s.entry.remaining = until - sim.now
		s.listed = s.entry
		sim.announceEntry(s)
	})
}

// announceEntry informs each instance of a searcher's entry after a delay of its own.
func (sim *simulation) announceEntry(s *searcher) {
	entry := s.listed
	for _, in := range sim.running() {
		sim.after(grclock.Millis(sim.random.IntN(int(maxViewDelay))), func() { in.deliver(func() { in.learnEntry(s, entry) }) })
	}
}

func (in *instance) learnEntry(s *searcher, e searcherEntry) {
	if e.number <= in.entries[s.id].number {
		return
	}
	in.entries[s.id] = knownEntry{e, in.sim.now}
	in.setService(s.service)
}

// setEvacuated begins or ends an evacuation. Each instance learns of it after a delay of its own.
func (sim *simulation) setEvacuated(domain grident.FailureDomain, evacuated bool) {
	all := maps.Clone(sim.evacuated)
	if all == nil {
		all = make(map[grident.FailureDomain]bool)
	}
	all[domain] = evacuated
	sim.evacuated = all
	for _, in := range sim.running() {
		sim.after(grclock.Millis(sim.random.IntN(int(maxViewDelay))), func() {
			in.deliver(func() {
				in.evacuated = maps.Clone(in.evacuated)
				if in.evacuated == nil {
					in.evacuated = make(map[grident.FailureDomain]bool)
				}
				in.evacuated[domain] = evacuated
				in.setServices()
			})
		})
	}
}

// readEntries reads the entries and evacuations at the start of an instance.
func (in *instance) readEntries() {
	in.entries = make(map[grident.SearcherID]knownEntry)
	in.evacuated = in.sim.evacuated
	for _, s := range in.sim.searchers {
		in.entries[s.id] = knownEntry{s.listed, in.sim.now}
	}
}

// setEntry sets what the instance knows of a searcher from its entry.
func (in *instance) setEntry(listed *grdispatch.Searcher) {
	if in.sim.config.ColdPerSecond == 0 {
		return
	}
	e := in.entries[listed.ID]
	listed.Incarnation = e.run
	listed.Evacuated = in.evacuated[listed.Domain]
	listed.Leaving = listed.Evacuated
	if in.sim.config.Bug != ColdUnknown {
		listed.ColdStatedAt, listed.ColdUntil = max(e.learnedAt, 1), e.learnedAt+e.remaining
	}
}

// setService informs the router of the searchers of one service.
func (in *instance) setService(name grident.Service) {
	var list []grdispatch.Searcher
	for _, s := range in.sim.searchers {
		if s.service == name {
			list = append(list, in.listed(s))
		}
	}
	in.router.SetService(in.sim.now, name, list, &in.out)
}

// end ends the searcher's run. Its connections break; instances notice that one by one.
func (s *searcher) end() {
	s.ended, s.queue = true, nil
	for _, in := range s.sim.running() {
		for _, key := range in.connsInOrder() {
			if c := in.conns[key]; c.to == s && c.open {
				in.breakConn(key, c)
			}
		}
	}
}

// connsInOrder returns the keys of all connections, in an order that does not vary.
func (in *instance) connsInOrder() []connKey {
	keys := make([]connKey, 0, len(in.conns))
	for key := range in.conns {
		keys = append(keys, key)
	}
	sortConnKeys(keys)
	return keys
}

func (in *instance) breakConn(key connKey, c *conn) {
	sim := in.sim
	c.closed, c.broken = true, true
	if sim.config.Bug == OldConnsTrusted {
		c.closed, c.broken = false, false
		return
	}
	sim.after(oneWay+grclock.Millis(sim.random.IntN(8)), func() {
		in.deliver(func() {
			switch {
			case in.conns[key] != c: // This instance has closed it.
			case c.attempt != 0:
				attempt := c.attempt
				c.attempt = 0
				in.handleReply(key.dispatcher, grdispatch.Reply{Attempt: attempt, Kind: grdispatch.LostReply})
			default:
				in.router.ConnLost(sim.now, key.dispatcher, key.searcher, key.conn, &in.out)
			}
		})
	})
}

// checkCold checks the attempts that reached each searcher while it was cold.
func (sim *simulation) checkCold() {
	allowed := sim.config.ColdPerSecond*coldOvershoot + coldSlack
	for _, s := range sim.searchers {
		for _, span := range s.coldSpans {
			sim.checkColdSpan(s, span, allowed)
		}
	}
}

func (sim *simulation) checkColdSpan(s *searcher, span coldSpan, allowed float64) {
	var times []grclock.Millis
	for _, a := range s.attempts {
		if a.at >= span.from && a.at < min(span.until, sim.config.Duration) {
			times = append(times, a.at)
		}
	}
	sim.report.Cold += len(times)
	for _, start := range times {
		n := countWithin(times, start, grratelimit.ColdWindow)
		sim.report.MostCold = max(sim.report.MostCold, n)
		if float64(n) > allowed {
			sim.reportViolation("%s: %d attempts in the second from %d ms while it was cold, %.1f allowed", s.id, n, start, allowed)
			return
		}
	}
}

// failConn reports a connection that the searcher refused.
func (in *instance) failConn(key connKey, c *conn) {
	in.deliver(func() {
		if in.conns[key] == c {
			delete(in.conns, key)
		}
		in.router.ConnFailed(in.sim.now, key.dispatcher, key.searcher, &in.out)
	})
}

// sortConnKeys sorts the keys of connections.
func sortConnKeys(keys []connKey) {
	slices.SortFunc(keys, func(a, b connKey) int {
		return cmp.Or(cmp.Compare(a.dispatcher, b.dispatcher), cmp.Compare(a.searcher, b.searcher), cmp.Compare(a.conn, b.conn))
	})
}
