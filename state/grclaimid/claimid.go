// Package grclaimid forms and reads the ids of requests that are not
// idempotent. An id starts with the time at which the caller made it, so that
// one that is too old to be remembered can be refused.
//
//	id := grclaimid.New(clock.Now(), "7f3a9c")
//	madeAt, err := grclaimid.Time(id)
package grclaimid

import (
	"fmt"
	"strconv"
	"strings"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
)

// BadID says that a text is no request id.
type BadID struct{ ID grid.RequestID }

// Error describes the fault.
func (e *BadID) Error() string {
	return fmt.Sprintf("request id %q: allowed: milliseconds in hexadecimal, -, 1 to 48 of a-z, 0-9, _ and -", string(e.ID))
}

// maxSuffix bounds the part behind the time.
const maxSuffix = 48

// New returns an id made at the time; the suffix tells it from others.
func New(now grclock.Millis, suffix string) grid.RequestID {
	return grid.RequestID(fmt.Sprintf("%011x-%s", int64(now), suffix))
}

// Time returns when the id was made; the error is a *BadID.
func Time(id grid.RequestID) (grclock.Millis, error) {
	head, tail, found := strings.Cut(string(id), "-")
	n, err := strconv.ParseInt(head, 16, 64)
	if err != nil || !found || n < 0 || len(tail) > maxSuffix || !grpreset.ValidName(tail) {
		return 0, &BadID{id}
	}
	return grclock.Millis(n), nil
}
