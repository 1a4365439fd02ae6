package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*storeObject
	history  []storeEvent
	changed  chan struct{} // closed at the next change
	era      uint64        // how often the store has come back from a copy
	oldest   uint64        // revision from which on its history is there
	away     bool          // calls end without an answer
	// lateRemoval, if set, selects calls that remove an object whose answer is lost and that are
	// executed after the time returned.
	lateRemoval func(kind, name string) (after time.Duration, late bool)
	noteLate    func(kind, name, what string)
}

type storeMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created_revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeObject struct {
	Meta   storeMeta       `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision uint64
	Object   storeObject `json:"object"`
	Deleted  bool        `json:"deleted"`
}

const storePage = 500

func newStore() (*store, error) {
	s := &store{revision: 100, kinds: make(map[string]map[string]*storeObject), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes an object as the operator or a searcher does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *store) write(kind, name string, spec json.RawMessage) *storeObject {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*storeObject)
	}
	o := s.kinds[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	created := s.revision
	if o != nil {
		created = o.Meta.Created
	}
	o = &storeObject{Meta: storeMeta{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	s.kinds[kind][name] = o
	s.note(storeEvent{kind, s.revision, *o, false})
	return o
}

func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) bool {
	o := s.kinds[kind][name]
	if o == nil {
		return false
	}
	delete(s.kinds[kind], name)
	s.revision++
	last := *o
	last.Meta.Revision = s.revision
	s.note(storeEvent{kind, s.revision, last, true})
	return true
}

func (s *store) note(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	query := r.URL.Query()
	s.stateEra(w)
	s.abortIfAway()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodDelete && s.loses(r, kind, name):
	default:
		s.change(w, r, kind, name)
	}
}

// loseRemoval makes the store lose the answer to the next call that removes an object of that name,
// and execute it after a time.
func (s *store) loseRemoval(w *world, of string, after time.Duration, enabled bool) {
	var lost sync.Once
	s.noteLate = func(kind, name, what string) { w.note("store: DELETE /objects/%s/%s %s", kind, name, what) }
	s.lateRemoval = func(_, name string) (time.Duration, bool) {
		late := false
		if enabled && name == of {
			lost.Do(func() { late = true })
		}
		return after, late
	}
}

// loses reports whether the answer to a call that removes an object is lost. The call is executed
// later then, and its connection returns nothing further.
func (s *store) loses(r *http.Request, kind, name string) bool {
	if s.lateRemoval == nil {
		return false
	}
	after, late := s.lateRemoval(kind, name)
	if !late {
		return false
	}
	s.noteLate(kind, name, "answer lost")
	go func() {
		time.Sleep(after)
		if s.remove(kind, name) {
			s.noteLate(kind, name, "executed late")
		}
	}()
	<-r.Context().Done()
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeObject{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, *o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	more := len(items) > storePage
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), storePage)], "more": more, "at_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_timeout_ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.abortIfAway()
		s.mu.Lock()
		if from > s.revision || from < s.oldest {
			s.mu.Unlock()
			s.stateEra(w)
			reply(w, http.StatusGone, nil)
			return
		}
		events := []storeEvent{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].revision > from; i-- {
			if s.history[i].kind == kind {
				events = append([]storeEvent{s.history[i]}, events...)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "at_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change answers the calls that read or write one object.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent storeObject
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &sent) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.kinds[kind][name]
	switch r.Method {
	case http.MethodGet:
		if held == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, held)
	case http.MethodPost:
		if held = s.kinds[kind][sent.Meta.Name]; held != nil {
			reply(w, http.StatusConflict, held)
			return
		}
		reply(w, http.StatusOK, s.write(kind, sent.Meta.Name, sent.Spec))
	case http.MethodPut:
		if held == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, s.write(kind, name, sent.Spec))
	case http.MethodDelete:
		if !s.removeLocked(kind, name) {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}

func (s *store) stateEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

// storeCopy is a copy of the store's state.
type storeCopy struct {
	revision uint64
	kinds    map[string]map[string]*storeObject
}

// copyState makes a copy.
func (s *store) copyState() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{s.revision, make(map[string]map[string]*storeObject)}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// abortIfAway ends the call and its connection while the store is away.
func (s *store) abortIfAway() {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
}

// goAway lets the store answer nothing until it comes back.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack lets the store come back from a copy. What the operator and the searchers wrote since
// is written again at once.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := s.kinds
	s.away = false
	s.era++
	s.revision, s.kinds, s.oldest, s.history = c.revision, c.kinds, c.revision, nil
	for _, kind := range []string{"config", "servers"} {
		for name, o := range written[kind] {
			s.write(kind, name, o.Spec)
		}
	}
}
