package grwire

import (
	"fmt"
	"slices"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
)

// TermsWire is the query policy of one collection.
type TermsWire struct {
	DeadlineMS  int64   `json:"deadline_ms" cbor:"1,keyasint,omitempty"`
	MinCoverage float64 `json:"min_coverage" cbor:"2,keyasint,omitempty"`
	Partial     string  `json:"partial" cbor:"3,keyasint,omitempty"` // "allow" or "refuse"
	Weight      int     `json:"weight" cbor:"4,keyasint,omitempty"`
}

// PresetWire is one revision of a preset.
type PresetWire struct {
	Name                   string               `json:"name" cbor:"1,keyasint,omitempty"`
	Revision               uint64               `json:"revision" cbor:"2,keyasint,omitempty"`
	HedgeBudget            float64              `json:"hedge_budget" cbor:"3,keyasint,omitempty"`
	RetryBudget            float64              `json:"retry_budget" cbor:"4,keyasint,omitempty"`
	MaxQueries             int                  `json:"max_queries" cbor:"5,keyasint,omitempty"`
	MaxQueue               int                  `json:"max_queue" cbor:"6,keyasint,omitempty"`
	Default                TermsWire            `json:"default" cbor:"7,keyasint,omitempty"`
	Collections            map[string]TermsWire `json:"collections,omitempty" cbor:"8,keyasint,omitempty"`
	ServicesInMaintenance  []string             `json:"services_in_maintenance,omitempty" cbor:"9,keyasint,omitempty"`
	SearchersInMaintenance []string             `json:"searchers_in_maintenance,omitempty" cbor:"10,keyasint,omitempty"`
}

// Lines formats the preset for operators, one line for each value; the values of a
// collection's policy and of the default start with the section in brackets. The
// revision comes first; the other lines are sorted.
func (w *PresetWire) Lines() []string {
	lines := []string{
		fmt.Sprint("revision = ", w.Revision),
		fmt.Sprint("hedge_budget = ", w.HedgeBudget),
		fmt.Sprint("retry_budget = ", w.RetryBudget),
		fmt.Sprint("max_queries = ", w.MaxQueries),
		fmt.Sprint("max_queue = ", w.MaxQueue),
		fmt.Sprint("services_in_maintenance = ", w.ServicesInMaintenance),
		fmt.Sprint("searchers_in_maintenance = ", w.SearchersInMaintenance),
	}
	lines = append(lines, w.Default.lines("default")...)
	for name, policy := range w.Collections {
		lines = append(lines, policy.lines(name)...)
	}
	slices.Sort(lines[1:])
	return lines
}

func (w *TermsWire) lines(section string) []string {
	return []string{
		fmt.Sprintf("[%s] deadline_ms = %d", section, w.DeadlineMS),
		fmt.Sprintf("[%s] min_coverage = %v", section, w.MinCoverage),
		fmt.Sprintf("[%s] partial = %s", section, w.Partial),
		fmt.Sprintf("[%s] weight = %d", section, w.Weight),
	}
}

// ActiveWire is the active preset and the accepted switch that made it active.
type ActiveWire struct {
	Generation uint64     `json:"generation" cbor:"1,keyasint,omitempty"`
	Operation  string     `json:"operation_id" cbor:"2,keyasint,omitempty"`
	SwitchedAt int64      `json:"switched_at_ms" cbor:"3,keyasint,omitempty"`
	Preset     PresetWire `json:"preset" cbor:"4,keyasint,omitempty"`
}

// Values of TermsWire.Partial.
const (
	partialAllow  = "allow"
	partialRefuse = "refuse"
)

