// Package grpeer carries messages between entry instances by net/rpc over TCP. A
// connection on which an answer times out is closed and replaced.
//
//	client := &grpeer.Client{Group: group, Clock: clock, OnEvent: events.Put}
//	client.Send(outgoing)
package grpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"syscall"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grqueue"
	"geraniumrouter/transport/grdial"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grlimit"
	"geraniumrouter/transport/grtrace"
)

// Limits of calls and connections.
const (
	callTimeout     = grclock.Second // an answer later than this ends the connection
	dialTimeout     = grclock.Second
	sendQueueSize   = 64                       // messages waiting for one peer
	maxMessageBytes = 4 << 20                  // bytes of one message
	maxReadBytes    = 8 << 20                  // bytes of all calls being read
	acceptPause     = 20 * grclock.Millisecond // after a failure to accept
)

// serviceName is the name of the service in net/rpc.
const serviceName = "Peer"

// TimeoutError reports that a peer did not answer within the call timeout.
type TimeoutError struct{ Address grident.Address }

// Error describes the failure.
func (e *TimeoutError) Error() string { return "peer " + string(e.Address) + " did not answer in time" }

// EventKind is the result of sending a message.
type EventKind uint8

// The results of sending a message.
const (
	Answered    EventKind = iota // the peer received it; Answer may hold its answer
	ConnRefused                  // nothing listens at the address
	Failed                       // no answer; the message may have arrived
)

// Event reports the result of sending a message.
type Event struct {
	Kind   EventKind
	To     grcluster.Outgoing
	SentAt grclock.Millis // no later than the message was sent
	Answer grwire.PeerMessage
}

// Service answers the calls of peers. Set the exported fields before Serve.
type Service struct {
	OnMessage func(message grwire.PeerMessage) grwire.PeerMessage
	OnStatus  func() grwire.InstanceStatus
	OnGather  func(request grwire.GatherRequest) grwire.GatherAnswer
	// OnRateLimit answers a call for units of searchers' rate limits.
	OnRateLimit func(request grwire.RateLimitRequest) grwire.RateLimitAnswer
	OnPanic     func(p *grgroup.PanicError) // panics of call handlers; may be nil
}

// Deliver takes an encoded message and answers with another one.
func (s *Service) Deliver(data []byte, answer *[]byte) error {
	return s.catch(func() error {
		message, err := grwire.DecodePeer(data)
		if err != nil {
			return err
		}
		reply := s.OnMessage(message)
		*answer, err = grwire.EncodePeer(&reply)
		return err
	})
}

// catch runs the work of a call, so that a panic fails only that call.
func (s *Service) catch(work func() error) error {
	err := grgroup.Catch(work)
	var p *grgroup.PanicError
	if errors.As(err, &p) && s.OnPanic != nil {
		s.OnPanic(p)
	}
	return err
}

// Status returns the status of the instance.
func (s *Service) Status(request grwire.StatusAsk, answer *grwire.InstanceStatus) error {
	_, span := grtrace.Start(grtrace.ExtractMap(context.Background(), request.Trace), "status")
	defer span.End()
	return s.catch(func() error {
		*answer = s.OnStatus()
		return nil
	})
}

// Serve answers the calls of peers on the listener until ctx ends.
func (s *Service) Serve(ctx context.Context, listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, s); err != nil {
		return err
	}
	group := grgroup.New(ctx)
	calls := grlimit.Budget{Size: maxReadBytes}
	open := connSet{conns: make(map[net.Conn]bool)}
	group.Start(func(ctx context.Context) error {
		<-ctx.Done()
		open.closeAll()
		return listener.Close()
	})
	for {
		conn, err := listener.Accept()
		if err != nil && (ctx.Err() != nil || errors.Is(err, net.ErrClosed)) {
			break
		}
		if err != nil { // For example, no descriptor is free.
			grclock.System().Sleep(ctx, acceptPause)
			continue
		}
		if !open.add(conn) {
			break
		}
		group.Start(func(context.Context) error {
			server.ServeConn(&grlimit.GobConn{Conn: conn, MaxMessage: maxMessageBytes, Budget: &calls})
			open.remove(conn)
			return nil
		})
	}
	group.Stop()
	_ = group.Wait() // The listener may be closed already.
	return nil
}

// connSet is the set of connections that a server holds open.
type connSet struct {
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func (s *connSet) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *connSet) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.Close()
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

