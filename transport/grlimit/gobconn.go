package grlimit

import (
	"bufio"
	"net"
	"time"

	"geraniumrouter/state/grclock"
)

// GobConn is a connection that carries net/rpc calls as encoding/gob messages, each prefixed
// with its length. Read fails when the length of a message exceeds MaxMessage, or when the
// messages being read on all connections exceed their shared Budget. The gob decoder
// allocates a message as soon as it has read the length, so the length is passed on only
// after the beginning of the message has arrived and was checked: a message of more than
// 16 KB must be the body of a call, is charged to the budget and must arrive within
// messageTimeout. Set the exported fields before use.
type GobConn struct {
	net.Conn
	MaxMessage int64
	Budget     *Budget

	reader    *bufio.Reader
	remaining int64 // bytes of the message still to be read, its length included
	charged   int64 // bytes charged to the budget
	values    int   // messages so far that are no type definitions: headers and bodies in turn
}

// messageTimeout is how long a message that is charged to the budget may take to arrive.
const messageTimeout = 5 * grclock.Second

// maxUintBytes is the number of bytes that encoding/gob uses at most for an integer.
const maxUintBytes = 9

// FormatError reports data that is not a sequence of gob messages as net/rpc sends them.
type FormatError struct{ Reason string }

// Error implements error.
func (e *FormatError) Error() string { return "invalid gob message: " + e.Reason }

// Read reads from the connection and enforces the limits: *SizeError is the error for a
// message that is too long, *FormatError that for a message that cannot be valid, and
// *BudgetError that of an exhausted budget. After an error the budget is released.
func (c *GobConn) Read(into []byte) (int, error) {
	if len(into) == 0 {
		return 0, nil
	}
	n, err := c.read(into)
	if err != nil {
		c.release()
	}
	return n, err
}

// ReadByte implements io.ByteReader. It shows the gob decoder that it needs no buffer of its
// own, which would read ahead.
func (c *GobConn) ReadByte() (byte, error) {
	var b [1]byte
	_, err := c.Read(b[:])
	return b[0], err
}

func (c *GobConn) read(into []byte) (int, error) {
	if c.reader == nil {
		c.reader = bufio.NewReader(c.Conn)
	}
	if c.remaining == 0 {
		if err := c.startMessage(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(into[:min(c.remaining, int64(len(into)))])
	c.remaining -= int64(n)
	if err == nil && c.remaining == 0 && c.charged > 0 {
		c.release()
		err = c.SetReadDeadline(time.Time{})
	}
	return n, err
}

// startMessage waits for the beginning of a message, checks it and charges the message to the
// budget. It consumes nothing.
func (c *GobConn) startMessage() error {
	size, prefix, err := c.peekUint(0, maxUintBytes)
	if err != nil {
		return err
	}
	if size > uint64(c.MaxMessage) {
		return &SizeError{"message", c.MaxMessage}
	}
	id, _, err := c.peekUint(prefix, int(min(size, maxUintBytes)))
	if err != nil {
		return err
	}
	if err := c.checkType(id, int64(size)); err != nil {
		return err
	}
	c.remaining = int64(prefix) + int64(size)
	if size <= unchargedBytes {
		return nil
	}
	if !c.Budget.Reserve(int64(size)) {
		return &BudgetError{c.Budget.size()}
	}
	c.charged = int64(size)
	return c.SetReadDeadline(grclock.DeadlineIn(messageTimeout))
}

// checkType checks the type id of a message. encoding/gob shifts it left by one; the lowest bit
// is set in a type definition. net/rpc sends a header and a body in turn; headers and
// definitions are small.
func (c *GobConn) checkType(id uint64, size int64) error {
	if id == 0 {
		return &FormatError{"type 0"}
	}
	small := true
	if isValue := id&1 == 0; isValue {
		small = c.values%2 == 0
		c.values++
	}
	if small && size > unchargedBytes {
		return &SizeError{"header or type definition", unchargedBytes}
	}
	return nil
}

// peekUint returns the integer after the given number of bytes, and the number of bytes up to
// its end. encoding/gob writes an integer below 128 as one byte, and a larger one as its
// negated byte count followed by the bytes in big-endian order. It may take at most limit
// bytes.
func (c *GobConn) peekUint(after, limit int) (value uint64, end int, err error) {
	if limit == 0 {
		return 0, 0, &FormatError{"empty"}
	}
	data, err := c.reader.Peek(after + 1)
	if err != nil {
		return 0, 0, err
	}
	first := data[after]
	if first < 0x80 {
		return uint64(first), after + 1, nil
	}
	length := 1 - int(int8(first))
	if length > limit {
		return 0, 0, &FormatError{"integer too long"}
	}
	data, err = c.reader.Peek(after + length)
	if err != nil {
		return 0, 0, err
	}
	for _, b := range data[after+1:] {
		value = value<<8 | uint64(b)
	}
	return value, after + length, nil
}

// release returns the charged bytes to the budget.
func (c *GobConn) release() {
	c.Budget.Release(c.charged)
	c.charged = 0
}
