package grwire

import (
	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grsnapshot"
)

// Paths of a searcher's HTTP interface.
const (
	SearchPath = "/search"
	CancelPath = "/cancel"
	LoadPath   = "/load"
)

// SearchRequest asks a searcher for the records of a range, or to run a
// request that is not idempotent.
type SearchRequest struct {
	Caller      string `json:"caller"` // entry instance and run that asks
	Attempt     uint64 `json:"attempt"`
	Collection  string `json:"collection"`
	Index       uint64 `json:"index"`
	Map         uint64 `json:"map"`
	From        uint64 `json:"from"`
	To          uint64 `json:"to"`
	Text        string `json:"text,omitempty"`
	RequestID   string `json:"request_id,omitempty"`
	RemainingMS int64  `json:"remaining_ms"`
}

// SearchReply answers a SearchRequest and repeats what it answers.
type SearchReply struct {
	Attempt uint64       `json:"attempt"`
	Status  string       `json:"status"`
	Index   uint64       `json:"index"`
	Map     uint64       `json:"map"`
	From    uint64       `json:"from"`
	To      uint64       `json:"to"`
	Load    LoadReply    `json:"load"`
	Records []RecordWire `json:"records,omitempty"`
}

// CancelRequest asks a searcher to stop an attempt.
type CancelRequest struct {
	Caller  string `json:"caller"`
	Attempt uint64 `json:"attempt"`
}

// LoadReply is what a searcher says of itself.
type LoadReply struct {
	Busy        int  `json:"busy"`
	Queued      int  `json:"queued"`
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving"`
}

// RecordWire is one record of an answer.
type RecordWire struct {
	Key  uint64 `json:"key"`
	ID   string `json:"id"`
	Body string `json:"body,omitempty"`
}

// statuses pairs the words of searchers with the ends of attempts.
var statuses = map[string]grleaf.ReplyKind{
	"ok":        grleaf.OK,
	"shed":      grleaf.Shed,
	"draining":  grleaf.Draining,
	"behind":    grleaf.Behind,
	"gone":      grleaf.Gone,
	"failed":    grleaf.Failed,
	"cancelled": grleaf.Cancelled,
}

// ReplyFor maps a searcher's answer to the end of the attempt. An answer that
// is not to the question asked counts as Failed, so that nothing of another
// request is ever merged.
func ReplyFor(asked *SearchRequest, got *SearchReply) grleaf.Reply {
	reply := grleaf.Reply{
		Attempt:  grid.AttemptID(asked.Attempt),
		Kind:     grleaf.Failed,
		Load:     grleaf.Load{Known: true, Busy: got.Load.Busy, Queued: got.Load.Queued},
		KeepConn: true,
	}
	kind, known := statuses[got.Status]
	if !known || got.Attempt != asked.Attempt {
		reply.KeepConn = false
		return reply
	}
	if kind == grleaf.OK && !sameQuestion(asked, got) {
		return reply
	}
	reply.Kind = kind
	if kind == grleaf.OK {
		reply.Records = RecordsFrom(got.Records)
	}
	return reply
}

func sameQuestion(asked *SearchRequest, got *SearchReply) bool {
	return got.Index == asked.Index && got.Map == asked.Map && got.From == asked.From && got.To == asked.To
}

// RecordsFrom maps records of the wire to those of the domain.
func RecordsFrom(list []RecordWire) []grsnapshot.Record {
	records := make([]grsnapshot.Record, len(list))
	for i, w := range list {
		records[i] = grsnapshot.Record{Key: grsnapshot.Key(w.Key), ID: w.ID, Body: w.Body}
	}
	return records
}

// RecordsTo maps records of the domain to those of the wire.
func RecordsTo(records []grsnapshot.Record) []RecordWire {
	list := make([]RecordWire, len(records))
	for i, r := range records {
		list[i] = RecordWire{Key: uint64(r.Key), ID: r.ID, Body: r.Body}
	}
	return list
}
