// Package grstandupstream is a small stand-in for the systems served: searchers
// with slots, a connection limit, a connect delay, stragglers, index versions
// and shard ranges. Faults are turned on over HTTP.
//
//	searcher := &grstandupstream.Searcher{Spec: spec, Clock: clock, Holdings: holdings}
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
	"geraniumrouter/state/grid"
	"geraniumrouter/transport/grhttp"
)

// Spec describes one searcher.
type Spec struct {
	ID         string
	Service    grid.Service
	Collection grid.Collection
	Address    grid.Address
	Slots      int
	ConnLimit  int
	Connect    grclock.Millis
	Service50  grclock.Millis // median time of one search
	Cold       grclock.Millis // after the start searches take coldFactor times as long
	Seed       uint64
}

// Faults is what goes wrong at one searcher.
type Faults struct {
	Slowdown  int64 `json:"slowdown"` // factor of every search; 0 stands for 1
	OneIn     int64 `json:"one_in"`   // of so many searches one is slowed
	Leaving   bool  `json:"leaving"`
	Shed      bool  `json:"shed"`
	Silent    bool  `json:"silent"`      // takes requests and never answers
	Down      bool  `json:"down"`        // ends connections and takes no new ones
	LoadLagMS int64 `json:"load_lag_ms"` // the load endpoint answers what was true so long ago
}

// coldFactor is how much longer searches take after the start.
const coldFactor = 3

// queueFactor times the slots is the number of searches that wait.
const queueFactor = 2

// Searcher plays one searcher. Set the exported fields before Run.
type Searcher struct {
	Spec     Spec
	Clock    grclock.Clock
	Holdings *Holdings

	mu       sync.Mutex
	faults   Faults
	random   grid.Random
	slots    chan struct{}
	waiting  int
	running  map[attemptKey]context.CancelFunc
	conns    map[net.Conn]bool
	MaxConns int // most connections at once, for checks after Run
	refused  int
	ran      map[string]int
	started  grclock.Millis
	said     grwire.LoadReply // what the load endpoint says while it lags
	saidAt   grclock.Millis
}

type attemptKey struct {
	caller  string
	attempt uint64
}

// Run serves until ctx ends.
func (s *Searcher) Run(ctx context.Context) error {
	s.slots = make(chan struct{}, s.Spec.Slots)
	s.running = make(map[attemptKey]context.CancelFunc)
	s.conns = make(map[net.Conn]bool)
	s.ran = make(map[string]int)
	s.started = s.Clock.Now()
	s.random = grid.Random{State: s.Spec.Seed ^ grid.Hash(s.Spec.ID)}
	listener, err := net.Listen("tcp", string(s.Spec.Address))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+grwire.SearchPath, s.serveSearch)
	mux.HandleFunc("POST "+grwire.CancelPath, s.serveCancel)
	mux.HandleFunc("GET "+grwire.LoadPath, s.serveLoad)
	server := &grhttp.Server{Handler: mux}
	return server.Serve(ctx, &limited{Listener: listener, searcher: s})
}

// SetFaults replaces the faults.
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

// Report is what checks want to know of a searcher.
type Report struct {
	ID          string         `json:"id"`
	Connections int            `json:"connections"`
	MaxConns    int            `json:"max_connections"`
	Refused     int            `json:"refused_connections"`
	Ran         map[string]int `json:"ran"` // runs of each request id
}

// Report returns what happened so far.
func (s *Searcher) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := make(map[string]int, len(s.ran))
	for id, n := range s.ran {
		ran[id] = n
	}
	return Report{ID: s.Spec.ID, Connections: len(s.conns), MaxConns: s.MaxConns, Refused: s.refused, Ran: ran}
}

func (s *Searcher) serveSearch(w http.ResponseWriter, r *http.Request) {
	var ask grwire.SearchRequest
	if json.NewDecoder(r.Body).Decode(&ask) != nil {
		grhttp.Reply(w, http.StatusBadRequest, grwire.SearchReply{Status: "failed"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), grclock.Millis(ask.RemainingMS).Duration())
	defer cancel()
	reply := grwire.SearchReply{Attempt: ask.Attempt, Index: ask.Index, Map: ask.Map, From: ask.From, To: ask.To}
	reply.Status = s.refusal(&ask)
	if reply.Status == "" {
		reply.Status = s.search(ctx, cancel, &ask, &reply)
	}
	if s.silent() {
		<-r.Context().Done()
		return
	}
	reply.Load = s.load()
	grhttp.Reply(w, http.StatusOK, reply)
}

func (s *Searcher) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Silent
}

