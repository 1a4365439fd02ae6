// Package grrequestid creates and parses the ids of non-idempotent requests. An id
// starts with its creation time, so that an id older than the period for which ids are
// kept for deduplication can be rejected.
//
//	id := grrequestid.New(clock.Now(), "7f3a9c")
//	madeAt, err := grrequestid.Time(id)
package grrequestid

import (
	"fmt"
	"strconv"
	"strings"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
)

// InvalidIDError is the error for a malformed request id.
type InvalidIDError struct{ ID grident.RequestID }

// Error returns the malformed id and the allowed format.
func (e *InvalidIDError) Error() string {
	return fmt.Sprintf("request id %q: allowed: milliseconds in hexadecimal, -, 1 to 48 of a-z, 0-9, _ and -", string(e.ID))
}

// maxSuffixLength is the maximum length of the suffix after the time, in bytes.
const maxSuffixLength = 48

// New returns an id with the creation time now. The suffix must be unique among the ids
// created in the same millisecond.
func New(now grclock.Millis, suffix string) grident.RequestID {
	return grident.RequestID(fmt.Sprintf("%011x-%s", int64(now), suffix))
}

// Time returns the creation time of the id; the error is an *InvalidIDError.
func Time(id grident.RequestID) (grclock.Millis, error) {
	head, tail, found := strings.Cut(string(id), "-")
	n, err := strconv.ParseInt(head, 16, 64)
	if err != nil || !found || n < 0 || len(tail) > maxSuffixLength || !grpreset.ValidName(tail) {
		return 0, &InvalidIDError{id}
	}
	return grclock.Millis(n), nil
}
