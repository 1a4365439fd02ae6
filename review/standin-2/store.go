package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeState tells how the store answers.
type storeState int

const (
	storeServes storeState = iota
	storeResets            // it resets every connection, open ones too
)

// meta is the description of an object.
type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_revision"`
}

// object is an object of the store.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	at      uint64
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	mu      sync.Mutex
	state   storeState
	conns   map[net.Conn]bool
	rev     uint64
	kinds   map[string]map[string]object
	log     map[string][]event
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	s := &store{address: address, conns: map[net.Conn]bool{}, rev: 100, kinds: map[string]map[string]object{}, log: map[string][]event{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = true
			if s.state == storeResets {
				reset(c)
			}
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// set changes how the store answers.
func (s *store) set(state storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	if state == storeResets {
		for c := range s.conns {
			reset(c)
		}
	}
}

// write creates or replaces an object, and reports whether the store took it.
func (s *store) write(kind, name string, spec any) bool {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != storeServes {
		return false
	}
	s.put(kind, name, data)
	return true
}

func (s *store) put(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.rev++
	o, held := s.kinds[kind][name]
	if !held {
		o.Meta = meta{Name: name, Created: s.rev}
	}
	o.Meta.Revision, o.Spec = s.rev, spec
	s.kinds[kind][name] = o
	s.note(kind, event{Object: o, at: s.rev})
	return o
}

func (s *store) note(kind string, e event) {
	s.log[kind] = append(s.log[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// drop deletes an object and reports whether it existed. The lock must be held.
func (s *store) drop(kind, name string) bool {
	o, held := s.kinds[kind][name]
	if held {
		s.rev++
		delete(s.kinds[kind], name)
		s.note(kind, event{Object: o, Deleted: true, at: s.rev})
	}
	return held
}

// ServeHTTP answers list, watch, create, replace and delete calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodGet && r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodPost:
		if o, held := s.kinds[kind][body.Meta.Name]; held {
			w.WriteHeader(http.StatusConflict)
			writeJSON(w, o)
			return
		}
		writeJSON(w, s.put(kind, body.Meta.Name, body.Spec))
	case http.MethodPut:
		o, held := s.kinds[kind][name]
		switch {
		case !held:
			w.WriteHeader(http.StatusNotFound)
		case string(o.Spec) == string(body.Spec):
			writeJSON(w, o)
		default:
			writeJSON(w, s.put(kind, name, body.Spec))
		}
	case http.MethodDelete:
		if !s.drop(kind, name) {
			w.WriteHeader(http.StatusNotFound)
		}
		writeJSON(w, map[string]any{})
	default:
		items := []object{}
		for _, o := range s.kinds[kind] {
			items = append(items, o)
		}
		slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
		writeJSON(w, map[string]any{"items": items, "more": false, "at_revision": s.rev})
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.log[kind] {
			if e.at > after {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, map[string]any{"events": events, "at_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // It fails only if the caller has gone.
}
