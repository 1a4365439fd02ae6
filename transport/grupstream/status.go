package grupstream

import (
	"net/http"
	"strconv"
)

// StatusError reports a response whose status code is neither that of a final response nor
// that of an interim one. It is not a response: the request may have run.
type StatusError struct{ Status string }

// Error implements error.
func (e *StatusError) Error() string {
	return "response with the invalid status " + strconv.Quote(e.Status)
}

// CheckFinal returns a *StatusError unless the response has the status code of a final
// response, 200 to 599. net/http accepts any three characters that make a number, such as
// "000" and "+12".
func CheckFinal(response *http.Response) error {
	if response.StatusCode >= http.StatusOK && response.StatusCode < 600 {
		return nil
	}
	return &StatusError{response.Status}
}

// isInterim reports whether another response follows. An interim response has no body
// and never states the length of one; a final response with such a status does. 101 is none,
// since requests do not ask for another protocol.
func isInterim(response *http.Response) bool {
	code := response.StatusCode
	if code < http.StatusContinue || code >= http.StatusOK || code == http.StatusSwitchingProtocols {
		return false
	}
	return response.Header.Get("Content-Length") == "" && len(response.TransferEncoding) == 0
}
