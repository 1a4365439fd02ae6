package grclaim

import (
	"fmt"
	"testing"

	"geraniumrouter/coordination/grcas"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grrequestid"
)

// store is a fake of the platform object that holds a ledger. Its conditional updates
// can lose their replies, arrive late or fail without being sent.
type store struct {
	ledger          Ledger
	version         grident.Revision
	random          *grident.Random
	faultRate       float64
	unconditional   bool     // injected fault: updates apply without their condition
	delayed         []func() // delayed updates that have not arrived
	executions      map[grident.RequestID]int
	repeatedAnswers map[grident.RequestID]int
	now             grclock.Millis
}

func (s *store) put(version grident.Revision, next Ledger) grcas.WriteOutcome {
	apply := func() bool {
		if s.version != version && !s.unconditional {
			return false
		}
		s.ledger = next.clone()
		s.version++
		return true
	}
	switch {
	case s.random.Float64() < s.faultRate/3:
		return grcas.NotSent
	case s.random.Float64() < s.faultRate/3:
		s.delayed = append(s.delayed, func() { apply() })
		return grcas.WriteUnknown
	}
	applied := apply()
	if s.random.Float64() < s.faultRate {
		return grcas.WriteUnknown
	}
	if !applied {
		return grcas.VersionConflict
	}
	return grcas.WriteApplied
}

// writer is one instance with its partition and the update in progress.
type writer struct {
	store     *store
	partition Partition
	batch     *Batch
	update    *grcas.Update[Ledger]
	step      grcas.Step[Ledger]
	paused    int
	tokens    int
	name      string
	ledger    Ledger // cached from the last write
	version   grident.Revision
}

func (w *writer) attempt(id grident.RequestID) {
	w.tokens++
	w.partition.Claim(Claim{ID: id, Token: Token(fmt.Sprintf("%s-%d", w.name, w.tokens))})
}

// run carries out one step of the writer, or skips it while the writer is paused.
func (w *writer) run() {
	s := w.store
	if w.paused > 0 {
		w.paused--
		return
	}
	if w.update == nil {
		batch, ok := w.partition.Next(s.now)
		if !ok {
			return
		}
		w.batch = batch
		w.update = &grcas.Update[Ledger]{Deadline: s.now + 60, Random: *s.random, Apply: func(l Ledger, _ grident.Revision) grcas.ApplyResult[Ledger] {
			next, alreadyApplied := batch.Apply(l)
			return grcas.ApplyResult[Ledger]{AlreadyApplied: alreadyApplied, Next: next}
		}}
		w.step = w.update.Start()
		if w.version > 0 {
			w.step = w.update.StartFromCached(s.now, w.ledger.clone(), w.version)
		}
	}
	switch w.step.Kind {
	case grcas.Read:
		if s.random.Float64() < s.faultRate/2 {
			w.step = w.update.ReadFailed(s.now)
		} else {
			w.step = w.update.ReadDone(s.now, s.ledger.clone(), s.version)
		}
	case grcas.Write:
		w.step = w.update.WriteDone(s.now, s.put(w.step.Version, w.step.Next), s.version)
	}
	if w.step.Kind == grcas.Finish {
		w.finish()
	}
}

func (w *writer) finish() {
	s := w.store
	if w.step.Outcome == grcas.Applied {
		w.ledger, w.version = w.step.Next.clone(), w.step.Version
	}
	for _, d := range w.partition.Complete(w.batch, w.step.Outcome, w.step.Next) {
		switch {
		case d.Verdict == Granted && s.random.IntN(8) == 0:
			w.partition.QueueRelease(d.Claim) // The searcher reported that it did not start the request.
		case d.Verdict == Granted:
			s.executions[d.Claim.ID]++
			w.partition.QueueOutcome(Outcome{Claim: d.Claim, State: Done, Text: "ran"})
		case d.Verdict == AlreadyClaimed && d.Entry.State == Done:
			s.repeatedAnswers[d.Claim.ID]++
		}
	}
	w.update = nil
}

