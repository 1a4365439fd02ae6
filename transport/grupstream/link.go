package grupstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// closedIdle says that the other end closed a connection.
type closedIdle struct{ address string }

// Error describes the condition.
func (e *closedIdle) Error() string { return fmt.Sprintf("%s closed the connection", e.address) }

// link is a TCP connection that counts the bytes sent, so that "nothing was
// sent" can be proved. One goroutine reads it all the time, so that an end of
// the connection is seen at once, also while it is idle.
type link struct {
	net.Conn
	reader  *bufio.Reader
	sent    int
	answers chan []byte   // bodies that the reader got, one at a time
	ended   chan struct{} // closed by the reader when the connection ends
}

// connect opens a connection and starts to read it.
func (p *Pool) connect(ctx context.Context, address grid.Address) (*link, error) {
	dialer := net.Dialer{Timeout: dialTimeout.Duration()}
	c, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	l := &link{Conn: c, reader: bufio.NewReader(c), answers: make(chan []byte, 1), ended: make(chan struct{})}
	p.Group.Start(func(context.Context) error {
		l.read()
		return nil
	})
	return l, nil
}

// Write counts the bytes that were handed to the network.
func (l *link) Write(data []byte) (int, error) {
	n, err := l.Conn.Write(data)
	l.sent += n
	return n, err
}

// failure names the end of an attempt whose exchange failed.
func (l *link) failure() grleaf.ReplyKind {
	if l.sent == 0 {
		return grleaf.Refused
	}
	return grleaf.LostReply
}

// read passes on the answers until the connection ends.
func (l *link) read() {
	defer close(l.ended)
	for {
		body, err := l.readAnswer()
		if err != nil {
			return
		}
		l.answers <- body
	}
}

func (l *link) readAnswer() ([]byte, error) {
	response, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
}

// exchange sends one HTTP request and reads its answer into into. A connection
// that gives no answer in time is of no use any more.
func (l *link) exchange(method, path string, header http.Header, body []byte, silent grclock.Millis, into any) error {
	if err := l.SetDeadline(grclock.DeadlineIn(silent)); err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+l.RemoteAddr().String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header = header
	buffered := bufio.NewWriter(l)
	if err := request.Write(buffered); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	select {
	case answer := <-l.answers:
		if err := json.Unmarshal(answer, into); err != nil {
			return err
		}
		return l.SetDeadline(time.Time{})
	case <-l.ended:
		return &closedIdle{l.RemoteAddr().String()}
	}
}

func readLoad(l *link, silent grclock.Millis) (grwire.LoadReply, error) {
	var load grwire.LoadReply
	err := l.exchange(http.MethodGet, grwire.LoadPath, http.Header{}, nil, silent, &load)
	return load, err
}
