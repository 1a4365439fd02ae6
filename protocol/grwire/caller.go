// Package grwire defines the messages that processes exchange and converts them to and
// from the domain types, which carry no encoding tags. Names in JSON are in snake case
// and durations are in milliseconds.
//
//	var request grwire.QueryRequest
//	if err := grwire.Decode(body, &request); err != nil {
//		// answer 400 with err.Code
//	}
package grwire

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grerror"
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

// MaxBody is the largest request body accepted from a caller, in bytes.
const MaxBody = 1 << 20

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Collection string `json:"collection"`
	Text       string `json:"text"`
	DeadlineMS int64  `json:"deadline_ms"`
}

// OnceRequest is the body of POST /v1/request, a request that is not idempotent.
type OnceRequest struct {
	RequestID  string `json:"request_id"`
	Collection string `json:"collection"`
	Key        uint64 `json:"key"`
	Text       string `json:"text"`
	DeadlineMS int64  `json:"deadline_ms"`
}

// Answer is the body of every response to a query or request.
type Answer struct {
	Outcome    string        `json:"outcome"`
	Code       string        `json:"code,omitempty"`
	Text       string        `json:"text,omitempty"`
	Coverage   float64       `json:"coverage"`
	Missing    []RangeWire   `json:"missing,omitempty"`
	Snapshot   *SnapshotWire `json:"snapshot,omitempty"`
	Generation uint64        `json:"generation"`
	Records    []RecordWire  `json:"records,omitempty"`
	// Entries lists other entry instances to use, with the code "leaving".
	Entries  []EntryWire `json:"entries,omitempty"`
	Repeated bool        `json:"repeated,omitempty"` // the request id had already been claimed
}

// RangeWire is a range of keys: From is included, To is not.
type RangeWire struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// SnapshotWire identifies a snapshot by the versions of the index and the shard map.
type SnapshotWire struct {
	Index uint64 `json:"index"`
	Map   uint64 `json:"map"`
}

// EntryWire is the address of one entry instance.
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

// RejectionFor returns the response to a request that was rejected before any of it ran.
func RejectionFor(err *grerror.Error) Answer {
	return Answer{Outcome: grrouter.NotRun.String(), Code: string(err.Code), Text: err.Text}
}

// AnswerFor converts a result to the response to the caller.
func AnswerFor(result *grrouter.Result) Answer {
	a := Answer{
		Outcome:    result.Outcome.String(),
		Code:       string(result.Code),
		Text:       grerror.DefaultText(result.Code),
		Coverage:   result.Coverage,
		Generation: uint64(result.Generation),
		Records:    RecordsTo(result.Records),
	}
	if result.Snapshot != (grsnapshot.Snapshot{}) {
		a.Snapshot = &SnapshotWire{Index: uint64(result.Snapshot.IndexVersion), Map: uint64(result.Snapshot.MapVersion)}
	}
	for _, m := range result.Missing {
		a.Missing = append(a.Missing, RangeWire{uint64(m.From), uint64(m.To)})
	}
	return a
}

// httpStatuses maps error codes to HTTP statuses; all other codes map to 503.
var httpStatuses = map[grerror.Code]int{
	"":                        http.StatusOK,
	grerror.UnknownCollection: http.StatusNotFound,
	grerror.UnknownPreset:     http.StatusNotFound,
	grerror.MalformedBody:     http.StatusBadRequest,
	grerror.UnknownField:      http.StatusBadRequest,
	grerror.BadDeadline:       http.StatusBadRequest,
	grerror.BadRequestID:      http.StatusBadRequest,
	grerror.BadKey:            http.StatusBadRequest,
	grerror.BadPreset:         http.StatusBadRequest,
	grerror.ExpiredRequestID:  http.StatusGone,
	grerror.OversizedBody:     http.StatusRequestEntityTooLarge,
	grerror.Overloaded:        http.StatusTooManyRequests,
	grerror.Conflict:          http.StatusConflict,
	grerror.AlreadyClaimed:    http.StatusConflict,
	grerror.OperationReused:   http.StatusConflict,
	grerror.Unauthorized:      http.StatusUnauthorized,
	grerror.CoverageTooLow:    http.StatusGatewayTimeout,
	grerror.Lost:              http.StatusGatewayTimeout,
}

// HTTPStatus returns the HTTP status for an error code.
func HTTPStatus(code grerror.Code) int {
	if status, ok := httpStatuses[code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// ReadBody reads a request body of at most MaxBody bytes.
func ReadBody(body io.Reader) ([]byte, *grerror.Error) {
	data, err := io.ReadAll(io.LimitReader(body, MaxBody+1))
	if err != nil {
		return nil, grerror.New(grerror.MalformedBody, "the body ended early: %v", err)
	}
	if len(data) > MaxBody {
		return nil, grerror.New(grerror.OversizedBody, "the body is over %d bytes", MaxBody)
	}
	return data, nil
}

// Decode decodes JSON strictly: unknown fields and trailing data are errors.
func Decode(data []byte, into any) *grerror.Error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		if strings.HasPrefix(err.Error(), "json: unknown field") {
			return grerror.New(grerror.UnknownField, "%v", err)
		}
		return grerror.New(grerror.MalformedBody, "%v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return grerror.New(grerror.MalformedBody, "something stands after the body")
	}
	return nil
}

// Encode encodes a message as JSON. Wire types hold only values that can be encoded;
// it returns nil for any other message.
func Encode(message any) []byte {
	data, err := json.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}
