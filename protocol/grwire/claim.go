package grwire

import (
	"encoding/json"
	"fmt"

	"geraniumrouter/coordination/grclaim"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// LedgerWire is the platform object that holds the claims of one partition.
type LedgerWire struct {
	// ExpiredBefore is the time before which request ids are rejected and removed.
	ExpiredBefore int64                `json:"expired_before_ms"`
	Fences        uint64               `json:"fences"` // writes that only invalidated earlier ones
	Entries       map[string]ClaimWire `json:"entries"`
}

// ClaimWire is the claim on one request id.
type ClaimWire struct {
	Token string `json:"token"`
	State uint8  `json:"state"`
	Text  string `json:"text,omitempty"`
}

// ClaimLedgerKey returns the object key of a partition's ledger.
func ClaimLedgerKey(partition int) string { return fmt.Sprintf("%s%02d", ClaimsPrefix, partition) }

// DecodeLedger decodes a ledger; empty data gives an empty ledger.
func DecodeLedger(data []byte) (grclaim.Ledger, error) {
	l := grclaim.Ledger{Entries: make(map[grident.RequestID]grclaim.Entry)}
	if len(data) == 0 {
		return l, nil
	}
	var w LedgerWire
	if err := json.Unmarshal(data, &w); err != nil {
		return l, err
	}
	l.ExpiredBefore, l.FencingWrites = grclock.Millis(w.ExpiredBefore), w.Fences
	for id, e := range w.Entries {
		l.Entries[grident.RequestID(id)] = grclaim.Entry{Token: grclaim.Token(e.Token), State: grclaim.State(e.State), Text: e.Text}
	}
	return l, nil
}

// EncodeLedger is the inverse of DecodeLedger.
func EncodeLedger(l grclaim.Ledger) []byte {
	w := LedgerWire{ExpiredBefore: int64(l.ExpiredBefore), Fences: l.FencingWrites, Entries: make(map[string]ClaimWire, len(l.Entries))}
	for id, e := range l.Entries {
		w.Entries[string(id)] = ClaimWire{Token: string(e.Token), State: uint8(e.State), Text: e.Text}
	}
	return Encode(w)
}

// MembersWire is the platform object in which entry instances register.
type MembersWire struct {
	Members []MemberWire `json:"members"`
}

// DecodeMembers decodes the registered members; empty data gives none.
func DecodeMembers(data []byte) (MembersWire, error) {
	var w MembersWire
	if len(data) == 0 {
		return w, nil
	}
	err := json.Unmarshal(data, &w)
	return w, err
}

// EncodeMembers is the inverse of DecodeMembers.
func EncodeMembers(w MembersWire) []byte { return Encode(w) }
