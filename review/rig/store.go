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

// store is a stand-in for the platform's metadata store (PROTOCOL.md): objects by kind
// and name, one revision counter, lists in pages, and watches.
type store struct {
	address  string
	pageSize int
	delay    time.Duration // of each answer

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{} // closed at the next change
}

type meta struct {
	Name     string   `json:"name"`
	Revision uint64   `json:"revision"`
	Created  uint64   `json:"created_revision"`
	Final    []string `json:"finalizers"`
	Deleting bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type listReply struct {
	Items    []object `json:"items"`
	More     bool     `json:"more"`
	Revision uint64   `json:"at_revision"`
}

type watchReply struct {
	Events   []event `json:"events"`
	Revision uint64  `json:"at_revision"`
}

// Figures of the store on the sheets of the small sites.
const (
	storeDelay = 4 * time.Millisecond
	storePage  = 50
)

func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), pageSize: storePage, delay: storeDelay, revision: 1,
		objects: make(map[string]map[string]*object), changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// write creates or replaces an object on behalf of the operator or a searcher and returns
// the time of the acknowledgement.
func (s *store) write(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
	return time.Now()
}

func (s *store) put(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	old := s.objects[kind][name]
	if old != nil && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := &object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision, Final: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if old != nil {
		o.Meta.Created, o.Status = old.Meta.Created, old.Status
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, Object: *o})
	return o
}

func (s *store) delete(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *o
	gone.Meta.Revision = s.revision
	s.record(event{kind: kind, Object: gone, Deleted: true})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case !strings.HasPrefix(r.URL.Path, "/objects/") || parts[0] == "" || len(parts) > 2:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && query.Get("watch") != "":
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], query.Get("after"))
	default:
		s.change(w, r, parts)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // Fails only if the caller has gone.
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	answer := listReply{Items: []object{}, Revision: s.revision}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if len(names) > s.pageSize {
		names, answer.More = names[:s.pageSize], true
	}
	for _, name := range names {
		answer.Items = append(answer.Items, *s.objects[kind][name])
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_timeout_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		answer := watchReply{Events: []event{}, Revision: s.revision}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > from {
				answer.Events = append(answer.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change answers calls for one object.
func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var got object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&got) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	name := got.Meta.Name
	if len(parts) == 2 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.objects[parts[0]][name]
	condition := got.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && held != nil,
		r.Method != http.MethodPost && held != nil && condition != 0 && condition != held.Meta.Revision:
		reply(w, http.StatusConflict, held)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.put(parts[0], name, got.Spec))
	case held == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, held)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.put(parts[0], name, got.Spec))
	case r.Method == http.MethodDelete:
		s.delete(parts[0], name)
		reply(w, http.StatusOK, held)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
