// Package grlisten bounds the connections that a process accepts and what each of them can
// make it hold. A Listener accepts a limited number; beyond it, a connection that waits is
// closed for a new one. A Conn of an HTTP listener limits the size and duration of request
// heads and charges what they take once parsed to a Budget that all listeners share.
//
//	bounds := &grlisten.Bounds{Limits: limitsInForce, Metrics: registry}
//	listener := bounds.Listen(plain, "callers", maxConns)
package grlisten

import (
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/transport/grlimit"
	"geraniumrouter/transport/grmetric"
)

// Limits used where none are in force.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * grclock.Second
	defaultIdleTimeout   = 5 * grclock.Minute // longer than callers keep idle connections
	defaultHeadBytes     = 16 << 20
	defaultMaxConns      = 4096
)

// Shares of the process's resources, and what is assumed where the settings state none.
const (
	connMemoryDivisor = 3        // of the memory, for accepted connections
	headMemoryDivisor = 8        // of the memory, for request heads
	connBytes         = 32 << 10 // goroutine, buffers, uncharged parts of head and body
	reservedFiles     = 200      // descriptors that are not for connections
	acceptedDivisor   = 2        // of the other descriptors; the rest is for connections that are opened
	minConns          = 16
)

// MaxConns returns how many connections a process with the given memory in bytes and number
// of descriptors accepts; 0 means unknown.
func MaxConns(memory int64, descriptors int) int {
	most := defaultMaxConns
	if memory > 0 {
		most = int(memory / connMemoryDivisor / connBytes)
	}
	if descriptors > 0 {
		most = min(most, (descriptors-reservedFiles)/acceptedDivisor)
	}
	return max(most, minConns)
}

// HeadBytes returns the budget for request heads of a process with the given memory in bytes;
// 0 means unknown.
func HeadBytes(memory int64) int64 {
	if memory <= 0 {
		return defaultHeadBytes
	}
	return memory / headMemoryDivisor
}

// Bounds are shared by the listeners of a process. The zero value selects the defaults. Set
// the exported fields before use.
type Bounds struct {
	Limits  func() grroutes.Limits // those in force; may be nil
	Heads   grlimit.Budget         // of all heads of requests that have not ended
	Metrics metrics.Registry       // may be nil
}

// InForce returns the limits in force, with defaults for those that are not set.
func (b *Bounds) InForce() grroutes.Limits {
	var limits grroutes.Limits
	if b.Limits != nil {
		limits = b.Limits()
	}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// Listen returns a listener that accepts at most maxConns connections at a time; 0 selects
// the default. name is its label in metrics.
func (b *Bounds) Listen(listener net.Listener, name string, maxConns int) *Listener {
	if maxConns <= 0 {
		maxConns = defaultMaxConns
	}
	return &Listener{Listener: listener, bounds: b, name: name, maxConns: maxConns, closed: make(chan struct{}), closeOnce: &sync.Once{}}
}

// ListenCalls is Listen for calls by net/rpc: a connection has completed a request when an
// answer is written to it, and counts as idle from then on.
func (b *Bounds) ListenCalls(listener net.Listener, name string, maxConns int) *Listener {
	l := b.Listen(listener, name, maxConns)
	l.calls = true
	return l
}

func (b *Bounds) count(base string, labels ...string) {
	if b.Metrics != nil {
		grmetric.Count(b.Metrics, base, labels...)
	}
}
