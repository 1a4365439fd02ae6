package grupstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grdial"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grlimit"
)

// receivedResponse is a response that was read completely. It is reusable if the
// connection is kept open and no further data was buffered behind it, so that the next
// response will belong to the next request.
type receivedResponse struct {
	response *http.Response
	body     []byte
	reusable bool
}

// monitoredConn is a TCP connection that counts the bytes sent, to prove that no part
// of a request was sent. A goroutine reads it all the time, so that a disconnect and
// unsolicited data are detected at once, even while the connection is idle.
type monitoredConn struct {
	net.Conn
	pool      *Pool
	limited   *grlimit.LimitedReader
	reader    *bufio.Reader
	sentBytes atomic.Int64
	sendBy    grclock.Millis               // time after which the request is not begun to be written; 0: none
	pending   atomic.Pointer[http.Request] // sent and unanswered
	closed    chan struct{}                // closed by the reader when the connection ends
	// readErr is set before closed is closed: a truncated or invalid response, unsolicited
	// data, or a recovered panic.
	readErr error
}

// dial opens a connection and starts reading it. onResponse is called with each
// response on the reading goroutine.
func (p *Pool) dial(ctx context.Context, address grident.Address, counters grdial.ByteCounters, onResponse func(receivedResponse)) (*monitoredConn, error) {
	c, err := grdial.New(dialTimeout).DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	c = counters.Wrap(c)
	limited := &grlimit.LimitedReader{Reader: c, Subject: "response"}
	m := &monitoredConn{Conn: c, pool: p, limited: limited, reader: bufio.NewReader(limited), closed: make(chan struct{})}
	p.Group.Start(func(context.Context) error {
		defer close(m.closed)
		if err := grgroup.Catch(func() error { return m.readLoop(onResponse) }); err != nil {
			m.readErr = err
		}
		return nil
	})
	return m, nil
}

// tooLateError reports that no byte of a request was written, as the time to send it had
// passed.
type tooLateError struct{ by grclock.Millis }

// Error implements error.
func (e *tooLateError) Error() string { return "the request had to be sent before" }

// Write writes to the connection and counts the bytes. The time to send the request is
// compared here, since the process may stand still at any step before.
func (m *monitoredConn) Write(data []byte) (int, error) {
	if m.sendBy > 0 && m.sentBytes.Load() == 0 && m.pool.Clock.Now() > m.sendBy {
		return 0, &tooLateError{m.sendBy}
	}
	n, err := m.Conn.Write(data)
	m.sentBytes.Add(int64(n))
	return n, err
}

// send writes one request, or fails with *tooLateError if it cannot begin to by the given
// time; 0 is no limit. Its response is passed to the function given to dial. If timeout is
// above 0, a connection without a response by then fails.
func (m *monitoredConn) send(request *http.Request, timeout, by grclock.Millis) error {
	m.sentBytes.Store(0)
	m.sendBy = by
	m.pending.Store(request)
	if timeout > 0 {
		if err := m.SetDeadline(grclock.DeadlineIn(timeout)); err != nil {
			return err
		}
	}
	buffered := bufio.NewWriter(m)
	err := request.Write(buffered)
	if err == nil {
		err = buffered.Flush()
	}
	if errors.As(err, new(*tooLateError)) {
		m.pending.CompareAndSwap(request, nil)
	}
	return err
}

// readLoop passes on responses until the connection ends. It returns an error if that
// is due to the data received: data while no request was pending, or an invalid
// response.
func (m *monitoredConn) readLoop(onResponse func(receivedResponse)) error {
	for {
		m.limited.Allow(m.pool.Limits.headerBytes())
		if _, err := m.reader.Peek(1); err != nil {
			return nil
		}
		request := m.pending.Swap(nil)
		if request == nil {
			return &unsolicitedData{}
		}
		got, err := m.readResponse(request)
		if err != nil {
			return err
		}
		if m.SetDeadline(time.Time{}) != nil {
			return nil
		}
		onResponse(got)
	}
}

// readResponse reads a complete response and skips the interim ones before it.
func (m *monitoredConn) readResponse(request *http.Request) (got receivedResponse, err error) {
	for interim := 0; ; interim++ {
		got.response, err = http.ReadResponse(m.reader, request)
		if err == nil {
			err = checkHead(got.response)
		}
		if err != nil {
			return got, err
		}
		if !isInterim(got.response) {
			break
		}
		if interim == maxInterimResponses {
			return got, &grlimit.SizeError{Subject: "interim responses", Limit: maxInterimResponses}
		}
	}
	if err := CheckFinal(got.response); err != nil {
		return got, err
	}
	defer got.response.Body.Close()
	limits := &m.pool.Limits
	m.limited.Allow(limits.bodyBytes() + limits.bodyBytes()/framingDivisor + limits.headerBytes())
	got.body, err = grlimit.ReadBody(got.response.Body, got.response.ContentLength, limits.bodyBytes(), &m.pool.bodyBudget)
	got.reusable = !got.response.Close && m.reader.Buffered() == 0
	return got, err
}
