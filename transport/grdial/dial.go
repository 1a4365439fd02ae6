// Package grdial makes dialers whose TCP connections fail when the remote end becomes
// unresponsive. A device between the two ends, such as a firewall, can drop a connection
// without notice; only a timeout at the local end detects that.
//
//	conn, err := grdial.New(grclock.Second).Dial("tcp", "127.0.0.1:8000")
package grdial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"geraniumrouter/state/grclock"
)

// Limits after which the kernel closes a connection to an unresponsive remote end.
const (
	userTimeout   = 2 * grclock.Second // for sent data that is not acknowledged
	probeInterval = grclock.Second     // between keep-alive probes of an idle connection
	probeCount    = 2                  // unanswered probes after which the connection is closed
)

// New returns a dialer whose connections must be established within the timeout.
func New(timeout grclock.Millis) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout.Duration(),
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval.Duration(), Interval: probeInterval.Duration(), Count: probeCount,
		},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
