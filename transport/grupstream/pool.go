// Package grupstream holds the connections to searchers. It carries out the
// actions of the leaves, one goroutine per connection, and reports what came
// of them as events.
//
//	pool := &grupstream.Pool{Group: group, Clock: clock, Report: events.Put}
//	pool.Do(job)
package grupstream

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grring"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grtrace"
)

// Place names a connection: the leaf, its searcher and the connection there.
type Place struct {
	Leaf     int32
	Searcher int32
	Conn     grleaf.ConnID
}

// EventKind tells what happened.
type EventKind uint8

// The events of connections.
const (
	Opened   EventKind = iota // a connection is ready
	NotOpen                   // a connection could not be opened
	Replied                   // an attempt ended
	Checked                   // an idle connection was checked
	Ended                     // the other end closed the connection
	LoadRead                  // the control connection read the load
)

// Event is what happened on a connection.
type Event struct {
	Kind     EventKind
	Place    Place
	Reply    grleaf.Reply
	Healthy  bool
	Load     grwire.LoadReply
	Searcher grid.SearcherID  // for LoadRead
	Run      grid.Incarnation // for LoadRead
}

// Sending is a sub-request to be sent on a connection.
type Sending struct {
	Context context.Context // carries the trace
	Request grwire.SearchRequest
}

// Limits of the connections.
const (
	dialTimeout   = grclock.Second
	connRing      = 2  // jobs that wait for one connection
	controlRing   = 64 // cancellations that wait for one searcher
	maxReplyBytes = 64 << 20
)

// Pool holds the connections to all searchers. Set the exported fields before
// the first call.
type Pool struct {
	Group  *grgroup.Group
	Clock  grclock.Clock
	Silent grclock.Millis // an answer later than this ends the connection
	Report func(Event)
	Caller string // this instance and run, for searchers

	mu       sync.Mutex
	conns    map[Place]*conn
	controls map[grid.Address]*control
}

type jobKind uint8

const (
	jobSend jobKind = iota
	jobCheck
	jobClose
)

type job struct {
	kind    jobKind
	sending Sending
}

// Open opens a connection to the address and reports Opened or NotOpen.
func (p *Pool) Open(place Place, address grid.Address) {
	p.mu.Lock()
	if p.conns == nil {
		p.conns = make(map[Place]*conn)
	}
	c := &conn{pool: p, place: place, address: address, jobs: grring.New[job](connRing)}
	p.conns[place] = c
	p.mu.Unlock()
	p.Group.Start(c.run)
}

// Send sends a sub-request on an open connection and reports Replied.
func (p *Pool) Send(place Place, sending Sending) {
	if !p.offer(place, job{kind: jobSend, sending: sending}) {
		reply := grleaf.Reply{Attempt: grid.AttemptID(sending.Request.Attempt), Kind: grleaf.Refused}
		p.Report(Event{Kind: Replied, Place: place, Reply: reply})
	}
}

// Check asks for the load on an idle connection and reports Checked.
func (p *Pool) Check(place Place) {
	if !p.offer(place, job{kind: jobCheck}) {
		p.Report(Event{Kind: Checked, Place: place})
	}
}

// Close closes a connection.
func (p *Pool) Close(place Place) {
	p.mu.Lock()
	c := p.conns[place]
	delete(p.conns, place)
	p.mu.Unlock()
	if c != nil {
		c.close()
	}
}

func (p *Pool) offer(place Place, j job) bool {
	p.mu.Lock()
	c := p.conns[place]
	p.mu.Unlock()
	return c != nil && c.jobs.Offer(j)
}

// conn is one connection to a searcher.
type conn struct {
	pool    *Pool
	place   Place
	address grid.Address
	jobs    *grring.Ring[job]
	closing atomic.Bool
	mu      sync.Mutex
	link    *link
}

func (c *conn) run(ctx context.Context) error {
	l, err := c.pool.connect(ctx, c.address)
	if err != nil {
		c.pool.Report(Event{Kind: NotOpen, Place: c.place})
		return nil
	}
	c.mu.Lock()
	c.link = l
	c.mu.Unlock()
	defer l.Close()
	if c.closing.Load() {
		return nil
	}
	c.pool.Report(Event{Kind: Opened, Place: c.place})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.ended:
			c.pool.Report(Event{Kind: Ended, Place: c.place})
			return nil
		case j := <-c.jobs.Out():
			if j.kind == jobClose {
				return nil
			}
			c.do(l, j)
		}
	}
}

func (c *conn) do(l *link, j job) {
	if j.kind == jobCheck {
		_, err := readLoad(l, c.pool.Silent)
		c.pool.Report(Event{Kind: Checked, Place: c.place, Healthy: err == nil})
		return
	}
	reply := c.search(l, &j.sending)
	c.pool.Report(Event{Kind: Replied, Place: c.place, Reply: reply})
}

// close ends the connection, also one that waits for an answer.
func (c *conn) close() {
	c.closing.Store(true)
	c.mu.Lock()
	if c.link != nil {
		c.link.Close()
	}
	c.mu.Unlock()
	c.jobs.Offer(job{kind: jobClose})
}

func (c *conn) search(l *link, sending *Sending) grleaf.Reply {
	ctx, span := grtrace.Start(sending.Context, "searcher")
	defer span.End()
	asked := &sending.Request
	l.sent = 0
	var got grwire.SearchReply
	header := http.Header{}
	grtrace.Inject(ctx, header)
	err := l.exchange(http.MethodPost, grwire.SearchPath, header, grwire.Encode(asked), c.pool.Silent, &got)
	if err != nil {
		return grleaf.Reply{Attempt: grid.AttemptID(asked.Attempt), Kind: l.failure()}
	}
	return grwire.ReplyFor(asked, &got)
}
