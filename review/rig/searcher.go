package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// searcher is a stand-in for a searcher (PROTOCOL.md): a number of slots, a queue, and
// refusals with X-Not-Executed beyond that.
type searcher struct {
	id, service, zone, address string
	slots, queue               int
	work                       time.Duration // mean time of a run
	record                     *recorder
	ledger                     *ledger
	born                       int64
	quiet                      bool // no line in the record for each request

	faults atomic.Pointer[faults]
	extras atomic.Int64 // answers that were sent a second time

	slowdown atomic.Pointer[float64] // factor on the time of a run; nil: none

	running, waiting atomic.Int64
	places           chan struct{} // slots
	sequence         int
}

// faults are the shares of requests or answers that a searcher spoils.
type faults struct {
	refused float64 // requests that are refused as if the searcher were full
	extra   float64 // answers that are sent a second time, late: where the next response on the connection is expected
}

func (s *searcher) setFaults(refused, extra float64) { s.faults.Store(&faults{refused, extra}) }

// ledger counts what the searchers did with each request.
type ledger struct {
	mu       sync.Mutex
	runs     map[string][]string  // by request id: the searchers that began to work on it
	arrivals map[string][]arrival // by request id: where and when it reached a searcher
}

type arrival struct {
	searcher string
	at       time.Time
}

func newLedger() *ledger {
	return &ledger{runs: make(map[string][]string), arrivals: make(map[string][]arrival)}
}

func (l *ledger) arrived(id, searcher string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], arrival{searcher, time.Now()})
}

func (l *ledger) ran(id, searcher string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], searcher)
}

func (s *searcher) note(format string, args ...any) {
	if !s.quiet {
		s.record.line(s.id, format, args...)
	}
}

func (s *searcher) entry(state string) map[string]any {
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
}

func (s *searcher) start(ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	s.address, s.places, s.born = l.Addr().String(), make(chan struct{}, s.slots), time.Now().UnixMilli()
	s.setFaults(0, 0)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// serve answers the requests of one connection, one at a time.
func (s *searcher) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var extra []byte // to be sent where the next response is expected
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		if extra != nil {
			s.record.line(s.id, "sends the extra answer, before the answer to %s", id)
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := s.answer(c, request, id, body)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if rand.Float64() < s.faults.Load().extra {
			s.extras.Add(1)
			s.record.line(s.id, "will send its answer to %s a second time", id)
			extra = answer
		}
	}
}

// answer returns the bytes of the answer, or nil if the caller has gone.
func (s *searcher) answer(c net.Conn, request *http.Request, id string, body []byte) []byte {
	load := fmt.Sprintf("X-Server-Load: %d,%d,%d\r\n", s.running.Load(), s.waiting.Load(), s.slots)
	if request.URL.Path == "/health" {
		return response(http.StatusOK, "X-Instance-Id: "+s.id+"\r\n"+load, nil)
	}
	echo := "X-Request-Id: " + id + "\r\n"
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		return response(http.StatusMisdirectedRequest, echo+"X-Instance-Id: "+s.id+"\r\n", nil)
	}
	s.ledger.arrived(id, s.id)
	s.note("gets %s", id)
	if rand.Float64() < s.faults.Load().refused {
		s.record.line(s.id, "refuses %s", id)
		return response(http.StatusServiceUnavailable, echo+load+"X-Not-Executed: 1\r\n", nil)
	}
	select {
	case s.places <- struct{}{}:
	default:
		if s.waiting.Add(1) > int64(s.queue) {
			s.waiting.Add(-1)
			s.record.line(s.id, "refuses %s: full", id)
			return response(http.StatusServiceUnavailable, echo+load+"X-Not-Executed: 1\r\n", nil)
		}
		err := s.awaitPlace(c, request)
		s.waiting.Add(-1)
		if errors.Is(err, errTooLate) {
			s.record.line(s.id, "refuses %s: its time ran out in the queue", id)
			return response(http.StatusServiceUnavailable, echo+load+"X-Not-Executed: 1\r\n", nil)
		}
		if err != nil {
			s.record.line(s.id, "drops %s from its queue: the connection was closed", id)
			return nil
		}
	}
	s.running.Add(1)
	defer func() { s.running.Add(-1); <-s.places }()
	s.ledger.ran(id, s.id)
	s.note("runs %s", id)
	factor := 1.0
	if f := s.slowdown.Load(); f != nil {
		factor = *f
	}
	time.Sleep(time.Duration((0.5 + rand.Float64()) * factor * float64(s.work)))
	s.note("has run %s", id)
	signature := fmt.Sprintf("X-Server-Signature: %s.%s\r\n", s.id, id)
	return response(http.StatusOK, echo+load+signature, append([]byte("done "+id+" "), body...))
}

var errTooLate = errors.New("the time of the request ran out")

// awaitPlace waits for a slot until the request's time has run out or its connection is
// closed.
func (s *searcher) awaitPlace(c net.Conn, request *http.Request) error {
	remaining, err := strconv.Atoi(request.Header.Get("X-Timeout-Remaining"))
	if err != nil {
		remaining = 1000
	}
	timeout := time.After(time.Duration(remaining) * time.Millisecond)
	check := time.NewTicker(20 * time.Millisecond)
	defer check.Stop()
	for {
		select {
		case s.places <- struct{}{}:
			return nil
		case <-timeout:
			return errTooLate
		case <-check.C:
			if closed(c) {
				return io.EOF
			}
		}
	}
}

// closed reports whether the other end has closed the connection. No request follows on
// it before the answer, so nothing that is read here is lost.
func closed(c net.Conn) bool {
	if c.SetReadDeadline(time.Now().Add(time.Millisecond)) != nil {
		return true
	}
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{}) // The next read reports a failure.
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

func response(status int, fields string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), fields, len(body))
	b.Write(body)
	return b.Bytes()
}
