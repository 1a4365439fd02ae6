// Package grwire holds the messages that processes exchange and maps them by
// hand to the domain types, which carry no tags. All names on the wire are in
// snake case and all spans in milliseconds.
//
//	var asked grwire.QueryRequest
//	if fault := grwire.Decode(body, &asked); fault != nil {
//		// answer 400 with fault.Code
//	}
package grwire

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grsnapshot"
)

// Paths of an entry instance's HTTP interface.
const (
	QueryPath   = "/v1/query"
	RequestPath = "/v1/request"
	EntriesPath = "/v1/entries"
	PresetsPath = "/v1/presets"
	DrainPath   = "/v1/drain"
	StatusPath  = "/v1/status"
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
)

// MaxBody is the largest body taken from a caller, in bytes.
const MaxBody = 1 << 20

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Collection string `json:"collection"`
	Text       string `json:"text"`
	DeadlineMS int64  `json:"deadline_ms"`
}

// OnceRequest is the body of POST /v1/request.
type OnceRequest struct {
	RequestID  string `json:"request_id"`
	Collection string `json:"collection"`
	Key        uint64 `json:"key"`
	Text       string `json:"text"`
	DeadlineMS int64  `json:"deadline_ms"`
}

// Answer is the body of every answer to a query or request.
type Answer struct {
	Outcome    string        `json:"outcome"`
	Code       string        `json:"code,omitempty"`
	Text       string        `json:"text,omitempty"`
	Coverage   float64       `json:"coverage"`
	Missing    []RangeWire   `json:"missing,omitempty"`
	Snapshot   *SnapshotWire `json:"snapshot,omitempty"`
	Generation uint64        `json:"generation"`
	Records    []RecordWire  `json:"records,omitempty"`
	Entries    []EntryWire   `json:"entries,omitempty"` // others to ask, with "leaving"
	Repeated   bool          `json:"repeated,omitempty"`
}

// RangeWire is a span of keys.
type RangeWire struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// SnapshotWire names a snapshot.
type SnapshotWire struct {
	Index uint64 `json:"index"`
	Map   uint64 `json:"map"`
}

// EntryWire is one entry instance.
type EntryWire struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Domain   string `json:"failure_domain"`
}

// EntriesReply is the body of GET /v1/entries.
type EntriesReply struct {
	TTLMS   int64       `json:"ttl_ms"`
	Entries []EntryWire `json:"entries"`
}

// Refusal returns the answer to a request of which nothing ran.
func Refusal(fault *grfault.Fault) Answer {
	return Answer{Outcome: grrouter.NotRun.String(), Code: string(fault.Code), Text: fault.Text}
}

// AnswerFor maps a result to the answer of the caller.
func AnswerFor(result *grrouter.Result) Answer {
	a := Answer{
		Outcome:    result.Outcome.String(),
		Code:       string(result.Code),
		Text:       grfault.Text(result.Code),
		Coverage:   result.Coverage,
		Generation: uint64(result.Generation),
		Records:    RecordsTo(result.Records),
	}
	if result.Snapshot != (grsnapshot.Snapshot{}) {
		a.Snapshot = &SnapshotWire{Index: uint64(result.Snapshot.Index), Map: uint64(result.Snapshot.Map)}
	}
	for _, m := range result.Missing {
		a.Missing = append(a.Missing, RangeWire{uint64(m.From), uint64(m.To)})
	}
	return a
}

// statusOf pairs codes with HTTP statuses; others are 503.
var statusOf = map[grfault.Code]int{
	"":                        http.StatusOK,
	grfault.UnknownCollection: http.StatusNotFound,
	grfault.UnknownPreset:     http.StatusNotFound,
	grfault.MalformedBody:     http.StatusBadRequest,
	grfault.UnknownField:      http.StatusBadRequest,
	grfault.BadDeadline:       http.StatusBadRequest,
	grfault.BadRequestID:      http.StatusBadRequest,
	grfault.BadKey:            http.StatusBadRequest,
	grfault.BadPreset:         http.StatusBadRequest,
	grfault.ExpiredRequestID:  http.StatusGone,
	grfault.OversizedBody:     http.StatusRequestEntityTooLarge,
	grfault.Overloaded:        http.StatusTooManyRequests,
	grfault.Conflict:          http.StatusConflict,
	grfault.AlreadyClaimed:    http.StatusConflict,
	grfault.OperationReused:   http.StatusConflict,
	grfault.Unauthorized:      http.StatusUnauthorized,
	grfault.CoverageTooLow:    http.StatusGatewayTimeout,
	grfault.Lost:              http.StatusGatewayTimeout,
}

// HTTPStatus returns the status that goes with a code.
func HTTPStatus(code grfault.Code) int {
	if status, ok := statusOf[code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// ReadBody reads a body of at most MaxBody bytes.
func ReadBody(body io.Reader) ([]byte, *grfault.Fault) {
	data, err := io.ReadAll(io.LimitReader(body, MaxBody+1))
	if err != nil {
		return nil, grfault.New(grfault.MalformedBody, "the body ended early: %v", err)
	}
	if len(data) > MaxBody {
		return nil, grfault.New(grfault.OversizedBody, "the body is over %d bytes", MaxBody)
	}
	return data, nil
}

// Decode fills in into from JSON that has no unknown field and nothing after
// it.
func Decode(data []byte, into any) *grfault.Fault {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		if strings.HasPrefix(err.Error(), "json: unknown field") {
			return grfault.New(grfault.UnknownField, "%v", err)
		}
		return grfault.New(grfault.MalformedBody, "%v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return grfault.New(grfault.MalformedBody, "something stands after the body")
	}
	return nil
}

// Encode returns the message as JSON. Wire types hold nothing that cannot be
// encoded.
func Encode(message any) []byte {
	data, err := json.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}
