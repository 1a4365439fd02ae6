package grwire

import (
	"encoding/json"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
)

// DecodeHistory decodes the stored object that holds the revisions of a preset. Empty data
// means that there are none.
func DecodeHistory(data []byte) (grpreset.History, error) {
	var h grpreset.History
	var w PresetHistory
	if len(data) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(data, &w); err != nil {
		return h, err
	}
	for i := range w.Revisions {
		p, err := PresetFrom(&w.Revisions[i].Preset)
		if err != nil {
			return h, err
		}
		h.Revisions = append(h.Revisions, grpreset.StoredRevision{Operation: grident.OperationID(w.Revisions[i].Operation), Preset: p})
	}
	return h, nil
}

// HistoryTo converts the revisions of a preset to their wire form.
func HistoryTo(h grpreset.History) PresetHistory {
	w := PresetHistory{Revisions: []RevisionWire{}}
	for i := range h.Revisions {
		s := &h.Revisions[i]
		w.Revisions = append(w.Revisions, RevisionWire{Operation: string(s.Operation), Preset: PresetTo(&s.Preset)})
	}
	return w
}

// EncodeHistory is the inverse of DecodeHistory.
func EncodeHistory(h grpreset.History) []byte { return Encode(HistoryTo(h)) }

// DecodePointer decodes the platform object that names the active preset; empty data
// gives none.
func DecodePointer(data []byte) (grpreset.ActivePointer, error) {
	var p grpreset.ActivePointer
	var w PointerWire
	if len(data) == 0 {
		return p, nil
	}
	if err := json.Unmarshal(data, &w); err != nil {
		return p, err
	}
	if w.Active != nil {
		active, err := ActivePresetFrom(w.Active)
		if err != nil {
			return p, err
		}
		p.Active = &active
	}
	for _, h := range w.History {
		p.History = append(p.History, grpreset.SwitchRecord{
			Generation: grident.Generation(h.Generation),
			Operation:  grident.OperationID(h.Operation),
			Name:       grpreset.Name(h.Name),
			Revision:   grident.Revision(h.Revision),
			At:         grclock.Millis(h.SwitchedAt),
		})
	}
	return p, nil
}

// EncodePointer is the inverse of DecodePointer.
func EncodePointer(p grpreset.ActivePointer) []byte {
	var w PointerWire
	if p.Active != nil {
		active := ActivePresetTo(p.Active)
		w.Active = &active
	}
	for _, h := range p.History {
		w.History = append(w.History, SwitchWire{
			Generation: uint64(h.Generation),
			Operation:  string(h.Operation),
			Name:       string(h.Name),
			Revision:   uint64(h.Revision),
			SwitchedAt: int64(h.At),
		})
	}
	return Encode(w)
}
