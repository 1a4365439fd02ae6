package grlimit

import (
	"net"
	"time"

	"geraniumrouter/state/grclock"
)

// GobConn is a connection that carries encoding/gob messages, each prefixed with its
// length. Read fails when the length of a message exceeds MaxMessage, or when the messages
// being read on all connections exceed their shared Budget. The gob decoder allocates a
// message as soon as it has read the length, so a large message is charged to the budget
// at that point and must arrive within messageTimeout. Set the exported fields before
// use.
type GobConn struct {
	net.Conn
	MaxMessage int64
	Budget     *Budget

	remaining     int64  // bytes of the message still to come
	charged       int64  // bytes charged to the budget
	size          uint64 // length of the next message, as far as it has been read
	sizeBytesLeft int    // bytes of the length still to come
}

// messageTimeout is how long a message that is charged to the budget may take to arrive.
const messageTimeout = 5 * grclock.Second

// Read reads from the connection and enforces the limits: *SizeError is the error for a
// message that is too long, *BudgetError that of an exhausted budget. After an error the budget
// is released.
func (c *GobConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if limitErr := c.inspect(into[:n]); limitErr != nil {
		n, err = 0, limitErr
	}
	if err != nil {
		c.release()
	}
	return n, err
}

func (c *GobConn) inspect(data []byte) error {
	for len(data) > 0 {
		if c.remaining > 0 {
			n := min(c.remaining, int64(len(data)))
			data = data[n:]
			c.remaining -= n
			if c.remaining == 0 && c.charged > 0 {
				c.release()
				if err := c.SetReadDeadline(time.Time{}); err != nil {
					return err
				}
			}
			continue
		}
		done := c.readSize(data[0])
		data = data[1:]
		if !done {
			continue
		}
		if err := c.startMessage(); err != nil {
			return err
		}
	}
	return nil
}

// startMessage checks the length of a new message and charges it to the budget.
func (c *GobConn) startMessage() error {
	if c.size > uint64(c.MaxMessage) {
		return &SizeError{"message", c.MaxMessage}
	}
	c.remaining, c.size = int64(c.size), 0
	if c.remaining <= unchargedBytes {
		return nil
	}
	if !c.Budget.Reserve(c.remaining) {
		return &BudgetError{c.Budget.size()}
	}
	c.charged = c.remaining
	return c.SetReadDeadline(grclock.DeadlineIn(messageTimeout))
}

// release returns the charged bytes to the budget.
func (c *GobConn) release() {
	c.Budget.Release(c.charged)
	c.charged = 0
}

// readSize consumes one byte of a message length and reports whether it was the last.
// encoding/gob writes a length below 128 as one byte, and a larger one as its negated
// byte count followed by the bytes in big-endian order.
func (c *GobConn) readSize(b byte) bool {
	switch {
	case c.sizeBytesLeft > 0:
		c.size = c.size<<8 | uint64(b)
		c.sizeBytesLeft--
	case b < 0x80:
		c.size = uint64(b)
	default:
		c.sizeBytesLeft = -int(int8(b))
	}
	return c.sizeBytesLeft == 0
}
