// Package grupstream manages the connections to searchers. It carries out the actions
// of the dispatchers (package grdispatch), with a writing and a reading goroutine per
// connection, and reports the results as events. The format of requests and responses
// is defined by an Exchange.
//
//	pool := &grupstream.Pool{Group: group, Clock: clock, OnEvent: events.Put}
//	pool.Open(place, "127.0.0.1:8000", grdial.ByteCounters{})
//	pool.Send(place, grupstream.OutgoingAttempt{Attempt: 1, Exchange: exchange, Remaining: 200})
package grupstream

import (
	"net/http"
	"sync"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grqueue"
	"geraniumrouter/transport/grdial"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grlimit"
)

// ConnKey identifies a connection by dispatcher, searcher (as index in the dispatcher)
// and connection.
type ConnKey struct {
	Dispatcher    int32
	SearcherIndex int32
	Conn          grdispatch.ConnID
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	Opened       EventKind = iota // a connection was opened
	OpenFailed                    // a connection could not be opened
	AttemptEnded                  // an attempt ended
	ProbeEnded                    // the health check of an idle connection ended
	Disconnected                  // a connection ended while no attempt was pending
	LoadReported                  // the searcher's load was read on the control connection
)

// Event reports a change of a connection or the result of an attempt.
type Event struct {
	Kind        EventKind
	Place       ConnKey
	Reply       grdispatch.Reply
	Healthy     bool
	Load        grwire.LoadReply
	Searcher    grident.SearcherID  // for LoadReported
	Incarnation grident.Incarnation // for LoadReported
	Address     grident.Address     // for LoadReported
}

// Exchange converts one attempt to an HTTP request and its response to a reply. The
// methods are called on the goroutines of the connection, Request first.
type Exchange interface {
	// Request returns the request to send. remaining is the time left for the attempt.
	Request(to grident.SearcherID, remaining grclock.Millis) (*http.Request, error)
	// Reply evaluates the response. The pool sets the reply's Attempt and closes the
	// connection if ReusableConn is false or the connection cannot be reused.
	Reply(response *http.Response, body []byte) grdispatch.Reply
}

// OutgoingAttempt is an attempt to be sent on a connection.
type OutgoingAttempt struct {
	Attempt   grident.AttemptID
	Searcher  grident.SearcherID
	Remaining grclock.Millis
	SendBy    grclock.Millis // it is not sent later but reported as Withheld; 0: no limit
	Exchange  Exchange
}

// Timeout and queue sizes of connections.
const (
	dialTimeout           = grclock.Second
	connQueueSize         = 2  // jobs per connection
	cancellationQueueSize = 64 // cancellations per searcher
)

// Pool manages the connections to all searchers. Set the exported fields before the
// first call.
type Pool struct {
	Group           *grgroup.Group
	Clock           grclock.Clock
	ResponseTimeout grclock.Millis // response timeout, after which the connection is closed; 0: none
	OnEvent         func(Event)
	Instance        string         // id of this instance and its run, sent to searchers
	Limits          ResponseLimits // sizes of responses
	// OnError is called with the error of a connection that ended because of invalid data
	// received on it, and with the error or recovered panic of an Exchange. It may be nil;
	// it is called on a goroutine of the connection.
	OnError func(address grident.Address, err error)

	bodyBudget grlimit.Budget // shared by the bodies of all responses being read
	mu         sync.Mutex
	conns      map[ConnKey]*conn
	controls   map[grident.Address]*control
}

type jobKind uint8

const (
	jobSend jobKind = iota
	jobProbe
	jobClose
)

type job struct {
	kind     jobKind
	outgoing OutgoingAttempt
}

// Open opens a connection to the address and reports Opened or OpenFailed. The bytes
// on the connection are counted by counters.
func (p *Pool) Open(place ConnKey, address grident.Address, counters grdial.ByteCounters) {
	p.mu.Lock()
	if p.conns == nil {
		p.conns = make(map[ConnKey]*conn)
	}
	c := &conn{pool: p, place: place, address: address, counters: counters, jobs: grqueue.New[job](connQueueSize)}
	p.conns[place] = c
	p.mu.Unlock()
	p.Group.Start(c.run)
}

// Send sends an attempt on an open connection and reports AttemptEnded. If the
// connection does not exist or its queue is full, the reply is Refused.
func (p *Pool) Send(place ConnKey, outgoing OutgoingAttempt) {
	if !p.enqueue(place, job{kind: jobSend, outgoing: outgoing}) {
		reply := grdispatch.Reply{Attempt: outgoing.Attempt, Kind: grdispatch.Refused}
		p.OnEvent(Event{Kind: AttemptEnded, Place: place, Reply: reply})
	}
}

// Probe requests the searcher's load on an idle connection and reports ProbeEnded.
func (p *Pool) Probe(place ConnKey) {
	if !p.enqueue(place, job{kind: jobProbe}) {
		p.OnEvent(Event{Kind: ProbeEnded, Place: place})
	}
}

func (p *Pool) reportError(address grident.Address, err error) {
	if p.OnError != nil {
		p.OnError(address, err)
	}
}

// Close closes a connection.
func (p *Pool) Close(place ConnKey) {
	p.mu.Lock()
	c := p.conns[place]
	delete(p.conns, place)
	p.mu.Unlock()
	if c != nil {
		c.close()
	}
}

func (p *Pool) enqueue(place ConnKey, j job) bool {
	p.mu.Lock()
	c := p.conns[place]
	p.mu.Unlock()
	return c != nil && c.jobs.TryPut(j)
}
