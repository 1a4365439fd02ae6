package grstandbench

import (
	"fmt"
	"slices"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grsnapshot"
)

// Report is what a run measured.
type Report struct {
	Asked, Complete, Partial, NotRun, Unknown int
	P50, P99, P999                            grclock.Millis // of answers
	RefusalP99                                grclock.Millis
	Coverage                                  float64 // mean over all queries
	Sent                                      int     // sub-requests sent, also before the measured span
	Needed                                    int     // sub-requests of the queries that ran
	ExtraLoad                                 float64 // Sent ÷ Needed
	Goodput                                   float64 // complete answers ÷ capacity
	FalseNotRun                               int
	MostConns                                 int // at any searcher
	Leaves                                    grleaf.Counters
	Routers                                   grrouter.Counters
	Violations                                []string
	refusals                                  []grclock.Millis
	covered                                   float64
	work                                      float64                    // complete answers, in whole queries
	completeSince                             map[grclock.Millis]float64 // of these by second
}

// maxViolations bounds the list; one is enough to fail.
const maxViolations = 10

func (w *world) violate(format string, args ...any) {
	if len(w.report.Violations) < maxViolations {
		w.report.Violations = append(w.report.Violations, fmt.Sprintf(format, args...))
	}
}

// end takes the end of a query.
func (in *instance) end(r *grrouter.Result) {
	w := in.world
	a := in.asks[r.ID]
	if a == nil {
		w.violate("answers: query %d ended twice", r.ID)
		return
	}
	if w.config.Plant == ForgottenRequest && w.random.Below(20) == 0 {
		return
	}
	delete(in.asks, r.ID)
	w.plant(r, a)
	if w.config.Check {
		w.check(r, a)
	}
	if !a.once && r.Outcome != grrouter.NotRun {
		w.report.Needed += w.config.Services
	}
	if a.once && r.Outcome != grrouter.NotRun {
		w.report.Needed++
	}
	if a.measured {
		w.measure(r, a)
	}
}

func (w *world) measure(r *grrouter.Result, a *asked) {
	took := w.now - a.at
	w.report.Asked++
	w.report.covered += r.Coverage
	switch r.Outcome {
	case grrouter.Complete:
		w.report.Complete++
		w.report.work += w.workOf(a)
		w.latencies = append(w.latencies, took)
		if w.report.completeSince == nil {
			w.report.completeSince = make(map[grclock.Millis]float64)
		}
		w.report.completeSince[w.now/grclock.Second] += w.workOf(a)
	case grrouter.Partial:
		w.report.Partial++
		w.latencies = append(w.latencies, took)
	case grrouter.NotRun:
		w.report.NotRun++
		w.report.refusals = append(w.report.refusals, took)
	case grrouter.Unknown:
		w.report.Unknown++
		w.latencies = append(w.latencies, took)
	}
}

// workOf returns the work of an answer in whole queries.
func (w *world) workOf(a *asked) float64 {
	if a.once {
		return 1 / float64(w.config.Services)
	}
	return 1
}

// check compares an answer with what is known of the data and of the run.
func (w *world) check(r *grrouter.Result, a *asked) {
	if r.Outcome == grrouter.NotRun && a.ran > 0 {
		w.report.FalseNotRun++
		w.violate("not run: query %d started %d times", r.ID, a.ran)
	}
	if r.Outcome == grrouter.Complete && a.once && a.ran == 0 {
		w.violate("done: request %d never ran", r.ID)
	}
	if a.once || r.Outcome != grrouter.Complete && r.Outcome != grrouter.Partial {
		return
	}
	pinned := w.maps[r.Snapshot]
	if pinned == nil {
		w.violate("snapshot: query %d names one that never was", r.ID)
		return
	}
	w.checkRecords(r, pinned)
}

func (w *world) checkRecords(r *grrouter.Result, pinned *grsnapshot.Map) {
	covered := uint64(0)
	for i, record := range r.Records {
		shard := pinned.Find(record.Key)
		if shard < 0 || pinned.Shards[shard].Range.From != record.Key {
			w.violate("records: query %d holds key %d", r.ID, record.Key)
			return
		}
		if i > 0 && record.Key <= r.Records[i-1].Key {
			w.violate("records: query %d holds key %d twice or out of order", r.ID, record.Key)
		}
		if record.ID != fmt.Sprint(uint64(r.ID)) {
			w.violate("requests: query %d holds a record of query %s", r.ID, record.ID)
		}
		if record.Body != fmt.Sprint(uint64(r.Snapshot.Index)) {
			w.violate("snapshot: query %d of version %d holds version %s", r.ID, r.Snapshot.Index, record.Body)
		}
		covered += pinned.Shards[shard].Range.Width()
	}
	for _, m := range r.Missing {
		covered += m.Width()
	}
	total := uint64(w.config.Services * shardWidth)
	if covered != total {
		w.violate("coverage: query %d: records and missing ranges cover %d of %d keys", r.ID, covered, total)
	}
	stated := float64(len(r.Records)) / float64(len(pinned.Shards))
	if diff := stated - r.Coverage; diff > 1e-9 || diff < -1e-9 {
		w.violate("coverage: query %d states %v and holds %v", r.ID, r.Coverage, stated)
	}
}