// PresetFrom converts a preset from its wire form and validates all its fields. The
// error is a *grpreset.ValidationError that lists every invalid field.
func PresetFrom(w *PresetWire) (grpreset.Preset, error) {
	p := grpreset.Preset{
		Name:        grpreset.Name(w.Name),
		Revision:    grident.Revision(w.Revision),
		HedgeBudget: w.HedgeBudget,
		RetryBudget: w.RetryBudget,
		MaxQueries:  w.MaxQueries,
		MaxQueue:    w.MaxQueue,
		Default:     policyFrom(w.Default),
		Collections: make(map[grident.Collection]grpreset.CollectionPolicy, len(w.Collections)),
	}
	for _, s := range w.ServicesInMaintenance {
		p.ServicesInMaintenance = append(p.ServicesInMaintenance, grident.Service(s))
	}
	for _, s := range w.SearchersInMaintenance {
		p.SearchersInMaintenance = append(p.SearchersInMaintenance, grident.SearcherID(s))
	}
	invalid := &grpreset.ValidationError{Name: p.Name}
	checkPartial(invalid, "default", w.Default.Partial)
	for name, policy := range w.Collections {
		p.Collections[grident.Collection(name)] = policyFrom(policy)
		checkPartial(invalid, "collection "+name, policy.Partial)
	}
	if checked, ok := p.Validate().(*grpreset.ValidationError); ok {
		invalid.Fields = append(invalid.Fields, checked.Fields...)
	}
	if len(invalid.Fields) > 0 {
		return p, invalid
	}
	return p, nil
}

// PresetTo converts a preset to its wire form.
func PresetTo(p *grpreset.Preset) PresetWire {
	w := PresetWire{
		Name:        string(p.Name),
		Revision:    uint64(p.Revision),
		HedgeBudget: p.HedgeBudget,
		RetryBudget: p.RetryBudget,
		MaxQueries:  p.MaxQueries,
		MaxQueue:    p.MaxQueue,
		Default:     policyTo(p.Default),
		Collections: make(map[string]TermsWire, len(p.Collections)),
	}
	for name, policy := range p.Collections {
		w.Collections[string(name)] = policyTo(policy)
	}
	for _, s := range p.ServicesInMaintenance {
		w.ServicesInMaintenance = append(w.ServicesInMaintenance, string(s))
	}
	for _, s := range p.SearchersInMaintenance {
		w.SearchersInMaintenance = append(w.SearchersInMaintenance, string(s))
	}
	return w
}

// ActivePresetFrom converts an active preset from its wire form and validates it.
func ActivePresetFrom(w *ActiveWire) (grpreset.ActivePreset, error) {
	p, err := PresetFrom(&w.Preset)
	return grpreset.ActivePreset{
		Generation: grident.Generation(w.Generation),
		Operation:  grident.OperationID(w.Operation),
		SwitchedAt: grclock.Millis(w.SwitchedAt),
		Preset:     p,
	}, err
}

// ActivePresetTo converts an active preset to its wire form.
func ActivePresetTo(a *grpreset.ActivePreset) ActiveWire {
	return ActiveWire{
		Generation: uint64(a.Generation),
		Operation:  string(a.Operation),
		SwitchedAt: int64(a.SwitchedAt),
		Preset:     PresetTo(&a.Preset),
	}
}

func checkPartial(invalid *grpreset.ValidationError, section, value string) {
	if value != partialAllow && value != partialRefuse {
		invalid.Fields = append(invalid.Fields, grpreset.InvalidField{
			Section: section, Key: "partial", Value: value, Allowed: "allow, refuse",
		})
	}
}

func policyFrom(w TermsWire) grpreset.CollectionPolicy {
	return grpreset.CollectionPolicy{
		Deadline:     grclock.Millis(w.DeadlineMS),
		MinCoverage:  w.MinCoverage,
		AllowPartial: w.Partial == partialAllow,
		Weight:       w.Weight,
	}
}

func policyTo(policy grpreset.CollectionPolicy) TermsWire {
	partial := partialRefuse
	if policy.AllowPartial {
		partial = partialAllow
	}
	return TermsWire{DeadlineMS: int64(policy.Deadline), MinCoverage: policy.MinCoverage, Partial: partial, Weight: policy.Weight}
}
