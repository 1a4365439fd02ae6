package grwire

import (
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsnapshot"
)

// Paths of a searcher's HTTP interface.
const (
	SearchPath = "/search"
	CancelPath = "/cancel"
	LoadPath   = "/load"
)

// SearchRequest requests the records of a key range from a searcher, or makes it
// execute a request that is not idempotent; only the latter has a RequestID.
type SearchRequest struct {
	Caller      string `json:"caller"` // requesting entry instance and run
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

// SearchReply answers a SearchRequest. It repeats the attempt, the snapshot and the
// key range of the request that it answers.
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

// CancelRequest makes a searcher stop an attempt.
type CancelRequest struct {
	Caller  string `json:"caller"`
	Attempt uint64 `json:"attempt"`
}

// LoadReply is the load that a searcher reports.
type LoadReply struct {
	Busy        int  `json:"busy"`
	Queued      int  `json:"queued"`
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving"`
}

// RecordWire is one record of a result.
type RecordWire struct {
	Key  uint64 `json:"key"`
	ID   string `json:"id"`
	Body string `json:"body,omitempty"`
}

// replyKinds maps the status of a SearchReply to the outcome of the attempt.
var replyKinds = map[string]grdispatch.ReplyKind{
	"ok":        grdispatch.OK,
	"shed":      grdispatch.Shed,
	"draining":  grdispatch.Draining,
	"behind":    grdispatch.Behind,
	"gone":      grdispatch.Gone,
	"failed":    grdispatch.Failed,
	"cancelled": grdispatch.Cancelled,
}

// ReplyFor converts a searcher's reply to the outcome of the attempt. A reply that does
// not match the request counts as Failed, so that records of another request are never
// merged.
func ReplyFor(request *SearchRequest, response *SearchReply) grdispatch.Reply {
	reply := grdispatch.Reply{
		Attempt:      grident.AttemptID(request.Attempt),
		Kind:         grdispatch.Failed,
		Load:         grdispatch.Load{Known: true, Busy: response.Load.Busy, Queued: response.Load.Queued},
		ReusableConn: true,
	}
	kind, known := replyKinds[response.Status]
	if !known || response.Attempt != request.Attempt {
		reply.ReusableConn = false
		return reply
	}
	if kind == grdispatch.OK && !sameSnapshotAndRange(request, response) {
		return reply
	}
	reply.Kind, reply.Leaving = kind, kind == grdispatch.Draining
	if kind == grdispatch.OK {
		reply.Records = RecordsFrom(response.Records)
	}
	return reply
}

func sameSnapshotAndRange(request *SearchRequest, reply *SearchReply) bool {
	return reply.Index == request.Index && reply.Map == request.Map && reply.From == request.From && reply.To == request.To
}

// RecordsFrom converts records from their wire form.
func RecordsFrom(list []RecordWire) []grsnapshot.Record {
	records := make([]grsnapshot.Record, len(list))
	for i, w := range list {
		records[i] = grsnapshot.Record{Key: grsnapshot.Key(w.Key), ID: w.ID, Body: w.Body}
	}
	return records
}

// RecordsTo converts records to their wire form.
func RecordsTo(records []grsnapshot.Record) []RecordWire {
	list := make([]RecordWire, len(records))
	for i, r := range records {
		list[i] = RecordWire{Key: uint64(r.Key), ID: r.ID, Body: r.Body}
	}
	return list
}