// plant puts a fault into an answer, so that the checks can be seen to find it.
func (w *world) plant(r *grrouter.Result, a *asked) {
	if w.random.Below(10) != 0 {
		return
	}
	switch {
	case w.config.Plant == LostRecords && len(r.Records) > 1:
		r.Records = r.Records[1:]
	case w.config.Plant == DoubledRecords && len(r.Records) > 0:
		r.Records = append(r.Records, r.Records[len(r.Records)-1])
	case w.config.Plant == FalseNotRun && a.ran > 0:
		r.Outcome = grrouter.NotRun
	}
}

func (w *world) finish() {
	r := &w.report
	r.P50, r.P99, r.P999 = quantiles(w.latencies)
	_, r.RefusalP99, _ = quantiles(r.refusals)
	if r.Asked > 0 {
		r.Coverage = r.covered / float64(r.Asked)
	}
	r.ExtraLoad = float64(r.Sent) / float64(max(r.Needed, 1))
	if span := w.lastAt - w.firstAt; span > 0 {
		r.Goodput = r.work / (w.config.Capacity() * float64(span) / float64(grclock.Second))
	}
	for _, s := range w.searchers {
		r.MostConns = max(r.MostConns, s.most)
	}
	for _, in := range w.instances {
		r.Routers.Add(&in.router.Counters)
		for i := range in.router.Services() {
			r.Leaves.Add(&in.router.Leaf(int32(i)).Counters)
		}
		if n := len(in.asks); n > 0 && !in.dead && w.config.Check {
			w.violate("answers: %d queries of instance %d never ended", n, in.index)
		}
	}
}

// GoodputBetween returns complete answers ÷ capacity over a span of seconds.
func (r *Report) GoodputBetween(c Config, from, to grclock.Millis) float64 {
	sum := 0.0
	for second, n := range r.completeSince {
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

// planFaults plans what happens at certain times.
func (w *world) planFaults() {
	f := &w.config.Faults
	w.every(f.Versions, func() { w.publish(w.current.Snapshot.Index+1, w.current.Snapshot.Map) })
	w.every(f.Repartition, func() { w.publish(w.current.Snapshot.Index, w.current.Snapshot.Map+1) })
	w.every(f.Pause, w.pauseOne)
	if w.config.Stragglers == SlowForStretches {
		w.every(slowStretch, w.moveStragglers)
	}
	if w.config.KillAt > 0 {
		w.after(w.config.KillAt, func() { w.kill(w.instances[0]) })
	}
}

// every repeats until all queries were asked.
func (w *world) every(span grclock.Millis, do func()) {
	if span == 0 {
		return
	}
	w.after(span, func() {
		if w.asked < w.config.Queries {
			do()
			w.every(span, do)
		}
	})
}

// publish makes a new snapshot; searchers keep the index version before it,
// and each instance learns of it at its own time.
func (w *world) publish(index, mapVersion grsnapshot.Version) {
	w.current = w.makeMap(index, mapVersion)
	if index > 1 {
		w.oldest = index - 1
	}
	if w.chance(0.3) {
		w.oldest = index
	}
	m := w.current
	for _, in := range w.instances {
		in := in
		w.after(grclock.Millis(w.random.Below(50)), func() { in.deliver(func() { in.router.SetMap(m) }) })
	}
}

func (w *world) pauseOne() {
	in := w.instances[w.random.Below(len(w.instances))]
	if in.dead || in.paused {
		return
	}
	in.paused = true
	w.after(w.config.Faults.PauseFor, func() {
		in.paused = false
		backlog := in.backlog
		in.backlog = nil
		for _, do := range backlog {
			do()
		}
	})
}

func (w *world) moveStragglers() {
	for _, s := range w.searchers {
		s.factor = 1
	}
	slow := max(1, len(w.searchers)/slowOneIn)
	for range slow {
		w.searchers[w.random.Below(len(w.searchers))].factor = slowFactor
	}
	for _, in := range w.instances {
		if w.config.Oracle {
			in.setShares(w.config.Instances)
		}
	}
}

// kill ends an instance; its connections close, and the others take its share
// after a second.
func (w *world) kill(in *instance) {
	in.dead = true
	for _, c := range in.conns {
		c.searcher.close(c)
	}
	w.after(grclock.Second, func() {
		for _, other := range w.instances {
			if !other.dead {
				other.setShares(w.config.Instances - 1)
			}
		}
	})
}