// Client sends messages to peers over one connection each. Set the exported fields
// before use.
type Client struct {
	Group   *grgroup.Group
	Clock   grclock.Clock
	TLS     *tls.Config // nil for plain TCP
	OnEvent func(Event)

	Traffic grdial.ByteCounters // of all connections; the zero value counts nothing

	readBudget grlimit.Budget // answers being read
	mu         sync.Mutex
	conns      map[grident.Address]*peerConn
}

// Send queues a message; its result is reported to OnEvent. If too many messages wait for
// the peer, it is dropped, since a later gossip digest makes up for it.
func (c *Client) Send(o grcluster.Outgoing) {
	c.mu.Lock()
	if c.conns == nil {
		c.conns = make(map[grident.Address]*peerConn)
	}
	p := c.conns[o.To]
	if p == nil {
		p = &peerConn{parent: c, address: o.To, queue: grqueue.New[grcluster.Outgoing](sendQueueSize)}
		c.conns[o.To] = p
		c.Group.Start(p.run)
	}
	c.mu.Unlock()
	p.queue.TryPut(o)
}

// Status requests the status of a peer over a connection of its own.
func (c *Client) Status(ctx context.Context, address grident.Address) (grwire.InstanceStatus, error) {
	var status grwire.InstanceStatus
	ctx, span := grtrace.Start(ctx, "peer")
	defer span.End()
	client, err := c.dial(ctx, address)
	if err != nil {
		return status, err
	}
	defer client.Close()
	var answer grwire.InstanceStatus
	if err := c.call(ctx, client, address, "Status", grwire.StatusAsk{Trace: grtrace.InjectMap(ctx)}, &answer); err != nil {
		return status, err
	}
	return answer, nil
}

func (c *Client) dial(ctx context.Context, address grident.Address) (*rpc.Client, error) {
	dialer := grdial.New(dialTimeout)
	if c.TLS != nil {
		secure := tls.Dialer{NetDialer: dialer, Config: c.TLS}
		conn, err := secure.DialContext(ctx, "tcp", string(address))
		if err != nil {
			return nil, err
		}
		return c.newRPCClient(conn), nil
	}
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	return c.newRPCClient(c.Traffic.Wrap(conn)), nil
}

func (c *Client) newRPCClient(conn net.Conn) *rpc.Client {
	return rpc.NewClient(&grlimit.GobConn{Conn: conn, MaxMessage: maxMessageBytes, Budget: &c.readBudget})
}

// call makes one call and waits for its answer, for callTimeout at most.
func (c *Client) call(ctx context.Context, client *rpc.Client, address grident.Address, method string, request, answer any) error {
	done := client.Go(serviceName+"."+method, request, answer, make(chan *rpc.Call, 1)).Done
	timer := c.Clock.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case call := <-done:
		return call.Error
	case <-timer.C:
		return &TimeoutError{address}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// peerConn is the connection to one peer.
type peerConn struct {
	parent  *Client
	address grident.Address
	queue   *grqueue.Queue[grcluster.Outgoing]
	client  *rpc.Client
}

func (p *peerConn) run(ctx context.Context) error {
	defer p.disconnect()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-p.queue.Items():
			p.parent.OnEvent(p.deliver(ctx, o))
		}
	}
}

func (p *peerConn) deliver(ctx context.Context, o grcluster.Outgoing) Event {
	e := Event{Kind: Failed, To: o}
	if p.client == nil {
		client, err := p.parent.dial(ctx, p.address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.Kind = ConnRefused
		}
		if err != nil {
			return e
		}
		p.client = client
	}
	message := grwire.PeerMessageTo(&o.Message)
	e.SentAt = p.parent.Clock.Now()
	answer, err := p.exchange(ctx, &message)
	if err != nil {
		p.disconnect()
		return e
	}
	e.Kind, e.Answer = Answered, answer
	return e
}

// exchange sends a message and returns the answer. net/rpc may still write to the answer
// after a timeout, so it is decoded only when the call has completed.
func (p *peerConn) exchange(ctx context.Context, message *grwire.PeerMessage) (grwire.PeerMessage, error) {
	data, err := grwire.EncodePeer(message)
	if err != nil {
		return grwire.PeerMessage{}, err
	}
	var answer []byte
	if err := p.parent.call(ctx, p.client, p.address, "Deliver", data, &answer); err != nil {
		return grwire.PeerMessage{}, err
	}
	return grwire.DecodePeer(answer)
}

func (p *peerConn) disconnect() {
	if p.client != nil {
		p.client.Close()
		p.client = nil
	}
}
