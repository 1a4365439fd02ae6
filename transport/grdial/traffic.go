package grdial

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Traffic counts the bytes of connections. The zero value counts none.
type Traffic struct {
	Sent, Received metrics.Counter
}

// Count returns the connection with its bytes counted.
func (t Traffic) Count(c net.Conn) net.Conn {
	if t.Sent == nil || t.Received == nil {
		return c
	}
	return &counted{c, t}
}

type counted struct {
	net.Conn
	traffic Traffic
}

// Read counts what it reads.
func (c *counted) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.traffic.Received.Inc(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *counted) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.Sent.Inc(int64(n))
	return n, err
}
