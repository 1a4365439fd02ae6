// Package grdial makes dialers whose connections end by themselves when their
// other end falls silent. Something between two ends can lose track of a
// connection; only a time-out of one's own shows it.
//
//	conn, err := grdial.New(grclock.Second).Dial("tcp", "127.0.0.1:8000")
package grdial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"geraniumrouter/state/grclock"
)

// Spans after which the kernel gives up a connection whose other end is silent.
const (
	silentAfter   = 2 * grclock.Second // sent bytes that are not acknowledged
	probeInterval = grclock.Second     // between two probes of an idle connection
	probes        = 2                  // without an answer
)

// New returns a dialer whose connections must stand within the timeout.
func New(timeout grclock.Millis) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout.Duration(),
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval.Duration(), Interval: probeInterval.Duration(), Count: probes,
		},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter))
	})
	if err != nil {
		return err
	}
	return failed
}
