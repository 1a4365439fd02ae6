package grlimit

import (
	"net"
	"time"

	"geraniumrouter/state/grclock"
)

// GobConn is a connection that carries encoding/gob messages, each prefixed with its
// length. Read fails when the length of a message exceeds Most, or when the messages
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

// Read reads from the connection and enforces the limits: *Exceeded is the error for a
// message that is too long, *Full that of an exhausted budget. After an error the budget
// is released.
func (f *GobConn) Read(into []byte) (int, error) {
	n, err := f.Conn.Read(into)
	if limitErr := f.inspect(into[:n]); limitErr != nil {
		n, err = 0, limitErr
	}
	if err != nil {
		f.release()
	}
	return n, err
}

func (f *GobConn) inspect(data []byte) error {
	for len(data) > 0 {
		if f.remaining > 0 {
			n := min(f.remaining, int64(len(data)))
			data = data[n:]
			f.remaining -= n
			if f.remaining == 0 && f.charged > 0 {
				f.release()
				if err := f.SetReadDeadline(time.Time{}); err != nil {
					return err
				}
			}
			continue
		}
		done := f.readSize(data[0])
		data = data[1:]
		if !done {
			continue
		}
		if err := f.startMessage(); err != nil {
			return err
		}
	}
	return nil
}

// startMessage checks the length of a new message and charges it to the budget.
func (f *GobConn) startMessage() error {
	if f.size > uint64(f.MaxMessage) {
		return &SizeError{"message", f.MaxMessage}
	}
	f.remaining, f.size = int64(f.size), 0
	if f.remaining <= uncountedBytes {
		return nil
	}
	if !f.Budget.Reserve(f.remaining) {
		return &BudgetError{f.Budget.size()}
	}
	f.charged = f.remaining
	return f.SetReadDeadline(grclock.DeadlineIn(messageTimeout))
}

// release returns the charged bytes to the budget.
func (f *GobConn) release() {
	f.Budget.Release(f.charged)
	f.charged = 0
}

// readSize consumes one byte of a message length and reports whether it was the last.
// encoding/gob writes a length below 128 as one byte, and a larger one as its negated
// byte count followed by the bytes in big-endian order.
func (f *GobConn) readSize(b byte) bool {
	switch {
	case f.sizeBytesLeft > 0:
		f.size = f.size<<8 | uint64(b)
		f.sizeBytesLeft--
	case b < 0x80:
		f.size = uint64(b)
	default:
		f.sizeBytesLeft = -int(int8(b))
	}
	return f.sizeBytesLeft == 0
}
