// Package grerror defines the typed errors that are returned to callers and operators.
// Each has a stable snake_case code for programs and a text for people.
package grerror

import "fmt"

// Code identifies a kind of error. The meaning of a code never changes.
type Code string

// Codes that an answer can carry.
const (
	UnknownCollection Code = "unknown_collection"
	MalformedBody     Code = "malformed_body"
	OversizedBody     Code = "oversized_body"
	UnknownField      Code = "unknown_field"
	BadDeadline       Code = "bad_deadline"
	BadRequestID      Code = "bad_request_id"
	BadKey            Code = "bad_key"
	ExpiredRequestID  Code = "expired_request_id"
	Overloaded        Code = "overloaded"
	OverShare         Code = "over_share"
	RateLimited       Code = "rate_limited"
	SearchersRefuse   Code = "searchers_refuse"
	QuotaExceeded     Code = "quota_exceeded"
	DeadlineTooShort  Code = "deadline_too_short"
	NotReady          Code = "not_ready"
	Leaving           Code = "leaving"
	CoverageTooLow    Code = "coverage_too_low"
	PlatformDown      Code = "platform_down"
	AlreadyClaimed    Code = "already_claimed"
	NoSearcher        Code = "no_searcher"
	Lost              Code = "lost"
	CallerLeft        Code = "caller_left"
	Conflict          Code = "conflict"
	BadPreset         Code = "bad_preset"
	UnknownPreset     Code = "unknown_preset"
	OperationReused   Code = "operation_reused"
	UnknownRequest    Code = "unknown_request"
	Unauthorized      Code = "unauthorized"
	Internal          Code = "internal"
)

// Error is an error with a code and a text.
type Error struct {
	Code Code
	Text string
}

// New returns an error whose text is formatted as by fmt.Sprintf.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Error returns "code: text".
func (e *Error) Error() string { return string(e.Code) + ": " + e.Text }

// defaultTexts holds the default text of each code that is reported without a specific one.
var defaultTexts = map[Code]string{
	UnknownCollection: "there is no such collection",
	BadKey:            "the key is outside of the collection",
	Overloaded:        "it could not be answered in time under the present load",
	OverShare:         "capacity is short, and its organisation or caller has used more than its share",
	RateLimited:       "the rate limits of the searchers permit no answer in time",
	SearchersRefuse:   "every searcher has asked for no requests for some time",
	QuotaExceeded:     "the quota of the organisation is used up",
	DeadlineTooShort:  "the deadline leaves no time to answer",
	NotReady:          "no preset is known yet",
	CoverageTooLow:    "less was found than the preset asks for",
	NoSearcher:        "no searcher took it",
	Lost:              "it may have run; no answer came",
	CallerLeft:        "its caller disconnected before it was sent",
}

// DefaultText returns the default text of a code, or "" for codes that are always reported
// with a specific text.
func DefaultText(code Code) string { return defaultTexts[code] }
