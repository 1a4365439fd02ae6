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
func (s *Service) Gather(frame grwire.GatherAskFrame, answer *grwire.GatherAnswerFrame) error {
	request := frame.Request()
	if request == nil {
		return &grwire.PeerMessageError{}
	}
	return s.catch(func() error {
		reply := s.OnGather(*request)
		*answer = grwire.NewGatherAnswerFrame(&reply)
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

// Limits of group calls.
const (
	groupDialTimeout   = 150 * grclock.Millisecond // a slower peer is of no use for a query
	groupQueueSize     = 256                       // calls waiting to be sent to one peer
	maxUnreportedCalls = 4096                      // finished calls waiting to be reported
)

// GroupClient sends group calls over one connection per peer. These are separate from
// the connections of Client, so that neither group calls nor heartbeats wait for the
// other. Set the exported fields before use.
type GroupClient struct {
	Group   *grgroup.Group
	OnEvent func(GroupEvent)

	readBudget grlimit.Budget
	mu         sync.Mutex
	conns      map[grident.InstanceID]*groupConn
}

type groupCall struct {
	address  grident.Address
	counters grdial.ByteCounters
	request  *grwire.GatherRequest
}

// groupConn is the connection to one peer. One goroutine sends calls, another reports
// their results.
type groupConn struct {
	id      grident.InstanceID
	parent  *GroupClient
	calls   *grqueue.Queue[groupCall]
	done    chan *rpc.Call
	broken  atomic.Bool
	client  *rpc.Client
	address grident.Address
}

// Send queues a group call to a peer; its result is reported to OnEvent. The bytes of a
// connection opened for the call are counted by counters.
func (g *GroupClient) Send(to grident.InstanceID, address grident.Address, counters grdial.ByteCounters, request *grwire.GatherRequest) {
	g.mu.Lock()
	if g.conns == nil {
		g.conns = make(map[grident.InstanceID]*groupConn)
	}
	p := g.conns[to]
	if p == nil {
		p = &groupConn{id: to, parent: g, calls: grqueue.New[groupCall](groupQueueSize), done: make(chan *rpc.Call, maxUnreportedCalls)}
		g.conns[to] = p
		g.Group.Start(p.send)
		g.Group.Start(p.report)
	}
	g.mu.Unlock()
	if !p.calls.TryPut(groupCall{address, counters, request}) {
		g.OnEvent(GroupEvent{To: to, Request: request})
	}
}

func (p *groupConn) send(ctx context.Context) error {
	defer p.disconnect()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-p.calls.Items():
			if !p.connect(ctx, &c) {
				p.parent.OnEvent(GroupEvent{To: p.id, Request: c.request})
				p.failQueued()
				continue
			}
			p.client.Go(serviceName+".Gather", grwire.NewGatherAskFrame(c.request), &grwire.GatherAnswerFrame{}, p.done)
		}
	}
}

// failQueued reports all queued calls to an unreachable peer as failed.
func (p *groupConn) failQueued() {
	for {
		select {
		case c := <-p.calls.Items():
			p.parent.OnEvent(GroupEvent{To: p.id, Request: c.request})
		default:
			return
		}
	}
}

// connect opens a connection unless one is open, and reports whether one is open.
func (p *groupConn) connect(ctx context.Context, c *groupCall) bool {
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
			p.parent.OnEvent(p.eventOf(call))
		}
	}
}

func (p *groupConn) eventOf(call *rpc.Call) GroupEvent {
	e := GroupEvent{To: p.id, Request: call.Args.(grwire.GatherAskFrame).Request()}
	if call.Error == nil {
		e.Answer = call.Reply.(*grwire.GatherAnswerFrame).Answer()
		e.Sent = e.Answer == nil
		return e
	}
	e.Sent = true
	var refused rpc.ServerError
	if !errors.As(call.Error, &refused) {
		p.broken.Store(true)
	}
	return e
}
