package grchange_test

import (
	"fmt"
	"testing"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
)

// platform is a fake of one object with lost replies and late writes.
type platform struct {
	random  *grid.Random
	pointer grpreset.Pointer
	version grid.Revision
	faulty  float64
	late    []func()
	forget  bool // planted: operators do not recognise their own switch
}

func (p *platform) put(version grid.Revision, next grpreset.Pointer) grchange.WriteEnd {
	apply := func() bool {
		if p.version != version {
			return false
		}
		p.pointer, p.version = next, p.version+1
		return true
	}
	if p.random.Float() < p.faulty/3 {
		p.late = append(p.late, func() { apply() })
		return grchange.Lost
	}
	applied := apply()
	switch {
	case p.random.Float() < p.faulty:
		return grchange.Lost
	case !applied:
		return grchange.Outdated
	}
	return grchange.Done
}

// operator switches the preset once.
type operator struct {
	wish   *grpreset.Switch
	change *grchange.Change[grpreset.Pointer]
	step   grchange.Step[grpreset.Pointer]
}

func newOperator(p *platform, now grclock.Millis, i int) *operator {
	o := &operator{wish: &grpreset.Switch{
		Operation: grid.OperationID(fmt.Sprint("op-", i)), Now: now,
		Preset: grpreset.Preset{Name: grpreset.Name(fmt.Sprint("p", i)), Revision: 1},
	}}
	o.change = &grchange.Change[grpreset.Pointer]{Deadline: now + 300, Random: *p.random,
		Apply: func(current grpreset.Pointer, _ grid.Revision) grchange.Verdict[grpreset.Pointer] {
			if p.forget {
				current.History = nil
				o.wish.Base = nil
			}
			next, settled, fault := o.wish.Apply(current)
			return grchange.Verdict[grpreset.Pointer]{Settled: settled, Fault: fault, Next: next}
		}}
	o.step = o.change.Start()
	return o
}

func (o *operator) run(p *platform, now grclock.Millis) {
	switch o.step.Kind {
	case grchange.Read:
		if p.random.Float() < p.faulty/2 {
			o.step = o.change.ReadFailed(now)
		} else {
			o.step = o.change.Got(now, p.pointer, p.version)
		}
	case grchange.Write:
		o.step = o.change.Wrote(now, p.put(o.step.Version, o.step.Next), p.version)
	}
}

// race lets operators race and returns why the outcome is wrong, or "".
func race(seed uint64, forget bool) string {
	random := &grid.Random{State: seed}
	p := &platform{random: random, faulty: 0.5 * random.Float(), forget: forget}
	var operators []*operator
	accepted := make(map[grid.OperationID]grid.Generation)
	history := make(map[grid.Generation]grid.OperationID)
	now := grclock.Millis(0)
	for range 120 {
		now += grclock.Millis(random.Below(15))
		if len(operators) < 4 && random.Below(3) == 0 {
			operators = append(operators, newOperator(p, now, len(operators)))
		}
		if n := len(p.late); n > 0 && random.Below(3) == 0 {
			p.late[0]()
			p.late = p.late[1:]
		}
		if len(operators) > 0 {
			operators[random.Below(len(operators))].run(p, now)
		}
		if a := p.pointer.Active; a != nil {
			if winner, known := history[a.Generation]; known && winner != a.Operation {
				return fmt.Sprintf("generation %d was of %s and is of %s", a.Generation, winner, a.Operation)
			}
			if at, known := accepted[a.Operation]; known && at != a.Generation {
				return fmt.Sprintf("operation %s was applied as generation %d and %d", a.Operation, at, a.Generation)
			}
			history[a.Generation], accepted[a.Operation] = a.Operation, a.Generation
		}
	}
	for _, o := range operators {
		if o.step.Kind == grchange.Finish {
			if why := judge(o, accepted); why != "" {
				return why
			}
		}
	}
	return ""
}

// judge compares what an operator was told with what happened.
func judge(o *operator, accepted map[grid.OperationID]grid.Generation) string {
	at, applied := accepted[o.wish.Operation]
	switch {
	case o.step.End == grchange.Applied && !applied:
		return fmt.Sprintf("operation %s was told of success and never applied", o.wish.Operation)
	case o.step.End == grchange.Applied && o.wish.Accepted.Generation != at:
		return fmt.Sprintf("operation %s was told generation %d and has %d", o.wish.Operation, o.wish.Accepted.Generation, at)
	case o.step.End == grchange.Rejected && applied:
		return fmt.Sprintf("operation %s was rejected (%v) and applied", o.wish.Operation, o.step.Fault)
	case o.step.End == grchange.Rejected && o.step.Fault == nil:
		return fmt.Sprintf("operation %s was rejected without a reason", o.wish.Operation)
	}
	return ""
}

// TestRaces runs 100,000 seeded races of operators with lost and late writes.
func TestRaces(t *testing.T) {
	n := uint64(100_000)
	if testing.Short() {
		n /= 20
	}
	for seed := range n {
		if why := race(seed, false); why != "" {
			t.Fatalf("seed %d: %s", seed, why)
		}
	}
}

// TestForgottenOperationIsFound shows that the check finds an operation that is
// applied twice after a lost reply.
func TestForgottenOperationIsFound(t *testing.T) {
	for seed := range uint64(2000) {
		if race(seed, true) != "" {
			return
		}
	}
	t.Error("no operation was applied twice although they were not recognised")
}

// TestConflictNamesWinner tells the loser of a race who won.
func TestConflictNamesWinner(t *testing.T) {
	base := grid.Generation(0)
	first := grpreset.Switch{Operation: "first", Base: &base, Preset: grpreset.Preset{Name: "a"}}
	second := grpreset.Switch{Operation: "second", Base: &base, Preset: grpreset.Preset{Name: "b"}}
	pointer, _, fault := first.Apply(grpreset.Pointer{})
	if fault != nil {
		t.Fatal(fault)
	}
	_, _, fault = second.Apply(pointer)
	if fault == nil || fault.Code != grfault.Conflict || fault.Text != "generation 1 by operation first came first" {
		t.Errorf("the loser is told %v", fault)
	}
}
