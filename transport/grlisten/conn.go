package grlisten

import (
	"container/list"
	"errors"
	"net"
	"os"
	"time"

	"geraniumrouter/state/grclock"
)

// phase is what a connection is used for.
type phase uint8

const (
	waiting phase = iota // no byte of the next request has arrived
	reading              // the head of a request is being read
	serving              // a request is being handled
)

// Conn is an accepted connection. Its phases follow the states that net/http reports.
type Conn struct {
	net.Conn
	listener *Listener
	inspects bool // heads of HTTP requests are checked
	phase    phase
	armed    bool // the idle timeout of the phase waiting is set
	head     head

	// Guarded by listener.mu.
	closed bool
	list   *list.List    // the one that holds the connection; nil while it is in use
	place  *list.Element // in list
}

// InspectHeads makes the connection check the heads of HTTP requests. It must be called
// before the first read.
func (c *Conn) InspectHeads() { c.inspects = true }

// Serving notes that the head of a request is complete.
func (c *Conn) Serving() {
	c.phase = serving
	c.listener.mu.Lock()
	c.leaveList()
	c.listener.mu.Unlock()
	if c.inspects {
		_ = c.Conn.SetReadDeadline(time.Time{}) // A failure shows on the next read.
	}
}

// Idle notes that a request has ended and that the next one may follow.
func (c *Conn) Idle() {
	c.phase, c.armed = waiting, false
	c.head.reset(&c.listener.bounds.Heads)
	c.waitAsUsed()
}

// Read reads from the connection. While a head is read, the limits in force apply.
func (c *Conn) Read(into []byte) (int, error) {
	if !c.inspects || c.phase == serving {
		return c.Conn.Read(into)
	}
	limits := c.listener.bounds.InForce()
	if c.phase == waiting && !c.armed {
		c.armed = true
		if err := c.Conn.SetReadDeadline(grclock.DeadlineIn(limits.IdleTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(into)
	if n == 0 {
		c.countTimeout(err)
		return n, err
	}
	if c.phase == waiting {
		if err := c.startHead(limits.HeaderTimeout); err != nil {
			return 0, err
		}
	}
	refusal := c.head.add(into[:n], limits.HeaderBytes)
	if refusal == nil && !c.head.charge(&c.listener.bounds.Heads) {
		refusal = c.discardHead(into, limits.HeaderBytes)
	}
	if refusal != nil {
		c.refuse(refusal)
		// net/http sends no response of its own after a failed network read.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: refusal}
	}
	return n, err
}

// countTimeout counts a head that did not arrive in time.
func (c *Conn) countTimeout(err error) {
	if c.phase == reading && errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.bounds.count("client_timeouts_total", "listener", c.listener.name, "waited_for", "head")
	}
}

func (c *Conn) startHead(timeout grclock.Millis) error {
	c.phase = reading
	c.listener.mu.Lock()
	if c.list == &c.listener.idle {
		c.list.MoveToBack(c.place)
	}
	c.listener.mu.Unlock()
	return c.Conn.SetReadDeadline(grclock.DeadlineIn(timeout))
}

// discardHead reads the rest of a head that the budget has no room for, so that the client
// can read the response, and returns why the head is refused.
func (c *Conn) discardHead(into []byte, limit int) *HeadError {
	for !c.head.count.done {
		n, err := c.Conn.Read(into)
		if refusal := c.head.add(into[:n], limit); refusal != nil {
			return refusal
		}
		if err != nil {
			break
		}
	}
	return &HeadError{budgetExhausted}
}

// refuseTimeout limits how long the response to a refused head may take to send.
const refuseTimeout = 100 * grclock.Millisecond

// refuse answers a head that is not accepted.
func (c *Conn) refuse(refusal *HeadError) {
	c.listener.bounds.count("heads_refused_total", "listener", c.listener.name, "reason", refusal.reason.String())
	if c.Conn.SetWriteDeadline(grclock.DeadlineIn(refuseTimeout)) == nil {
		_, _ = c.Conn.Write([]byte(refusal.response())) // The client may have gone.
	}
}

// SetReadDeadline sets the deadline for reads, except that the removal of the deadline is
// ignored while the timeouts for idle connections and heads apply.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.inspects && c.phase != serving && t.IsZero() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// maxWriteBytes is the part of a response that the client must take within the idle timeout.
const maxWriteBytes = 64 << 10

// Write writes to the connection. It fails if the client takes none of it for the idle
// timeout.
func (c *Conn) Write(data []byte) (written int, err error) {
	timeout := c.listener.bounds.InForce().IdleTimeout
	for len(data) > 0 && err == nil {
		if err = c.Conn.SetWriteDeadline(grclock.DeadlineIn(timeout)); err != nil {
			return written, err
		}
		var n int
		n, err = c.Conn.Write(data[:min(len(data), maxWriteBytes)])
		written += n
		data = data[n:]
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.bounds.count("client_timeouts_total", "listener", c.listener.name, "waited_for", "taking_response")
	}
	if c.listener.calls {
		c.waitAsUsed()
	}
	return written, err
}

// CloseWrite ends the sending direction.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.leave()
	c.listener.mu.Unlock()
	c.head.close(&c.listener.bounds.Heads)
	return c.Conn.Close()
}

// leave removes the connection from those that the listener holds.
func (c *Conn) leave() {
	c.leaveList()
	if !c.closed {
		c.closed = true
		c.listener.open--
	}
}

// waitAsUsed makes the connection the one most recently used among the idle ones.
func (c *Conn) waitAsUsed() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.closed {
		c.leaveList()
		c.waitIn(&c.listener.idle)
	}
}

func (c *Conn) waitIn(l *list.List) { c.list, c.place = l, l.PushBack(c) }

func (c *Conn) leaveList() {
	if c.list != nil {
		c.list.Remove(c.place)
		c.list, c.place = nil, nil
	}
}
