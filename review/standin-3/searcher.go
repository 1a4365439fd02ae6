package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a searcher began to work on.
type run struct {
	at        time.Time
	searcher  string
	service   string
	id        string // of the request
	method    string
	target    string // path and query as received
	body      int
	tenant    string
	remaining int
	from      string
	signature string
	ended     bool // it answered; else the connection ended before
}

// searcher is a stand-in for one searcher, as PROTOCOL.md describes it.
type searcher struct {
	world   *world
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	work    func(r *http.Request) time.Duration
	answer  func(w http.ResponseWriter, r *http.Request, signature string) // nil: the usual one

	mu       sync.Mutex
	working  int
	waiting  int
	sequence int
	born     int64
	free     chan struct{} // slots
}

func (w *world) startSearcher(s *searcher) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.world, s.address = w, listener.Addr().String()
	s.free = make(chan struct{}, s.slots)
	s.born = time.Now().UnixMilli()
	s.register()
	go func() { _ = http.Serve(listener, s) }()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			s.register()
		}
	}()
	return nil
}

func (s *searcher) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1", "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	s.world.store.put("servers", s.id, entry)
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// ServeHTTP works on one request or rejects it.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		header.Set("X-Request-Id", id)
	}
	header.Set("X-Instance-Id", s.id)
	reject := func(status int) {
		header.Set("X-Not-Executed", "1")
		header.Set("Content-Length", "0")
		w.WriteHeader(status)
	}
	switch {
	case r.Header.Get("X-Expected-Instance") != s.id:
		reject(http.StatusMisdirectedRequest)
		return
	case id == "":
		reject(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.working >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		reject(http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mu.Unlock()
	select {
	case s.free <- struct{}{}:
	case <-r.Context().Done():
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	s.waiting--
	s.working++
	s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	remaining, _ := strconv.Atoi(r.Header.Get("X-Timeout-Remaining"))
	signature := "3e1b.07." + randomHex(6)
	index := s.world.noteRun(run{
		at: time.Now(), searcher: s.id, service: s.service, id: id, method: r.Method, target: r.RequestURI, body: len(body),
		tenant: r.Header.Get("X-Tenant"), remaining: remaining, from: r.RemoteAddr, signature: signature,
	})
	defer func() {
		s.mu.Lock()
		s.working--
		s.mu.Unlock()
		<-s.free
	}()
	work := 5 * time.Millisecond
	if s.work != nil {
		work = s.work(r)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", s.working, s.waiting, s.slots))
	s.mu.Unlock()
	s.world.noteEnd(index)
	if s.answer != nil {
		s.answer(w, r, signature)
		return
	}
	header.Set("X-Server-Signature", signature)
	records := make([]byte, 16*8)
	_, _ = rand.Read(records)
	header.Set("Content-Length", strconv.Itoa(len(records)))
	_, _ = w.Write(records)
}
