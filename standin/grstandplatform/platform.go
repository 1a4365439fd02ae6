// Package grstandplatform is a stand-in for the platform in tests and
// demonstrations: an in-memory object store with versions, conditional updates
// and watches, and an eventually consistent list of instances. Faults are
// injected over HTTP.
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

// HTTP paths that control the stand-in; the real platform does not have them.
const (
	FaultsPath       = "/control/faults"
	SetInstancesPath = "/control/instances"
	CompactPath      = "/control/compact"
	CountsPath       = "/control/counts"
)

// Faults are the faults that are currently injected.
type Faults struct {
	Outage      bool  `json:"outage"`       // connections are closed without a response
	SlowMS      int64 `json:"slow_ms"`      // delay of each response, in milliseconds
	LoseReplies int   `json:"lose_replies"` // number of following writes that are applied without a response
	StaleReads  bool  `json:"stale_reads"`  // reads return the previous version of each object
	ListLagMS   int64 `json:"list_lag_ms"`  // replication lag of the instance list, in milliseconds
}

// CallCounts holds the numbers of calls since the start. Reads and writes are
// counted by the part of the key before the first slash, lists of objects as
// "list" and lists of instances as "instances".
type CallCounts struct {
	Reads   map[string]int `json:"reads"`
	Writes  map[string]int `json:"writes"`
	Watches int            `json:"watches"`
}

type instanceList struct {
	since grclock.Millis
	list  []grwire.InstanceWire
}

// Platform is the in-memory object store. Use New to create one.
type Platform struct {
	clock         grclock.Clock
	mu            sync.Mutex
	objects       map[string]grwire.ObjectWire
	previous      map[string]grwire.ObjectWire // previous version of each object
	changes       []grwire.ObjectWire          // latest changes in order, for watches
	version       uint64
	compacted     uint64        // changes up to this version have been compacted
	changed       chan struct{} // closed and replaced on each change
	instanceLists []instanceList
	faults        Faults
	counts        CallCounts
}

// maxChanges is the maximum number of changes kept for watches.
const maxChanges = 1000

// New returns a platform without objects and instances.
func New(clock grclock.Clock) *Platform {
	return &Platform{
		clock:    clock,
		objects:  make(map[string]grwire.ObjectWire),
		previous: make(map[string]grwire.ObjectWire),
		changed:  make(chan struct{}),
		counts:   CallCounts{Reads: make(map[string]int), Writes: make(map[string]int)},
	}
}

// SetInstances replaces the list of instances. With Faults.ListLagMS, clients
// see the new list only after the lag.
func (p *Platform) SetInstances(list []grwire.InstanceWire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instanceLists = append(p.instanceLists, instanceList{p.clock.Now(), list})
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Put writes an object unconditionally, as the platform's own tools do. It
// ignores the injected faults.
func (p *Platform) Put(key string, value any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.write(key, grwire.Encode(value))
}

func (p *Platform) write(key string, value []byte) grwire.ObjectWire {
	p.version++
	o := grwire.ObjectWire{Key: key, Version: p.version, Value: value}
	p.previous[key] = p.objects[key]
	p.objects[key] = o
	p.changes = append(p.changes, o)
	if len(p.changes) > maxChanges {
		p.compact(len(p.changes) - maxChanges)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return o
}

func (p *Platform) compact(n int) {
	p.compacted = p.changes[n-1].Version
	p.changes = append([]grwire.ObjectWire{}, p.changes[n:]...)
}

func (p *Platform) read(key string) grwire.ObjectWire {
	o := p.objects[key]
	if p.faults.StaleReads {
		o = p.previous[key]
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

// changesSince returns the changes after the version; available is false if
// some of them have been compacted.
func (p *Platform) changesSince(version uint64) (reply grwire.ListReply, available bool) {
	if version < p.compacted {
		return reply, false
	}
	reply = grwire.ListReply{Version: p.version, Objects: []grwire.ObjectWire{}}
	for _, o := range p.changes {
		if o.Version > version {
			reply.Objects = append(reply.Objects, o)
		}
	}
	return reply, true
}

// instances returns the latest list that is at least as old as the configured
// lag, or the first one if none is.
func (p *Platform) instances() []grwire.InstanceWire {
	latest := p.clock.Now() - grclock.Millis(p.faults.ListLagMS)
	list := []grwire.InstanceWire{}
	for _, l := range p.instanceLists {
		if l.since <= latest || len(list) == 0 {
			list = l.list
		}
	}
	return list
}

// Handler returns the handler of the object API and of the control paths.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+grwire.ObjectsPath, p.withFaults(p.serveList))
	mux.HandleFunc("GET "+grwire.ObjectsPath+"/{key...}", p.withFaults(p.serveGet))
	mux.HandleFunc("PUT "+grwire.ObjectsPath+"/{key...}", p.withFaults(p.servePut))
	mux.HandleFunc("GET "+grwire.WatchPath, p.withFaults(p.serveWatch))
	mux.HandleFunc("GET "+grwire.InstancesPath, p.withFaults(p.serveInstances))
	mux.HandleFunc("POST "+FaultsPath, p.serveFaults)
	mux.HandleFunc("POST "+SetInstancesPath, p.serveSetInstances)
	mux.HandleFunc("POST "+CompactPath, p.serveCompact)
	mux.HandleFunc("GET "+CountsPath, p.serveCounts)
	return mux
}