// simulate simulates attempts for a few ids on three instances and returns the store.
func simulate(seed uint64, unconditional bool) *store {
	random := &grident.Random{State: seed}
	s := &store{random: random, faultRate: 0.6 * random.Float64(), unconditional: unconditional, now: 1000,
		executions: make(map[grident.RequestID]int), repeatedAnswers: make(map[grident.RequestID]int)}
	var writers []*writer
	for i := range 3 {
		writers = append(writers, &writer{store: s, name: fmt.Sprint("w", i), partition: Partition{Window: 5000}})
	}
	for range 60 + random.IntN(60) {
		s.now += grclock.Millis(random.IntN(10))
		w := writers[random.IntN(len(writers))]
		switch random.IntN(6) {
		case 0:
			w.attempt(grrequestid.New(1000, fmt.Sprint("r", random.IntN(3))))
		case 1:
			w.paused = random.IntN(20)
		case 2:
			if n := len(s.delayed); n > 0 {
				i := random.IntN(n)
				s.delayed[i]()
				s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
			}
		}
		for _, w := range writers {
			w.run()
		}
	}
	return s
}

const simulations = 100_000

// TestAtMostOnce checks that no request runs twice when several instances attempt the
// same ids, with lost replies, delayed writes, failed calls and paused instances.
func TestAtMostOnce(t *testing.T) {
	n := simulations
	if testing.Short() {
		n /= 20
	}
	ran, repeated := 0, 0
	for seed := range uint64(n) {
		s := simulate(seed, false)
		for id, times := range s.executions {
			ran++
			if times > 1 {
				t.Fatalf("seed %d: %s ran %d times", seed, id, times)
			}
		}
		repeated += len(s.repeatedAnswers)
	}
	t.Logf("%d requests ran, %d were answered from the recorded outcome of another attempt", ran, repeated)
	if ran == 0 || repeated == 0 {
		t.Error("no simulation ran a request or repeated a recorded answer")
	}
}

// TestDetectsUnconditionalUpdates checks that the simulation detects updates that apply
// without their condition.
func TestDetectsUnconditionalUpdates(t *testing.T) {
	for seed := range uint64(500) {
		for _, times := range simulate(seed, true).executions {
			if times > 1 {
				return
			}
		}
	}
	t.Error("no request ran twice although updates applied without their condition")
}

// TestExpiry checks that ids older than the retention window are refused, also on an
// instance whose clock is behind.
func TestExpiry(t *testing.T) {
	id := grrequestid.New(1000, "a")
	ledger := Ledger{Entries: map[grident.RequestID]Entry{id: {Token: "old", State: Done}}}
	expiring := Batch{Now: 100_000, Window: 5000}
	ledger, _ = expiring.Apply(ledger)
	if len(ledger.Entries) != 0 || ledger.ExpiredBefore == 0 {
		t.Fatalf("expired ids are still in the ledger: %v", ledger)
	}
	claim := Claim{ID: id, Token: "new"}
	clockBehind := Batch{Claims: []Claim{claim}, Now: 2000, Window: 5000}
	ledger, _ = clockBehind.Apply(ledger)
	if d := decide(&ledger, claim); d.Verdict != Expired {
		t.Errorf("verdict %d, want expired", d.Verdict)
	}
}

// TestGroupCommit checks that claims that arrive while a write is in flight are
// combined into one write.
func TestGroupCommit(t *testing.T) {
	p := Partition{Window: 5000}
	ledger := Ledger{}
	const claims = 200
	var inFlight *Batch
	for i := range claims {
		p.Claim(Claim{ID: grrequestid.New(1000, fmt.Sprint(i)), Token: Token(fmt.Sprint(i))})
		if batch, ok := p.Next(1000); ok {
			inFlight = batch
		}
	}
	for inFlight != nil {
		ledger, _ = inFlight.Apply(ledger)
		p.Complete(inFlight, grcas.Applied, ledger)
		inFlight, _ = p.Next(1000)
	}
	if p.WriteCount != 2 {
		t.Errorf("%d writes for %d claims, want 2", p.WriteCount, claims)
	}
	if len(ledger.Entries) != claims {
		t.Errorf("%d entries, want %d", len(ledger.Entries), claims)
	}
}