// refusal returns the status of a search that is not started, or "".
func (s *Searcher) refusal(ask *grwire.SearchRequest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Leaving:
		return "draining"
	case s.faults.Shed, s.waiting >= queueFactor*s.Spec.Slots:
		return "shed"
	}
	return s.Holdings.Status(s.Spec.Service, ask)
}

// search waits for a slot, takes its time and fills in the records.
func (s *Searcher) search(ctx context.Context, cancel context.CancelFunc, ask *grwire.SearchRequest, reply *grwire.SearchReply) string {
	key := attemptKey{ask.Caller, ask.Attempt}
	span := s.enter(key, cancel)
	defer s.leave(key)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.changeWaiting(-1)
		return "cancelled"
	}
	s.changeWaiting(-1)
	defer func() { <-s.slots }()
	if ask.RequestID != "" {
		s.mu.Lock()
		s.ran[ask.RequestID]++
		s.mu.Unlock()
	}
	if !s.Clock.Sleep(ctx, span) {
		return "cancelled"
	}
	reply.Records = s.Holdings.records(s.Spec.Collection, ask)
	return "ok"
}

func (s *Searcher) enter(key attemptKey, cancel context.CancelFunc) grclock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	s.running[key] = cancel
	return s.span()
}

func (s *Searcher) leave(key attemptKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, key)
}

func (s *Searcher) changeWaiting(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += by
}

// span draws the time of one search: half to one and a half of the median,
// longer while slowed.
func (s *Searcher) span() grclock.Millis {
	base := float64(s.Spec.Service50) * (0.5 + s.random.Float())
	if s.Clock.Now()-s.started < s.Spec.Cold {
		base *= coldFactor
	}
	slow := s.faults.Slowdown > 1
	if slow && s.faults.OneIn > 1 {
		slow = s.random.Below(int(s.faults.OneIn)) == 0
	}
	if slow {
		base *= float64(s.faults.Slowdown)
	}
	return grclock.Millis(base + 0.5)
}

func (s *Searcher) serveCancel(w http.ResponseWriter, r *http.Request) {
	var ask grwire.CancelRequest
	if json.NewDecoder(r.Body).Decode(&ask) == nil {
		s.mu.Lock()
		cancel := s.running[attemptKey{ask.Caller, ask.Attempt}]
		s.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	}
	grhttp.Reply(w, http.StatusOK, struct{}{})
}

func (s *Searcher) serveLoad(w http.ResponseWriter, r *http.Request) {
	if s.silent() {
		<-r.Context().Done()
		return
	}
	grhttp.Reply(w, http.StatusOK, s.lagging(s.load()))
}

// lagging returns the load that the load endpoint says: the true one, or an
// older one while it lags.
func (s *Searcher) lagging(now grwire.LoadReply) grwire.LoadReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.Clock.Now(); at-s.saidAt >= grclock.Millis(s.faults.LoadLagMS) {
		s.said, s.saidAt = now, at
	}
	return s.said
}

func (s *Searcher) load() grwire.LoadReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return grwire.LoadReply{
		Busy:        len(s.slots),
		Queued:      s.waiting,
		Connections: len(s.conns),
		Leaving:     s.faults.Leaving,
	}
}

// limited is a listener that counts connections and refuses those over the
// limit.
type limited struct {
	net.Listener
	searcher *Searcher
}

// Accept returns the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if counted := l.searcher.admit(c); counted != nil {
			return counted, nil
		}
		c.Close()
	}
}

func (s *Searcher) admit(c net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil
	}
	if len(s.conns) >= s.Spec.ConnLimit {
		s.refused++
		return nil
	}
	s.conns[c] = true
	s.MaxConns = max(s.MaxConns, len(s.conns))
	return &counted{Conn: c, searcher: s}
}

// counted is a connection that is slow at first and is counted until it ends.
type counted struct {
	net.Conn
	searcher *Searcher
	opened   sync.Once
	closed   sync.Once
}

// Read delays the first bytes by the connect delay.
func (c *counted) Read(data []byte) (int, error) {
	c.opened.Do(func() { c.searcher.Clock.Sleep(context.Background(), c.searcher.Spec.Connect) })
	return c.Conn.Read(data)
}

// Close ends the connection.
func (c *counted) Close() error {
	c.closed.Do(func() {
		c.searcher.mu.Lock()
		delete(c.searcher.conns, c.Conn)
		c.searcher.mu.Unlock()
	})
	return c.Conn.Close()
}
