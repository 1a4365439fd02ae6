// Package grstandupstream is a stand-in for the upstream searchers in tests and
// demonstrations. It models execution slots, a bounded queue, connection limits,
// connect delays, stragglers, index versions and shard ranges. Faults are
// injected over HTTP.
//
//	searcher := &grstandupstream.Searcher{Spec: spec, Clock: clock, Snapshots: snapshots}
//	err := searcher.Run(ctx)
package grstandupstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grhttp"
)

// Spec describes one searcher.
type Spec struct {
	ID               string
	Service          grident.Service
	Collection       grident.Collection
	Address          grident.Address // listen address
	Slots            int             // searches that run at the same time
	ConnLimit        int             // maximum number of connections; further ones are closed at once
	ConnectDelay     grclock.Millis  // delay of the first read on a new connection
	MedianSearchTime grclock.Millis  // median time of a search
	WarmUp           grclock.Millis  // for this long after the start searches take warmUpFactor times as long
	Seed             uint64          // for the times of searches, together with the ID
}

// Faults are the faults injected into one searcher.
type Faults struct {
	Slowdown     int64 `json:"slowdown"`    // factor for the time of a search; 0 and 1 have no effect
	OneIn        int64 `json:"one_in"`      // slow down one in this many searches, at random; 0 and 1: all
	Leaving      bool  `json:"leaving"`     // reject searches with status "draining" and report leaving on /load
	Shed         bool  `json:"shed"`        // shed all searches
	Unresponsive bool  `json:"silent"`      // accept requests without ever responding
	Down         bool  `json:"down"`        // close all connections and accept no new ones
	LoadLagMS    int64 `json:"load_lag_ms"` // minimum time between two updates of the load that /load reports
}

// warmUpFactor is the factor for the time of a search during the warm-up.
const warmUpFactor = 3

// queueFactor is the length of the queue as a multiple of the slots.
const queueFactor = 2

// Searcher simulates one searcher. Set the exported fields before Run, except
// for PeakConns.
type Searcher struct {
	Spec      Spec
	Clock     grclock.Clock
	Snapshots *Snapshots

	mu           sync.Mutex
	faults       Faults
	random       grident.Random
	slots        chan struct{}
	queued       int
	running      map[attemptKey]context.CancelFunc
	conns        map[net.Conn]bool
	PeakConns    int            // highest number of simultaneous connections; read it after Run has returned
	refusedConns int            // connections closed because of the limit
	runs         map[string]int // number of runs by request ID
	started      grclock.Millis
	reportedLoad grwire.LoadReply // last load reported on /load
	reportedAt   grclock.Millis
}

type attemptKey struct {
	caller  string
	attempt uint64
}

// Run serves until ctx is cancelled. It fails if it cannot listen on the
// address.
func (s *Searcher) Run(ctx context.Context) error {
	s.slots = make(chan struct{}, s.Spec.Slots)
	s.running = make(map[attemptKey]context.CancelFunc)
	s.conns = make(map[net.Conn]bool)
	s.runs = make(map[string]int)
	s.started = s.Clock.Now()
	s.random = grident.Random{State: s.Spec.Seed ^ grident.Hash(s.Spec.ID)}
	listener, err := net.Listen("tcp", string(s.Spec.Address))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+grwire.SearchPath, s.serveSearch)
	mux.HandleFunc("POST "+grwire.CancelPath, s.serveCancel)
	mux.HandleFunc("GET "+grwire.LoadPath, s.serveLoad)
	server := &grhttp.Server{Handler: mux}
	return server.Serve(ctx, &limitListener{Listener: listener, searcher: s})
}

// SetFaults replaces the injected faults.
func (s *Searcher) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		for c := range s.conns {
			c.Close()
		}
	}
}

// Report holds the statistics of a searcher since its start.
type Report struct {
	ID           string         `json:"id"`
	Connections  int            `json:"connections"`         // currently open
	PeakConns    int            `json:"max_connections"`     // highest number open at the same time
	RefusedConns int            `json:"refused_connections"` // closed because of the limit
	Runs         map[string]int `json:"ran"`                 // number of runs by request ID
}

// Report returns the statistics so far.
func (s *Searcher) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return Report{ID: s.Spec.ID, Connections: len(s.conns), PeakConns: s.PeakConns, RefusedConns: s.refusedConns, Runs: runs}
}

func (s *Searcher) serveSearch(w http.ResponseWriter, r *http.Request) {
	var req grwire.SearchRequest
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		grhttp.WriteJSON(w, http.StatusBadRequest, grwire.SearchReply{Status: "failed"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), grclock.Millis(req.RemainingMS).Duration())
	defer cancel()
	reply := grwire.SearchReply{Attempt: req.Attempt, Index: req.Index, Map: req.Map, From: req.From, To: req.To}
	reply.Status = s.rejection(&req)
	if reply.Status == "" {
		reply.Status = s.search(ctx, cancel, &req, &reply)
	}
	if s.unresponsive() {
		<-r.Context().Done()
		return
	}
	reply.Load = s.load()
	grhttp.WriteJSON(w, http.StatusOK, reply)
}

