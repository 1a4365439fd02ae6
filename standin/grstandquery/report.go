package grstandquery

import (
	"fmt"
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grsnapshot"
)

// Report holds the results of a run. The numbers of queries by outcome, latencies,
// coverage and goodput cover the queries sent after the warm-up; all other values cover
// the whole run.
type Report struct {
	Queries, Complete, Partial, NotRun, Unknown int            // queries: all, and by outcome
	P50, P99, P999                              grclock.Millis // latency of queries, except those with outcome NotRun
	NotRunP99                                   grclock.Millis // latency of queries with outcome NotRun
	Coverage                                    float64        // mean over the queries
	SubRequests                                 int            // sub-requests sent
	// Sub-requests that the queries that ran need without hedges and retries, including the warm-up.
	MinSubRequests int
	ExtraLoad      float64 // SubRequests ÷ MinSubRequests
	Goodput        float64 // rate of complete answers ÷ capacity
	// Queries reported as not run although a search was started; counted with Config.CheckInvariants.
	FalseNotRun        int
	PeakConns          int // highest number of connections to a searcher
	DispatcherCounters grdispatch.Counters
	RouterCounters     grrouter.Counters
	Violations         []string // the first few violated invariants
	notRunLatencies    []grclock.Millis
	coverageSum        float64
	completeWork       float64                    // sum of relativeWork of the complete answers
	workBySecond       map[grclock.Millis]float64 // the same by second of virtual time
}

// maxViolations limits Report.Violations.
const maxViolations = 10

func (sim *simulation) reportViolation(format string, args ...any) {
	if len(sim.report.Violations) < maxViolations {
		sim.report.Violations = append(sim.report.Violations, fmt.Sprintf(format, args...))
	}
}

// handleResult processes the result of a query or request.
func (in *instance) handleResult(r *grrouter.Result) {
	sim := in.sim
	q := in.queries[r.ID]
	if q == nil {
		sim.reportViolation("answers: query %d ended twice", r.ID)
		return
	}
	if sim.config.Bug == MissingAnswer && sim.random.IntN(20) == 0 {
		return
	}
	delete(in.queries, r.ID)
	sim.injectBug(r, q)
	if sim.config.CheckInvariants {
		sim.checkResult(r, q)
	}
	if !q.atMostOnce && r.Outcome != grrouter.NotRun {
		sim.report.MinSubRequests += sim.config.Services
	}
	if q.atMostOnce && r.Outcome != grrouter.NotRun {
		sim.report.MinSubRequests++
	}
	if q.measured {
		sim.recordResult(r, q)
	}
}

func (sim *simulation) recordResult(r *grrouter.Result, q *pendingQuery) {
	took := sim.now - q.sentAt
	sim.report.Queries++
	sim.report.coverageSum += r.Coverage
	switch r.Outcome {
	case grrouter.Complete:
		sim.report.Complete++
		sim.report.completeWork += sim.relativeWork(q)
		sim.latencies = append(sim.latencies, took)
		if sim.report.workBySecond == nil {
			sim.report.workBySecond = make(map[grclock.Millis]float64)
		}
		sim.report.workBySecond[sim.now/grclock.Second] += sim.relativeWork(q)
	case grrouter.Partial:
		sim.report.Partial++
		sim.latencies = append(sim.latencies, took)
	case grrouter.NotRun:
		sim.report.NotRun++
		sim.report.notRunLatencies = append(sim.report.notRunLatencies, took)
	case grrouter.Unknown:
		sim.report.Unknown++
		sim.latencies = append(sim.latencies, took)
	}
}

// relativeWork returns the work of an answer relative to a query of all shards.
func (sim *simulation) relativeWork(q *pendingQuery) float64 {
	if q.atMostOnce {
		return 1 / float64(sim.config.Services)
	}
	return 1
}

