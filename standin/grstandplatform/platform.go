// Package grstandplatform is a small stand-in for the platform: an object API
// with versions, conditional updates and watches, and a lagging list of
// instances. Faults are turned on over HTTP.
//
//	platform := grstandplatform.New(grclock.System())
//	http.Serve(listener, platform.Handler())
package grstandplatform

import (
	"net/http"
	"sort"
	"strings"
	"sync"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
)

// FaultsPath and the paths below it are for tests and demonstrations only.
const (
	FaultsPath       = "/control/faults"
	SetInstancesPath = "/control/instances"
	CompactPath      = "/control/compact"
	CountsPath       = "/control/counts"
)

// Faults is what goes wrong at present.
type Faults struct {
	Outage      bool  `json:"outage"`
	SlowMS      int64 `json:"slow_ms"`
	LoseReplies int   `json:"lose_replies"` // writes that apply without an answer
	StaleReads  bool  `json:"stale_reads"`  // reads give the version before the last
	ListLagMS   int64 `json:"list_lag_ms"`  // age of the list of instances
}

// Counts is the number of calls since the start.
type Counts struct {
	Reads   map[string]int `json:"reads"`
	Writes  map[string]int `json:"writes"`
	Watches int            `json:"watches"`
}

type listAt struct {
	at   grclock.Millis
	list []grwire.InstanceWire
}

// Platform holds the objects. It is made by New.
type Platform struct {
	clock   grclock.Clock
	mu      sync.Mutex
	objects map[string]grwire.ObjectWire
	former  map[string]grwire.ObjectWire // the version before the last
	log     []grwire.ObjectWire          // changes, for watches
	version uint64
	floor   uint64 // versions up to here are compacted
	changed chan struct{}
	lists   []listAt
	faults  Faults
	counts  Counts
}

// logSize is the number of changes kept for watches.
const logSize = 1000

// New returns an empty platform.
func New(clock grclock.Clock) *Platform {
	return &Platform{
		clock:   clock,
		objects: make(map[string]grwire.ObjectWire),
		former:  make(map[string]grwire.ObjectWire),
		changed: make(chan struct{}),
		counts:  Counts{Reads: make(map[string]int), Writes: make(map[string]int)},
	}
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(list []grwire.InstanceWire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, listAt{p.clock.Now(), list})
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Put writes an object without a condition, as the platform's own tools do.
func (p *Platform) Put(key string, value any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.write(key, grwire.Encode(value))
}

func (p *Platform) write(key string, value []byte) grwire.ObjectWire {
	p.version++
	o := grwire.ObjectWire{Key: key, Version: p.version, Value: value}
	p.former[key] = p.objects[key]
	p.objects[key] = o
	p.log = append(p.log, o)
	if len(p.log) > logSize {
		p.compact(len(p.log) - logSize)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return o
}

func (p *Platform) compact(n int) {
	p.floor = p.log[n-1].Version
	p.log = append([]grwire.ObjectWire{}, p.log[n:]...)
}

func (p *Platform) read(key string) grwire.ObjectWire {
	o := p.objects[key]
	if p.faults.StaleReads {
		o = p.former[key]
	}
	o.Key = key
	return o
}

func (p *Platform) list(prefix string) grwire.ListReply {
	reply := grwire.ListReply{Version: p.version, Objects: []grwire.ObjectWire{}}
	for key := range p.objects {
		if strings.HasPrefix(key, prefix) {
			reply.Objects = append(reply.Objects, p.read(key))
		}
	}
	sort.Slice(reply.Objects, func(i, j int) bool { return reply.Objects[i].Key < reply.Objects[j].Key })
	return reply
}

// since returns the changes after the version; ok is false when they are not
// kept any more.
func (p *Platform) since(version uint64) (reply grwire.ListReply, ok bool) {
	if version < p.floor {
		return reply, false
	}
	reply = grwire.ListReply{Version: p.version, Objects: []grwire.ObjectWire{}}
	for _, o := range p.log {
		if o.Version > version {
			reply.Objects = append(reply.Objects, o)
		}
	}
	return reply, true
}

// instances returns the list as old as the lag asks for.
func (p *Platform) instances() []grwire.InstanceWire {
	until := p.clock.Now() - grclock.Millis(p.faults.ListLagMS)
	list := []grwire.InstanceWire{}
	for _, l := range p.lists {
		if l.at <= until || len(list) == 0 {
			list = l.list
		}
	}
	return list
}

// Handler serves the object API and the controls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+grwire.ObjectsPath, p.faulty(p.serveList))
	mux.HandleFunc("GET "+grwire.ObjectsPath+"/{key...}", p.faulty(p.serveGet))
	mux.HandleFunc("PUT "+grwire.ObjectsPath+"/{key...}", p.faulty(p.servePut))
	mux.HandleFunc("GET "+grwire.WatchPath, p.faulty(p.serveWatch))
	mux.HandleFunc("GET "+grwire.InstancesPath, p.faulty(p.serveInstances))
	mux.HandleFunc("POST "+FaultsPath, p.serveFaults)
	mux.HandleFunc("POST "+SetInstancesPath, p.serveSetInstances)
	mux.HandleFunc("POST "+CompactPath, p.serveCompact)
	mux.HandleFunc("GET "+CountsPath, p.serveCounts)
	return mux
}
