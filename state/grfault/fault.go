// Package grfault holds the typed failures that reach callers and operators.
// Each has a stable snake-case code; the text is for people.
package grfault

import "fmt"

// Code names a failure. Codes never change their meaning.
type Code string

// The codes that an answer can carry.
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
	DeadlineTooShort  Code = "deadline_too_short"
	NotReady          Code = "not_ready"
	Leaving           Code = "leaving"
	CoverageTooLow    Code = "coverage_too_low"
	PlatformDown      Code = "platform_down"
	AlreadyClaimed    Code = "already_claimed"
	NoSearcher        Code = "no_searcher"
	Lost              Code = "lost"
	Conflict          Code = "conflict"
	BadPreset         Code = "bad_preset"
	UnknownPreset     Code = "unknown_preset"
	OperationReused   Code = "operation_reused"
	UnknownRequest    Code = "unknown_request"
	Unauthorized      Code = "unauthorized"
	Internal          Code = "internal"
)

// Fault is a failure with its code.
type Fault struct {
	Code Code
	Text string
}

// New returns a fault with a formatted text.
func New(code Code, format string, args ...any) *Fault {
	return &Fault{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Error returns the code and the text.
func (f *Fault) Error() string { return string(f.Code) + ": " + f.Text }

// texts says in a sentence what the codes of results mean.
var texts = map[Code]string{
	UnknownCollection: "there is no such collection",
	BadKey:            "the key is outside of the collection",
	Overloaded:        "it could not be answered in time under the present load",
	DeadlineTooShort:  "the deadline leaves no time to answer",
	NotReady:          "no preset is known yet",
	CoverageTooLow:    "less was found than the preset asks for",
	NoSearcher:        "no searcher took it",
	Lost:              "it may have run; no answer came",
}

// Text describes a code for people; "" for codes that come with texts of their
// own.
func Text(code Code) string { return texts[code] }
