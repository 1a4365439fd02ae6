package grpreset

import (
	"reflect"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
)

// Limits of what an object keeps.
const (
	maxRevisions = 64
	maxSwitches  = 128
)

// Stored is a revision with the operation that stored it.
type Stored struct {
	Operation grid.OperationID
	Preset    Preset
}

// History holds the revisions of one preset, oldest first. Each is immutable.
type History struct{ Revisions []Stored }

// Latest returns the newest revision, or nil.
func (h *History) Latest() *Stored {
	if len(h.Revisions) == 0 {
		return nil
	}
	return &h.Revisions[len(h.Revisions)-1]
}

// Find returns the revision, or the newest for revision 0, or nil.
func (h *History) Find(revision grid.Revision) *Stored {
	if revision == 0 {
		return h.Latest()
	}
	for i := range h.Revisions {
		if h.Revisions[i].Preset.Revision == revision {
			return &h.Revisions[i]
		}
	}
	return nil
}

// Put is an operator's wish to store a revision after the one named by Base.
type Put struct {
	Operation grid.OperationID
	Base      *grid.Revision // nil until the first read fixes it
	Preset    Preset
	Stored    grid.Revision // the revision that holds it, once settled or made
}

// Apply adds the revision to the history. settled is true when an earlier try
// of the same operation is in it already. A race lost to another operator is a
// fault that names the winner.
func (p *Put) Apply(h History) (next History, settled bool, fault *grfault.Fault) {
	for _, s := range h.Revisions {
		if s.Operation != p.Operation {
			continue
		}
		if !sameContent(s.Preset, p.Preset) {
			return h, false, grfault.New(grfault.OperationReused, "operation %s stored something else as revision %d", p.Operation, s.Preset.Revision)
		}
		p.Stored = s.Preset.Revision
		return h, true, nil
	}
	newest, winner := grid.Revision(0), grid.OperationID("")
	if latest := h.Latest(); latest != nil {
		newest, winner = latest.Preset.Revision, latest.Operation
	}
	if p.Base == nil {
		p.Base = &newest
	}
	if *p.Base != newest {
		return h, false, grfault.New(grfault.Conflict, "revision %d by operation %s came first", newest, winner)
	}
	p.Stored = newest + 1
	added := Stored{Operation: p.Operation, Preset: p.Preset}
	added.Preset.Revision = p.Stored
	kept := h.Revisions[max(0, len(h.Revisions)-maxRevisions+1):]
	next.Revisions = append(append([]Stored{}, kept...), added)
	return next, false, nil
}

func sameContent(a, b Preset) bool {
	a.Revision, b.Revision = 0, 0
	if len(a.Collections) == 0 && len(b.Collections) == 0 {
		a.Collections, b.Collections = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// Switched is one entry of the history of switches.
type Switched struct {
	Generation grid.Generation
	Operation  grid.OperationID
	Name       Name
	Revision   grid.Revision
	At         grclock.Millis
}

// Pointer names the switch in force and those before it.
type Pointer struct {
	Active  *Active
	History []Switched
}

// Switch is an operator's wish to put a revision in force after the generation
// named by Base.
type Switch struct {
	Operation grid.OperationID
	Base      *grid.Generation // nil until the first read fixes it
	Preset    Preset
	Now       grclock.Millis
	Accepted  *Active // the accepted switch, once settled or made
}

// Apply moves the pointer to a new generation. settled and fault are as for
// Put.
func (s *Switch) Apply(p Pointer) (next Pointer, settled bool, fault *grfault.Fault) {
	if done, fault := s.settled(p); done || fault != nil {
		return p, done, fault
	}
	generation, winner := grid.Generation(0), grid.OperationID("")
	if p.Active != nil {
		generation, winner = p.Active.Generation, p.Active.Operation
	}
	if s.Base == nil {
		s.Base = &generation
	}
	if *s.Base != generation {
		return p, false, grfault.New(grfault.Conflict, "generation %d by operation %s came first", generation, winner)
	}
	s.Accepted = &Active{Generation: generation + 1, Preset: s.Preset, Operation: s.Operation, SwitchedAt: s.Now}
	entry := Switched{generation + 1, s.Operation, s.Preset.Name, s.Preset.Revision, s.Now}
	kept := p.History[max(0, len(p.History)-maxSwitches+1):]
	next = Pointer{Active: s.Accepted, History: append(append([]Switched{}, kept...), entry)}
	return next, false, nil
}

func (s *Switch) settled(p Pointer) (bool, *grfault.Fault) {
	for _, h := range p.History {
		if h.Operation != s.Operation {
			continue
		}
		if h.Name != s.Preset.Name || h.Revision != s.Preset.Revision {
			return false, grfault.New(grfault.OperationReused, "operation %s switched to %s revision %d", s.Operation, h.Name, h.Revision)
		}
		if p.Active.Operation == s.Operation {
			s.Accepted = p.Active
		} else {
			s.Accepted = &Active{Generation: h.Generation, Preset: s.Preset, Operation: s.Operation, SwitchedAt: h.At}
		}
		return true, nil
	}
	return false, nil
}
