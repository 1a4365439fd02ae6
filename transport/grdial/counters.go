package grdial

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// ByteCounters counts the bytes sent and received on connections. The zero value counts
// nothing.
type ByteCounters struct {
	Sent, Received metrics.Counter
}

// Wrap returns the connection wrapped so that its bytes are counted.
func (b ByteCounters) Wrap(c net.Conn) net.Conn {
	if b.Sent == nil || b.Received == nil {
		return c
	}
	return &countedConn{c, b}
}

type countedConn struct {
	net.Conn
	counters ByteCounters
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.counters.Received.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counters.Sent.Inc(int64(n))
	return n, err
}