// checkResult checks a result against the searches that were started and
// against the snapshot that it names.
func (sim *simulation) checkResult(r *grrouter.Result, q *pendingQuery) {
	if r.Outcome == grrouter.NotRun && q.runs > 0 {
		sim.report.FalseNotRun++
		sim.reportViolation("not run: query %d started %d times", r.ID, q.runs)
	}
	if r.Outcome == grrouter.Complete && q.atMostOnce && q.runs == 0 {
		sim.reportViolation("done: request %d did not run", r.ID)
	}
	if q.atMostOnce || r.Outcome != grrouter.Complete && r.Outcome != grrouter.Partial {
		return
	}
	shardMap := sim.maps[r.Snapshot]
	if shardMap == nil {
		sim.reportViolation("snapshot: query %d names one that does not exist", r.ID)
		return
	}
	sim.checkRecords(r, shardMap)
}

func (sim *simulation) checkRecords(r *grrouter.Result, shardMap *grsnapshot.ShardMap) {
	coveredKeys := uint64(0)
	for i, record := range r.Records {
		shard := shardMap.Find(record.Key)
		if shard < 0 || shardMap.Shards[shard].Range.From != record.Key {
			sim.reportViolation("records: query %d holds unknown key %d", r.ID, record.Key)
			return
		}
		if i > 0 && record.Key <= r.Records[i-1].Key {
			sim.reportViolation("records: query %d holds key %d twice or out of order", r.ID, record.Key)
		}
		if record.ID != fmt.Sprint(uint64(r.ID)) {
			sim.reportViolation("requests: query %d holds a record of query %s", r.ID, record.ID)
		}
		if record.Body != fmt.Sprint(uint64(r.Snapshot.IndexVersion)) {
			sim.reportViolation("snapshot: query %d of version %d holds version %s", r.ID, r.Snapshot.IndexVersion, record.Body)
		}
		coveredKeys += shardMap.Shards[shard].Range.Width()
	}
	for _, m := range r.Missing {
		coveredKeys += m.Width()
	}
	totalKeys := uint64(sim.config.Services * shardWidth)
	if coveredKeys != totalKeys {
		sim.reportViolation("coverage: query %d: records and missing ranges cover %d of %d keys", r.ID, coveredKeys, totalKeys)
	}
	stated := float64(len(r.Records)) / float64(len(shardMap.Shards))
	if diff := stated - r.Coverage; diff > 1e-9 || diff < -1e-9 {
		sim.reportViolation("coverage: query %d states coverage %v but has %v", r.ID, r.Coverage, stated)
	}
}

// injectBug applies the injected bug, if any, to one in 10 results.
func (sim *simulation) injectBug(r *grrouter.Result, q *pendingQuery) {
	if sim.random.IntN(10) != 0 {
		return
	}
	switch {
	case sim.config.Bug == MissingRecords && len(r.Records) > 1:
		r.Records = r.Records[1:]
	case sim.config.Bug == DuplicateRecords && len(r.Records) > 0:
		r.Records = append(r.Records, r.Records[len(r.Records)-1])
	case sim.config.Bug == FalseNotRun && q.runs > 0:
		r.Outcome = grrouter.NotRun
	}
}

func (sim *simulation) finish() {
	r := &sim.report
	r.P50, r.P99, r.P999 = quantiles(sim.latencies)
	_, r.NotRunP99, _ = quantiles(r.notRunLatencies)
	if r.Queries > 0 {
		r.Coverage = r.coverageSum / float64(r.Queries)
	}
	r.ExtraLoad = float64(r.SubRequests) / float64(max(r.MinSubRequests, 1))
	if span := sim.lastMeasured - sim.firstMeasured; span > 0 {
		r.Goodput = r.completeWork / (sim.config.Capacity() * float64(span) / float64(grclock.Second))
	}
	for _, s := range sim.searchers {
		r.PeakConns = max(r.PeakConns, s.peakConns)
	}
	for _, in := range sim.instances {
		r.RouterCounters.Add(&in.router.Counters)
		for i := range in.router.ServiceCount() {
			r.DispatcherCounters.Add(&in.router.Dispatcher(int32(i)).Counters)
		}
		if n := len(in.queries); n > 0 && !in.killed && sim.config.CheckInvariants {
			sim.reportViolation("answers: %d queries of instance %d never ended", n, in.index)
		}
	}
}

