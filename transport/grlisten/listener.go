package grlisten

import (
	"container/list"
	"errors"
	"net"
	"sync"

	"geraniumrouter/state/grclock"
)

// acceptPause is the time between two attempts to accept while the system refuses, for
// example because the process is out of descriptors.
const acceptPause = 20 * grclock.Millisecond

// Listener accepts a limited number of connections. When it holds as many, it closes the one
// that has waited longest: first among those that have not completed a request, then among
// the idle ones. If all are in use, the new connection is closed.
type Listener struct {
	net.Listener
	bounds    *Bounds
	name      string
	maxConns  int
	calls     bool // a connection was last used when something was written to it
	closed    chan struct{}
	closeOnce *sync.Once

	mu    sync.Mutex
	open  int
	fresh list.List // of *Conn without a completed request, the oldest first
	idle  list.List // of *Conn between two requests, the one longest unused first
}

// Accept returns the next connection within the limit. It fails only once the listener is
// closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.bounds.count("accept_errors_total", "listener", l.name)
			l.closeOldest()
			if !l.pause() {
				return nil, net.ErrClosed
			}
			continue
		}
		if conn := l.admit(accepted); conn != nil {
			return conn, nil
		}
		l.bounds.count("connections_refused_total", "listener", l.name)
		accepted.Close()
	}
}

// Close closes the listener, but not its connections.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// pause waits before the next attempt to accept; false means that the listener was closed.
func (l *Listener) pause() bool {
	timer := grclock.System().NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-l.closed:
		return false
	case <-timer.C:
		return true
	}
}

// admit returns the connection under the limits, or nil if all others are in use.
func (l *Listener) admit(accepted net.Conn) *Conn {
	if !l.hasRoom() && !l.closeOldest() {
		return nil
	}
	conn := &Conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	conn.waitIn(&l.fresh)
	return conn
}

func (l *Listener) hasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open < l.maxConns
}

// closeOldest closes the connection that has waited longest, and reports whether there was
// one.
func (l *Listener) closeOldest() bool {
	l.mu.Lock()
	oldest, state := l.fresh.Front(), "unused"
	if oldest == nil {
		oldest, state = l.idle.Front(), "idle"
	}
	var conn *Conn
	if oldest != nil {
		conn = oldest.Value.(*Conn)
		conn.leave()
	}
	l.mu.Unlock()
	if conn == nil {
		return false
	}
	l.bounds.count("connections_closed_for_others_total", "listener", l.name, "state", state)
	conn.Close()
	return true
}
