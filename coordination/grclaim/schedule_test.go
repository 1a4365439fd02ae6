package grclaim

import (
	"fmt"
	"testing"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/state/grclaimid"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// store is a fake of the platform's object: conditional updates whose replies
// can be lost, that can arrive late, and that fail during outages.
type store struct {
	ledger  Ledger
	version grid.Revision
	random  *grid.Random
	faulty  float64
	blind   bool     // planted: updates apply without their condition
	late    []func() // updates that are still on their way
	ran     map[grid.RequestID]int
	done    map[grid.RequestID]int
	now     grclock.Millis
}

func (s *store) put(version grid.Revision, next Ledger) grchange.WriteEnd {
	apply := func() bool {
		if s.version != version && !s.blind {
			return false
		}
		s.ledger = next.clone()
		s.version++
		return true
	}
	switch {
	case s.random.Float() < s.faulty/3:
		return grchange.NotSent
	case s.random.Float() < s.faulty/3:
		s.late = append(s.late, func() { apply() })
		return grchange.Lost
	}
	applied := apply()
	if s.random.Float() < s.faulty {
		return grchange.Lost
	}
	if !applied {
		return grchange.Outdated
	}
	return grchange.Done
}

// writer is one instance: its partition and the change in progress.
type writer struct {
	store     *store
	partition Partition
	batch     *Batch
	change    *grchange.Change[Ledger]
	step      grchange.Step[Ledger]
	paused    int
	tokens    int
	name      string
	ledger    Ledger // as remembered from the last write
	version   grid.Revision
}

func (w *writer) try(id grid.RequestID) {
	w.tokens++
	w.partition.Claim(Claim{ID: id, Token: Token(fmt.Sprintf("%s-%d", w.name, w.tokens))})
}

// run carries out one step of the writer.
func (w *writer) run() {
	s := w.store
	if w.paused > 0 {
		w.paused--
		return
	}
	if w.change == nil {
		batch, ok := w.partition.Next(s.now)
		if !ok {
			return
		}
		w.batch = batch
		w.change = &grchange.Change[Ledger]{Deadline: s.now + 60, Random: *s.random, Apply: func(l Ledger, _ grid.Revision) grchange.Verdict[Ledger] {
			next, settled := batch.Apply(l)
			return grchange.Verdict[Ledger]{Settled: settled, Next: next}
		}}
		w.step = w.change.Start()
		if w.version > 0 {
			w.step = w.change.StartFrom(s.now, w.ledger.clone(), w.version)
		}
	}
	switch w.step.Kind {
	case grchange.Read:
		if s.random.Float() < s.faulty/2 {
			w.step = w.change.ReadFailed(s.now)
		} else {
			w.step = w.change.Got(s.now, s.ledger.clone(), s.version)
		}
	case grchange.Write:
		w.step = w.change.Wrote(s.now, s.put(w.step.Version, w.step.Next), s.version)
	}
	if w.step.Kind == grchange.Finish {
		w.finish()
	}
}

func (w *writer) finish() {
	s := w.store
	if w.step.End == grchange.Applied {
		w.ledger, w.version = w.step.Next.clone(), w.step.Version
	}
	for _, d := range w.partition.Finish(w.batch, w.step.End, w.step.Next) {
		switch {
		case d.Verdict == Granted && s.random.Below(8) == 0:
			w.partition.Release(d.Claim) // The searcher said that it did not start.
		case d.Verdict == Granted:
			s.ran[d.Claim.ID]++
			w.partition.Record(Outcome{Claim: d.Claim, State: Done, Text: "ran"})
		case d.Verdict == Taken && d.Entry.State == Done:
			s.done[d.Claim.ID]++
		}
	}
	w.change = nil
}

// schedule runs tries of a few ids via three instances and returns the store.
func schedule(seed uint64, blind bool) *store {
	random := &grid.Random{State: seed}
	s := &store{random: random, faulty: 0.6 * random.Float(), blind: blind, now: 1000,
		ran: make(map[grid.RequestID]int), done: make(map[grid.RequestID]int)}
	var writers []*writer
	for i := range 3 {
		writers = append(writers, &writer{store: s, name: fmt.Sprint("w", i), partition: Partition{Window: 5000}})
	}
	for range 60 + random.Below(60) {
		s.now += grclock.Millis(random.Below(10))
		w := writers[random.Below(len(writers))]
		switch random.Below(6) {
		case 0:
			w.try(grclaimid.New(1000, fmt.Sprint("r", random.Below(3))))
		case 1:
			w.paused = random.Below(20)
		case 2:
			if n := len(s.late); n > 0 {
				i := random.Below(n)
				s.late[i]()
				s.late = append(s.late[:i], s.late[i+1:]...)
			}
		}
		for _, w := range writers {
			w.run()
		}
	}
	return s
}

const schedules = 100_000

// TestAtMostOnce tries each id several times via several instances, under lost
// and late writes, outages and pauses.
func TestAtMostOnce(t *testing.T) {
	n := schedules
	if testing.Short() {
		n /= 20
	}
	ran, repeated := 0, 0
	for seed := range uint64(n) {
		s := schedule(seed, false)
		for id, times := range s.ran {
			ran++
			if times > 1 {
				t.Fatalf("seed %d: %s ran %d times", seed, id, times)
			}
		}
		repeated += len(s.done)
	}
	t.Logf("%d requests ran, %d were answered from the record of another try", ran, repeated)
	if ran == 0 || repeated == 0 {
		t.Error("the schedules never led to a run or to a repeated answer")
	}
}

// TestBlindUpdatesAreFound shows that the check finds updates without their
// condition.
func TestBlindUpdatesAreFound(t *testing.T) {
	for seed := range uint64(500) {
		for _, times := range schedule(seed, true).ran {
			if times > 1 {
				return
			}
		}
	}
	t.Error("no request ran twice although updates applied without their condition")
}

// TestExpiry refuses ids that are too old to be remembered, whatever the clock
// of the instance that asks says.
func TestExpiry(t *testing.T) {
	id := grclaimid.New(1000, "a")
	ledger := Ledger{Entries: map[grid.RequestID]Entry{id: {Token: "old", State: Done}}}
	late := Batch{Now: 100_000, Window: 5000}
	ledger, _ = late.Apply(ledger)
	if len(ledger.Entries) != 0 || ledger.ExpiredBefore == 0 {
		t.Fatalf("the ledger still holds %v", ledger)
	}
	claim := Claim{ID: id, Token: "new"}
	behind := Batch{Claims: []Claim{claim}, Now: 2000, Window: 5000}
	ledger, _ = behind.Apply(ledger)
	if d := decide(&ledger, claim); d.Verdict != Expired {
		t.Errorf("verdict %d, want expired", d.Verdict)
	}
}

// TestGroupCommit counts the writes of claims that come while one is in flight.
func TestGroupCommit(t *testing.T) {
	p := Partition{Window: 5000}
	ledger := Ledger{}
	const claims = 200
	var inFlight *Batch
	for i := range claims {
		p.Claim(Claim{ID: grclaimid.New(1000, fmt.Sprint(i)), Token: Token(fmt.Sprint(i))})
		if batch, ok := p.Next(1000); ok {
			inFlight = batch
		}
	}
	for inFlight != nil {
		ledger, _ = inFlight.Apply(ledger)
		p.Finish(inFlight, grchange.Applied, ledger)
		inFlight, _ = p.Next(1000)
	}
	if p.Writes != 2 {
		t.Errorf("%d writes for %d claims, want 2", p.Writes, claims)
	}
	if len(ledger.Entries) != claims {
		t.Errorf("%d entries, want %d", len(ledger.Entries), claims)
	}
}
