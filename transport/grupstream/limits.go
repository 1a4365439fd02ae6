package grupstream

import (
	"errors"
	"io"
	"net"
)

// ResponseLimits bounds the size of searchers' responses, so that an endless response
// costs only its connection. The zero value selects the defaults.
type ResponseLimits struct {
	HeaderBytes int64 // status line and headers, those of interim responses included
	BodyBytes   int64 // body, without chunk framing
}

// Default limits.
const (
	defaultHeaderBytes  = 64 << 10
	defaultBodyBytes    = 4 << 20
	maxInterimResponses = 8 // interim (1xx) responses before the final one
	framingDivisor      = 8 // chunked encoding may add 1/8 of the body's limit
)

func (l *ResponseLimits) headerBytes() int64 {
	if l.HeaderBytes > 0 {
		return l.HeaderBytes
	}
	return defaultHeaderBytes
}

func (l *ResponseLimits) bodyBytes() int64 {
	if l.BodyBytes > 0 {
		return l.BodyBytes
	}
	return defaultBodyBytes
}

// isDisconnect reports whether the connection was merely lost, which happens with
// well-behaved searchers too, as opposed to an invalid response.
func isDisconnect(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

// unsolicitedData is the error for data received while no request was pending.
type unsolicitedData struct{}

// Error returns the message.
func (*unsolicitedData) Error() string { return "bytes that answer no request" }
