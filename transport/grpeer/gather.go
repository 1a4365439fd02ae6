package grpeer

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"sync/atomic"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grqueue"
	"geraniumrouter/transport/grdial"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grlimit"
)

// Gather answers a call for the partial results of a group of shards.
func (s *Service) Gather(frame grwire.Frame[grwire.GatherRequest], answer *grwire.Frame[grwire.GatherAnswer]) error {
	request := frame.Message()
	if request == nil {
		return &grwire.PeerMessageError{}
	}
	return s.catch(func() error {
		reply := s.OnGather(*request)
		*answer = grwire.NewFrame(&reply)
		return nil
	})
}

// RateLimit answers a call for units of searchers' rate limits.
func (s *Service) RateLimit(frame grwire.Frame[grwire.RateLimitRequest], answer *grwire.Frame[grwire.RateLimitAnswer]) error {
	request := frame.Message()
	if request == nil {
		return &grwire.PeerMessageError{}
	}
	return s.catch(func() error {
		reply := s.OnRateLimit(*request)
		*answer = grwire.NewFrame(&reply)
		return nil
	})
}

// GroupEvent is the result of a group call, which requests the partial results of a
// group of shards from a peer.
type GroupEvent struct {
	To      grident.InstanceID
	Request *grwire.GatherRequest
	Answer  *grwire.GatherAnswer // nil if the call failed
	Sent    bool                 // with a nil Answer: whether the peer may have received the call
}

// RateLimitEvent is the result of a call for units of searchers' rate limits.
type RateLimitEvent struct {
	To      grident.InstanceID
	Request *grwire.RateLimitRequest
	Answer  *grwire.RateLimitAnswer // nil if the call failed
}

// Limits of calls on behalf of requests.
const (
	groupDialTimeout   = 150 * grclock.Millisecond // a slower peer is of no use for a query
	groupQueueSize     = 256                       // calls waiting to be sent to one peer
	maxUnreportedCalls = 4096                      // finished calls waiting to be reported
)

// GroupClient sends the calls that requests wait for, group calls and those for units of
// rate limits, over one connection per peer. These are separate from the connections of
// Client, so that neither they nor heartbeats wait for the other. Set the exported fields
// before use.
type GroupClient struct {
	Group       *grgroup.Group
	OnEvent     func(GroupEvent)
	OnRateLimit func(RateLimitEvent)

	readBudget grlimit.Budget
	mu         sync.Mutex
	conns      map[grident.InstanceID]*groupConn
}

// peerCall is a call with one of the two requests.
type peerCall struct {
	address   grident.Address
	counters  grdial.ByteCounters
	group     *grwire.GatherRequest
	rateLimit *grwire.RateLimitRequest
}

// groupConn is the connection to one peer. One goroutine sends calls, another reports
// their results.
type groupConn struct {
	id      grident.InstanceID
	parent  *GroupClient
	calls   *grqueue.Queue[peerCall]
	done    chan *rpc.Call
	broken  atomic.Bool
	client  *rpc.Client
	address grident.Address
}

// Send queues a group call to a peer; its result is reported to OnEvent. The bytes of a
// connection opened for the call are counted by counters.
func (g *GroupClient) Send(to grident.InstanceID, address grident.Address, counters grdial.ByteCounters, request *grwire.GatherRequest) {
	g.enqueue(to, peerCall{address: address, counters: counters, group: request})
}

// SendRateLimit queues a call for units of rate limits to a peer; its result is reported to
// OnRateLimit. Bytes are counted as by Send.
func (g *GroupClient) SendRateLimit(to grident.InstanceID, address grident.Address, counters grdial.ByteCounters, request *grwire.RateLimitRequest) {
	g.enqueue(to, peerCall{address: address, counters: counters, rateLimit: request})
}

func (g *GroupClient) enqueue(to grident.InstanceID, c peerCall) {
	g.mu.Lock()
	if g.conns == nil {
		g.conns = make(map[grident.InstanceID]*groupConn)
	}
	p := g.conns[to]
	if p == nil {
		p = &groupConn{id: to, parent: g, calls: grqueue.New[peerCall](groupQueueSize), done: make(chan *rpc.Call, maxUnreportedCalls)}
		g.conns[to] = p
		g.Group.Start(p.send)
		g.Group.Start(p.report)
	}
	g.mu.Unlock()
	if !p.calls.TryPut(c) {
		p.reportUnsent(&c)
	}
}

// reportUnsent reports a call that was not sent.
func (p *groupConn) reportUnsent(c *peerCall) {
	if c.rateLimit != nil {
		p.parent.OnRateLimit(RateLimitEvent{To: p.id, Request: c.rateLimit})
		return
	}
	p.parent.OnEvent(GroupEvent{To: p.id, Request: c.group})
}

func (p *groupConn) send(ctx context.Context) error {
	defer p.disconnect()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-p.calls.Items():
			if !p.connect(ctx, &c) {
				p.reportUnsent(&c)
				p.failQueued()
				continue
			}
			p.start(&c)
		}
	}
}

func (p *groupConn) start(c *peerCall) {
	if c.rateLimit != nil {
		p.client.Go(serviceName+".RateLimit", grwire.NewFrame(c.rateLimit), &grwire.Frame[grwire.RateLimitAnswer]{}, p.done)
		return
	}
	p.client.Go(serviceName+".Gather", grwire.NewFrame(c.group), &grwire.Frame[grwire.GatherAnswer]{}, p.done)
}

// failQueued reports all queued calls to an unreachable peer as failed.
func (p *groupConn) failQueued() {
	for {
		select {
		case c := <-p.calls.Items():
			p.reportUnsent(&c)
		default:
			return
		}
	}
}

// connect opens a connection unless one is open, and reports whether one is open.
func (p *groupConn) connect(ctx context.Context, c *peerCall) bool {
	if p.client != nil && !p.broken.Load() && p.address == c.address {
		return true
	}
	p.disconnect()
	conn, err := grdial.New(groupDialTimeout).DialContext(ctx, "tcp", string(c.address))
	if err != nil {
		return false
	}
	gobConn := &grlimit.GobConn{Conn: c.counters.Wrap(conn), MaxMessage: maxMessageBytes, Budget: &p.parent.readBudget}
	p.client, p.address = rpc.NewClient(gobConn), c.address
	p.broken.Store(false)
	return true
}

func (p *groupConn) disconnect() {
	if p.client != nil {
		p.client.Close()
		p.client = nil
	}
}

func (p *groupConn) report(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-p.done:
			p.reportEnded(call)
		}
	}
}

// reportEnded reports the result of a call that was sent.
func (p *groupConn) reportEnded(call *rpc.Call) {
	var refused rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &refused) {
		p.broken.Store(true)
	}
	if args, ok := call.Args.(grwire.Frame[grwire.RateLimitRequest]); ok {
		e := RateLimitEvent{To: p.id, Request: args.Message()}
		if call.Error == nil {
			e.Answer = call.Reply.(*grwire.Frame[grwire.RateLimitAnswer]).Message()
		}
		p.parent.OnRateLimit(e)
		return
	}
	e := GroupEvent{To: p.id, Request: call.Args.(grwire.Frame[grwire.GatherRequest]).Message()}
	if call.Error == nil {
		e.Answer = call.Reply.(*grwire.Frame[grwire.GatherAnswer]).Message()
	}
	e.Sent = e.Answer == nil
	p.parent.OnEvent(e)
}