// GoodputBetween returns the rate of complete answers ÷ capacity between two
// times, which must be whole seconds.
func (r *Report) GoodputBetween(c Config, from, to grclock.Millis) float64 {
	sum := 0.0
	for second, n := range r.workBySecond {
		if second >= from/grclock.Second && second < to/grclock.Second {
			sum += n
		}
	}
	return sum / (c.Capacity() * float64(to-from) / float64(grclock.Second))
}

func quantiles(list []grclock.Millis) (p50, p99, p999 grclock.Millis) {
	if len(list) == 0 {
		return 0, 0, 0
	}
	slices.Sort(list)
	at := func(q float64) grclock.Millis { return list[min(len(list)-1, int(q*float64(len(list))))] }
	return at(0.5), at(0.99), at(0.999)
}

// scheduleFaults schedules the faults that do not depend on messages.
func (sim *simulation) scheduleFaults() {
	f := &sim.config.Faults
	sim.repeat(f.IndexInterval, func() { sim.publish(sim.currentMap.Snapshot.IndexVersion+1, sim.currentMap.Snapshot.MapVersion) })
	sim.repeat(f.MapInterval, func() { sim.publish(sim.currentMap.Snapshot.IndexVersion, sim.currentMap.Snapshot.MapVersion+1) })
	sim.repeat(f.PauseInterval, sim.pauseRandomInstance)
	if sim.config.Stragglers == SlowSearchers {
		sim.repeat(slowPeriod, sim.moveStragglers)
	}
	if sim.config.KillAt > 0 {
		sim.after(sim.config.KillAt, func() { sim.kill(sim.instances[0]) })
	}
}

// repeat calls the function at intervals until all queries have been sent.
func (sim *simulation) repeat(span grclock.Millis, do func()) {
	if span == 0 {
		return
	}
	sim.after(span, func() {
		if sim.sentMeasured < sim.config.Queries {
			do()
			sim.repeat(span, do)
		}
	})
}

// publish creates a new snapshot. Searchers keep the previous index version, but
// with probability 0.3 they remove it at once. Each instance receives the new shard
// map after up to 50 ms.
func (sim *simulation) publish(index, mapVersion grsnapshot.Version) {
	sim.currentMap = sim.makeMap(index, mapVersion)
	if index > 1 {
		sim.oldestIndex = index - 1
	}
	if sim.chance(0.3) {
		sim.oldestIndex = index
	}
	m := sim.currentMap
	for _, in := range sim.instances {
		in := in
		sim.after(grclock.Millis(sim.random.IntN(50)), func() { in.deliver(func() { in.router.SetShardMap(m) }) })
	}
}

func (sim *simulation) pauseRandomInstance() {
	in := sim.instances[sim.random.IntN(len(sim.instances))]
	if in.killed || in.paused {
		return
	}
	in.paused = true
	sim.after(sim.config.Faults.PauseTime, func() {
		in.paused = false
		backlog := in.backlog
		in.backlog = nil
		for _, do := range backlog {
			do()
		}
	})
}

func (sim *simulation) moveStragglers() {
	for _, s := range sim.searchers {
		s.slowdown = 1
	}
	count := max(1, len(sim.searchers)/slowOneIn)
	for range count {
		sim.searchers[sim.random.IntN(len(sim.searchers))].slowdown = slowFactor
	}
	for _, in := range sim.instances {
		if sim.config.Oracle {
			in.setConnShares(sim.config.Instances)
		}
	}
}

// kill ends an instance and closes its connections. The others divide its share
// of the connection limits among themselves after a second.
func (sim *simulation) kill(in *instance) {
	in.killed = true
	for _, c := range in.conns {
		c.searcher.close(c)
	}
	sim.after(grclock.Second, func() {
		for _, other := range sim.instances {
			if !other.killed {
				other.setConnShares(sim.config.Instances - 1)
			}
		}
	})
}
