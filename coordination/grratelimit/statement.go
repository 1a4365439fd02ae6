// Package grratelimit keeps the rate limits that upstreams state in their answers. A limit
// bounds the requests per second that an upstream takes from all instances together.
//
//	statement := grratelimit.Statement{Kind: grratelimit.Limited, Rate: 2.5}
package grratelimit

import "strconv"

// Rate is a number of requests per second.
type Rate float64

// StatementKind tells what an answer says about the rate limit of its upstream.
type StatementKind uint8

// Kinds of statements.
const (
	Unstated  StatementKind = iota // the answer does not say whether there is a limit
	Unlimited                      // there is no limit
	Limited                        // there is a limit of Rate
)

// Statement is what an answer says about the rate limit of its upstream.
type Statement struct {
	Kind StatementKind
	Rate Rate // with Limited only; not negative and not infinite
}

// String returns the statement for logs: the rate, or the kind if there is none.
func (s Statement) String() string {
	switch s.Kind {
	case Limited:
		return strconv.FormatFloat(float64(s.Rate), 'f', -1, 64)
	case Unlimited:
		return "unlimited"
	}
	return "unstated"
}
