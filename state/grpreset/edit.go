package grpreset

import (
	"reflect"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
)

// Maximum numbers of entries kept in a stored object; older ones are dropped.
const (
	maxRevisions = 64
	maxSwitches  = 128
)

// StoredRevision is a revision of a preset with the id of the operation that stored it.
type StoredRevision struct {
	Operation grident.OperationID
	Preset    Preset
}

// History holds the revisions of one preset, oldest first. Revisions are immutable.
type History struct{ Revisions []StoredRevision }

// Latest returns the newest revision, or nil if there is none.
func (h *History) Latest() *StoredRevision {
	if len(h.Revisions) == 0 {
		return nil
	}
	return &h.Revisions[len(h.Revisions)-1]
}

// Find returns the given revision, or the newest for revision 0. It returns nil if there
// is no such revision.
func (h *History) Find(revision grident.Revision) *StoredRevision {
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

// PutOperation is an operator's request to store a new revision on top of
// BaseRevision.
type PutOperation struct {
	Operation      grident.OperationID
	BaseRevision   *grident.Revision // nil: set by the first Apply to the newest revision
	Preset         Preset
	StoredRevision grident.Revision // set by Apply: the revision that holds the preset
}

// Apply adds the revision to the history. alreadyApplied is true if an earlier attempt of
// the same operation is in the history; next is then the unchanged history. If another
// operator has stored a revision since BaseRevision, err has the code grerror.Conflict and
// names the other operation. If the operation id was used before with other content, the
// code is grerror.OperationReused.
func (p *PutOperation) Apply(h History) (next History, alreadyApplied bool, err *grerror.Error) {
	for _, s := range h.Revisions {
		if s.Operation != p.Operation {
			continue
		}
		if !sameContent(s.Preset, p.Preset) {
			return h, false, grerror.New(grerror.OperationReused, "operation %s stored something else as revision %d", p.Operation, s.Preset.Revision)
		}
		p.StoredRevision = s.Preset.Revision
		return h, true, nil
	}
	newest, lastOperation := grident.Revision(0), grident.OperationID("")
	if latest := h.Latest(); latest != nil {
		newest, lastOperation = latest.Preset.Revision, latest.Operation
	}
	if p.BaseRevision == nil {
		p.BaseRevision = &newest
	}
	if *p.BaseRevision != newest {
		return h, false, grerror.New(grerror.Conflict, "revision %d by operation %s came first", newest, lastOperation)
	}
	p.StoredRevision = newest + 1
	added := StoredRevision{Operation: p.Operation, Preset: p.Preset}
	added.Preset.Revision = p.StoredRevision
	kept := h.Revisions[max(0, len(h.Revisions)-maxRevisions+1):]
	next.Revisions = append(append([]StoredRevision{}, kept...), added)
	return next, false, nil
}

func sameContent(a, b Preset) bool {
	a.Revision, b.Revision = 0, 0
	if len(a.Collections) == 0 && len(b.Collections) == 0 {
		a.Collections, b.Collections = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// SwitchRecord is one entry of the switch history.
type SwitchRecord struct {
	Generation grident.Generation
	Operation  grident.OperationID
	Name       Name
	Revision   grident.Revision
	At         grclock.Millis
}

// ActivePointer holds the active switch and the switch history, oldest first.
type ActivePointer struct {
	Active  *ActivePreset
	History []SwitchRecord
}

// SwitchOperation is an operator's request to activate a revision of a preset on top of
// BaseGeneration.
type SwitchOperation struct {
	Operation      grident.OperationID
	BaseGeneration *grident.Generation // nil: set by the first Apply to the current generation
	Preset         Preset
	Now            grclock.Millis
	Accepted       *ActivePreset // set by Apply: the accepted switch
}

// Apply advances the pointer to a new generation. alreadyApplied and err are as for
// PutOperation.Apply.
func (s *SwitchOperation) Apply(p ActivePointer) (next ActivePointer, alreadyApplied bool, err *grerror.Error) {
	if done, err := s.alreadyApplied(p); done || err != nil {
		return p, done, err
	}
	generation, lastOperation := grident.Generation(0), grident.OperationID("")
	if p.Active != nil {
		generation, lastOperation = p.Active.Generation, p.Active.Operation
	}
	if s.BaseGeneration == nil {
		s.BaseGeneration = &generation
	}
	if *s.BaseGeneration != generation {
		return p, false, grerror.New(grerror.Conflict, "generation %d by operation %s came first", generation, lastOperation)
	}
	s.Accepted = &ActivePreset{Generation: generation + 1, Preset: s.Preset, Operation: s.Operation, SwitchedAt: s.Now}
	entry := SwitchRecord{generation + 1, s.Operation, s.Preset.Name, s.Preset.Revision, s.Now}
	kept := p.History[max(0, len(p.History)-maxSwitches+1):]
	next = ActivePointer{Active: s.Accepted, History: append(append([]SwitchRecord{}, kept...), entry)}
	return next, false, nil
}

func (s *SwitchOperation) alreadyApplied(p ActivePointer) (bool, *grerror.Error) {
	for _, h := range p.History {
		if h.Operation != s.Operation {
			continue
		}
		if h.Name != s.Preset.Name || h.Revision != s.Preset.Revision {
			return false, grerror.New(grerror.OperationReused, "operation %s switched to %s revision %d", s.Operation, h.Name, h.Revision)
		}
		if p.Active.Operation == s.Operation {
			s.Accepted = p.Active
		} else {
			s.Accepted = &ActivePreset{Generation: h.Generation, Preset: s.Preset, Operation: s.Operation, SwitchedAt: h.At}
		}
		return true, nil
	}
	return false, nil
}
