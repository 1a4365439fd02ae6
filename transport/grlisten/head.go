package grlisten

import (
	"net/http"
	"strconv"
	"sync"

	"geraniumrouter/transport/grlimit"
)

// Costs and limits of a head.
const (
	// fieldBytes is what net/http holds for a field besides its text: a map entry, a slice and
	// two strings, with the spare room of the map.
	fieldBytes = 200
	textFactor = 2 // the text is held in the read buffer's copy and in the strings
	// unchargedBytes of each head are not charged, so that the heads of ordinary callers never
	// fail because of others. connBytes contains them.
	unchargedBytes = 8 << 10
	// readAhead is the size of net/http's read buffer: so much of what follows a head may be
	// counted with it if the client does not wait for responses.
	readAhead     = 4 << 10
	maxEmptyLines = 8 // before a request
)

// reason tells why a head is refused.
type reason uint8

const (
	tooLarge reason = iota
	emptyLines
	budgetExhausted
)

func (r reason) String() string {
	return [...]string{"too_large", "empty_lines", "budget"}[r]
}

// HeadError reports that a request's head was refused. The request has not run.
type HeadError struct{ reason reason }

// Error implements error.
func (e *HeadError) Error() string { return "head of a request refused: " + e.reason.String() }

// response returns the response to the refused head.
func (e *HeadError) response() string {
	status, extra := http.StatusRequestHeaderFieldsTooLarge, ""
	switch e.reason {
	case emptyLines:
		status = http.StatusBadRequest
	case budgetExhausted:
		status, extra = http.StatusServiceUnavailable, "Retry-After: 1\r\n"
	}
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + extra + "Connection: close\r\nContent-Length: 0\r\n\r\n"
}

// head follows the head of one request and what it costs.
type head struct {
	count headCount

	mu      sync.Mutex // another goroutine may close the connection
	charged int64
	closed  bool
}

// headCount counts what has arrived of a head.
type headCount struct {
	bytes      int
	lines      int
	emptyLines int  // before the first line
	lineBytes  int  // of the current line, without CR
	done       bool // the empty line at its end has arrived
}

// add accounts for more data. The data may end in the middle of the head, or go beyond it.
func (h *head) add(data []byte, limit int) *HeadError {
	for _, b := range data {
		if h.count.done {
			break
		}
		h.count.add(b)
	}
	switch {
	case h.count.bytes > limit+readAhead:
		return &HeadError{tooLarge}
	case h.count.emptyLines > maxEmptyLines:
		return &HeadError{emptyLines}
	}
	return nil
}

func (c *headCount) add(b byte) {
	c.bytes++
	switch {
	case b == '\r':
	case b != '\n':
		c.lineBytes++
	case c.lineBytes > 0:
		c.lines++
		c.lineBytes = 0
	case c.lines > 0:
		c.done = true
	default:
		c.emptyLines++
	}
}

// charge charges the budget for what the head takes so far.
func (h *head) charge(budget *grlimit.Budget) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	more := int64(h.count.bytes*textFactor+h.count.lines*fieldBytes) - unchargedBytes - h.charged
	if more <= 0 {
		return true
	}
	if h.closed || !budget.Reserve(more) {
		return false
	}
	h.charged += more
	return true
}

// reset returns what was charged, for the head of another request.
func (h *head) reset(budget *grlimit.Budget) {
	h.count = headCount{}
	h.mu.Lock()
	defer h.mu.Unlock()
	budget.Release(h.charged)
	h.charged = 0
}

// close returns what was charged; nothing can be charged from then on.
func (h *head) close(budget *grlimit.Budget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	budget.Release(h.charged)
	h.charged, h.closed = 0, true
}
