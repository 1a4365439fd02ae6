package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// searcher is a stand-in for a searcher, as PROTOCOL.md describes it.
type searcher struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	handle                     func(w http.ResponseWriter, r *http.Request) bool // of the case; reports whether it answered; may be nil
	deployment                 *deployment
	slot                       chan struct{}
	leaving                    atomic.Bool
	accepted                   atomic.Bool // the store has accepted that it drains
	sequence                   int
	mu                         sync.Mutex
}

var lastSearcher atomic.Int64

// startSearcher starts a searcher and registers it.
func (d *deployment) startSearcher(service, zone string, slots int, work time.Duration) (*searcher, error) {
	s := &searcher{id: fmt.Sprintf("i-%08x", 0x7f3a0000+lastSearcher.Add(1)*977), service: service, zone: zone, address: d.address(), slots: slots, work: work, deployment: d, slot: make(chan struct{}, slots)}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 30 * time.Second}
	go func() { _ = server.Serve(listener) }()
	if !s.beat() {
		return nil, fmt.Errorf("searcher %s was not registered", s.id)
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			s.beat()
		}
	}()
	return s, nil
}

// beat writes the entry of the searcher to the store, and reports whether the store took it.
func (s *searcher) beat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}
	ok := s.deployment.store.write("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.deployment.start.UnixMilli(),
	})
	if ok && state == "draining" && !s.accepted.Swap(true) {
		s.deployment.note("store: accepted that %s drains", s.id)
	}
	return ok
}

// leave makes the searcher leave: it says so in all its answers, and reports it until the store
// accepts that.
func (s *searcher) leave() {
	s.leaving.Store(true)
	s.deployment.note("%s begins to leave", s.id)
	for !s.beat() {
		time.Sleep(100 * time.Millisecond)
	}
}

// ServeHTTP answers a request.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if s.leaving.Load() {
		header["Server-Leaving"] = []string{"1"}
	}
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		header.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.handle != nil && s.handle(w, r) {
		return
	}
	select {
	case s.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slot }()
	s.deployment.note("%s runs %s: %s %s", s.id, id, r.Method, r.RequestURI)
	time.Sleep(s.work)
	header.Set("X-Server-Signature", signature(s.id, id))
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(s.slot), s.slots))
	fmt.Fprintf(w, "%s ran %s", s.id, id)
}

func signature(searcher, id string) string { return searcher + "." + id }