func (s *Searcher) unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Unresponsive
}

// rejection returns the status with which a search is rejected, or "" if it can
// be queued.
func (s *Searcher) rejection(req *grwire.SearchRequest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Leaving:
		return "draining"
	case s.faults.Shed, s.queued >= queueFactor*s.Spec.Slots:
		return "shed"
	}
	return s.Snapshots.Status(s.Spec.Service, req)
}

// search waits for a slot, simulates the run of the search and fills in the
// records. It returns the status of the reply.
func (s *Searcher) search(ctx context.Context, cancel context.CancelFunc, req *grwire.SearchRequest, reply *grwire.SearchReply) string {
	key := attemptKey{req.Caller, req.Attempt}
	searchTime := s.enqueue(key, cancel)
	defer s.removeAttempt(key)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.addQueued(-1)
		return "cancelled"
	}
	s.addQueued(-1)
	defer func() { <-s.slots }()
	if req.RequestID != "" {
		s.mu.Lock()
		s.runs[req.RequestID]++
		s.mu.Unlock()
	}
	if !s.Clock.Sleep(ctx, searchTime) {
		return "cancelled"
	}
	reply.Records = s.Snapshots.search(s.Spec.Collection, req)
	return "ok"
}

func (s *Searcher) enqueue(key attemptKey, cancel context.CancelFunc) grclock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued++
	s.running[key] = cancel
	return s.drawSearchTime()
}

func (s *Searcher) removeAttempt(key attemptKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, key)
}

func (s *Searcher) addQueued(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued += n
}

// drawSearchTime draws the time of one search: 0.5 to 1.5 times the median, and
// longer during the warm-up or with an injected slowdown.
func (s *Searcher) drawSearchTime() grclock.Millis {
	t := float64(s.Spec.MedianSearchTime) * (0.5 + s.random.Float64())
	if s.Clock.Now()-s.started < s.Spec.WarmUp {
		t *= warmUpFactor
	}
	slow := s.faults.Slowdown > 1
	if slow && s.faults.OneIn > 1 {
		slow = s.random.IntN(int(s.faults.OneIn)) == 0
	}
	if slow {
		t *= float64(s.faults.Slowdown)
	}
	return grclock.Millis(t + 0.5)
}

func (s *Searcher) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req grwire.CancelRequest
	if json.NewDecoder(r.Body).Decode(&req) == nil {
		s.mu.Lock()
		cancel := s.running[attemptKey{req.Caller, req.Attempt}]
		s.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	}
	grhttp.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Searcher) serveLoad(w http.ResponseWriter, r *http.Request) {
	if s.unresponsive() {
		<-r.Context().Done()
		return
	}
	grhttp.WriteJSON(w, http.StatusOK, s.delayedLoad(s.load()))
}

// delayedLoad returns the load to report on /load: the current one, or the last
// one reported if that is more recent than Faults.LoadLagMS.
func (s *Searcher) delayedLoad(current grwire.LoadReply) grwire.LoadReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.Clock.Now(); now-s.reportedAt >= grclock.Millis(s.faults.LoadLagMS) {
		s.reportedLoad, s.reportedAt = current, now
	}
	return s.reportedLoad
}

func (s *Searcher) load() grwire.LoadReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return grwire.LoadReply{
		Busy:        len(s.slots),
		Queued:      s.queued,
		Connections: len(s.conns),
		Leaving:     s.faults.Leaving,
	}
}

// limitListener is a listener that closes connections over the searcher's limit
// at once.
type limitListener struct {
	net.Listener
	searcher *Searcher
}

// Accept returns the next connection that is within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.searcher.track(c); tracked != nil {
			return tracked, nil
		}
		c.Close()
	}
}

func (s *Searcher) track(c net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil
	}
	if len(s.conns) >= s.Spec.ConnLimit {
		s.refusedConns++
		return nil
	}
	s.conns[c] = true
	s.PeakConns = max(s.PeakConns, len(s.conns))
	return &trackedConn{Conn: c, searcher: s}
}

// trackedConn is a connection that counts towards the searcher's limit until it
// is closed.
type trackedConn struct {
	net.Conn
	searcher  *Searcher
	delayOnce sync.Once
	closeOnce sync.Once
}

// Read delays the first read by the connect delay.
func (c *trackedConn) Read(data []byte) (int, error) {
	c.delayOnce.Do(func() { c.searcher.Clock.Sleep(context.Background(), c.searcher.Spec.ConnectDelay) })
	return c.Conn.Read(data)
}

// Close closes the connection and frees its place in the searcher's limit.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() {
		c.searcher.mu.Lock()
		delete(c.searcher.conns, c.Conn)
		c.searcher.mu.Unlock()
	})
	return c.Conn.Close()
}
