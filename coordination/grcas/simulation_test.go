package grcas_test

import (
	"fmt"
	"testing"

	"geraniumrouter/coordination/grcas"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
)

// platform is a fake of the platform with one object, lost replies and delayed writes.
type platform struct {
	random        *grident.Random
	pointer       grpreset.ActivePointer
	version       grident.Revision
	faultRate     float64
	delayed       []func()
	forgetHistory bool // injected fault: operators do not detect that their switch was applied
}

func (p *platform) put(version grident.Revision, next grpreset.ActivePointer) grcas.WriteOutcome {
	apply := func() bool {
		if p.version != version {
			return false
		}
		p.pointer, p.version = next, p.version+1
		return true
	}
	if p.random.Float64() < p.faultRate/3 {
		p.delayed = append(p.delayed, func() { apply() })
		return grcas.WriteUnknown
	}
	applied := apply()
	switch {
	case p.random.Float64() < p.faultRate:
		return grcas.WriteUnknown
	case !applied:
		return grcas.VersionConflict
	}
	return grcas.WriteApplied
}

// operator is a client that switches the preset once.
type operator struct {
	request *grpreset.SwitchOperation
	update  *grcas.Update[grpreset.ActivePointer]
	step    grcas.Step[grpreset.ActivePointer]
}

func newOperator(p *platform, now grclock.Millis, i int) *operator {
	o := &operator{request: &grpreset.SwitchOperation{
		Operation: grident.OperationID(fmt.Sprint("op-", i)), Now: now,
		Preset: grpreset.Preset{Name: grpreset.Name(fmt.Sprint("p", i)), Revision: 1},
	}}
	o.update = &grcas.Update[grpreset.ActivePointer]{Deadline: now + 300, Random: *p.random,
		Apply: func(current grpreset.ActivePointer, _ grident.Revision) grcas.ApplyResult[grpreset.ActivePointer] {
			if p.forgetHistory {
				current.History = nil
				o.request.BaseGeneration = nil
			}
			next, alreadyApplied, fault := o.request.Apply(current)
			return grcas.ApplyResult[grpreset.ActivePointer]{AlreadyApplied: alreadyApplied, Err: fault, Next: next}
		}}
	o.step = o.update.Start()
	return o
}

func (o *operator) run(p *platform, now grclock.Millis) {
	switch o.step.Kind {
	case grcas.Read:
		if p.random.Float64() < p.faultRate/2 {
			o.step = o.update.ReadFailed(now)
		} else {
			o.step = o.update.ReadDone(now, p.pointer, p.version)
		}
	case grcas.Write:
		o.step = o.update.WriteDone(now, p.put(o.step.Version, o.step.Next), p.version)
	}
}

// simulate simulates concurrent operators and returns a description of the first
// violated property, or "".
func simulate(seed uint64, forgetHistory bool) string {
	random := &grident.Random{State: seed}
	p := &platform{random: random, faultRate: 0.5 * random.Float64(), forgetHistory: forgetHistory}
	var operators []*operator
	accepted := make(map[grident.OperationID]grident.Generation)
	history := make(map[grident.Generation]grident.OperationID)
	now := grclock.Millis(0)
	for range 120 {
		now += grclock.Millis(random.IntN(15))
		if len(operators) < 4 && random.IntN(3) == 0 {
			operators = append(operators, newOperator(p, now, len(operators)))
		}
		if n := len(p.delayed); n > 0 && random.IntN(3) == 0 {
			p.delayed[0]()
			p.delayed = p.delayed[1:]
		}
		if len(operators) > 0 {
			operators[random.IntN(len(operators))].run(p, now)
		}
		if a := p.pointer.Active; a != nil {
			if winner, known := history[a.Generation]; known && winner != a.Operation {
				return fmt.Sprintf("generation %d belonged to operation %s and now belongs to %s", a.Generation, winner, a.Operation)
			}
			if at, known := accepted[a.Operation]; known && at != a.Generation {
				return fmt.Sprintf("operation %s was applied as generations %d and %d", a.Operation, at, a.Generation)
			}
			history[a.Generation], accepted[a.Operation] = a.Operation, a.Generation
		}
	}
	for _, o := range operators {
		if o.step.Kind == grcas.Finish {
			if problem := checkOutcome(o, accepted); problem != "" {
				return problem
			}
		}
	}
	return ""
}

// checkOutcome compares the outcome reported to an operator with the state of the
// object. It returns a description of the difference, or "".
func checkOutcome(o *operator, accepted map[grident.OperationID]grident.Generation) string {
	generation, applied := accepted[o.request.Operation]
	switch {
	case o.step.Outcome == grcas.Applied && !applied:
		return fmt.Sprintf("operation %s was reported as applied but never applied", o.request.Operation)
	case o.step.Outcome == grcas.Applied && o.request.Accepted.Generation != generation:
		return fmt.Sprintf("operation %s was reported as generation %d but is generation %d", o.request.Operation, o.request.Accepted.Generation, generation)
	case o.step.Outcome == grcas.Rejected && applied:
		return fmt.Sprintf("operation %s was rejected (%v) but applied", o.request.Operation, o.step.Err)
	case o.step.Outcome == grcas.Rejected && o.step.Err == nil:
		return fmt.Sprintf("operation %s was rejected without a reason", o.request.Operation)
	}
	return ""
}

// TestConcurrentOperators checks 100,000 seeded simulations of concurrent operators
// with lost replies and delayed writes: each generation belongs to one operation, each
// operation is applied at most once, and its reported outcome is right.
func TestConcurrentOperators(t *testing.T) {
	n := uint64(100_000)
	if testing.Short() {
		n /= 20
	}
	for seed := range n {
		if problem := simulate(seed, false); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
	}
}

// TestDetectsOperationAppliedTwice checks that the simulation detects an operation that
// is applied twice after a lost reply.
func TestDetectsOperationAppliedTwice(t *testing.T) {
	for seed := range uint64(2000) {
		if simulate(seed, true) != "" {
			return
		}
	}
	t.Error("the simulation found no operation applied twice although operators do not detect applied switches")
}

// TestConflictNamesWinner checks that a rejected operation is given the name of the
// operation that was applied first.
func TestConflictNamesWinner(t *testing.T) {
	base := grident.Generation(0)
	first := grpreset.SwitchOperation{Operation: "first", BaseGeneration: &base, Preset: grpreset.Preset{Name: "a"}}
	second := grpreset.SwitchOperation{Operation: "second", BaseGeneration: &base, Preset: grpreset.Preset{Name: "b"}}
	pointer, _, fault := first.Apply(grpreset.ActivePointer{})
	if fault != nil {
		t.Fatal(fault)
	}
	_, _, fault = second.Apply(pointer)
	if fault == nil || fault.Code != grerror.Conflict || fault.Text != "generation 1 by operation first came first" {
		t.Errorf("fault of the rejected operation: %v", fault)
	}
}
