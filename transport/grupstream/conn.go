package grupstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grqueue"
	"geraniumrouter/transport/grdial"
	"geraniumrouter/transport/grgroup"
)

// conn is one connection to a searcher. One goroutine writes and another reads,
// because a searcher may answer before it has read the whole request.
type conn struct {
	pool      *Pool
	place     ConnKey
	address   grident.Address
	counters  grdial.ByteCounters
	jobs      *grqueue.Queue[job]
	closing   atomic.Bool
	pending   atomic.Pointer[job] // sent and unanswered; whoever removes it reports its result
	fullySent atomic.Bool         // the pending request was written completely
	mu        sync.Mutex
	transport *monitoredConn
}

func (c *conn) run(ctx context.Context) error {
	transport, err := c.pool.dial(ctx, c.address, c.counters, c.handleResponse)
	if err != nil {
		c.pool.OnEvent(Event{Kind: OpenFailed, Place: c.place})
		return nil
	}
	c.mu.Lock()
	c.transport = transport
	c.mu.Unlock()
	defer transport.Close()
	if c.closing.Load() {
		return nil
	}
	c.pool.OnEvent(Event{Kind: Opened, Place: c.place})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-transport.closed:
			c.reportEnd(transport)
			return nil
		case j := <-c.jobs.Items():
			if j.kind == jobClose {
				return nil
			}
			c.send(transport, &j)
		}
	}
}

// send writes a request, unless the time to send it has passed while it waited or the process
// stood still. If writing fails, the connection is closed, and reportEnd reports the result of
// the attempt.
func (c *conn) send(transport *monitoredConn, j *job) {
	c.fullySent.Store(false)
	var request *http.Request
	err := grgroup.Catch(func() (err error) {
		request, err = c.exchangeFor(j).Request(j.outgoing.Searcher, j.outgoing.Remaining)
		return err
	})
	if err != nil {
		c.pool.reportError(c.address, err)
		c.reportResult(j, grdispatch.Reply{Kind: grdispatch.Refused, ReusableConn: true})
		return
	}
	c.pending.Store(j)
	err = transport.send(request, c.pool.ResponseTimeout, j.outgoing.SendBy)
	switch {
	case err == nil:
		c.fullySent.Store(true)
	case errors.As(err, new(*tooLateError)) && c.pending.CompareAndSwap(j, nil):
		c.reportResult(j, grdispatch.Reply{Kind: grdispatch.Withheld, ReusableConn: true})
	default:
		transport.Close()
	}
}

// handleResponse reports the result of the pending attempt. It runs on the reading
// goroutine.
func (c *conn) handleResponse(got receivedResponse) {
	j := c.pending.Swap(nil)
	if j == nil {
		return
	}
	var reply grdispatch.Reply
	err := grgroup.Catch(func() error {
		reply = c.exchangeFor(j).Reply(got.response, got.body)
		return nil
	})
	if err != nil {
		c.pool.reportError(c.address, err)
		reply = grdispatch.Reply{Kind: grdispatch.LostReply}
	}
	reply.ReusableConn = reply.ReusableConn && got.reusable && c.fullySent.Load()
	c.reportResult(j, reply)
}

// reportEnd reports that the connection ended, or the result of the attempt that was
// pending at that time.
func (c *conn) reportEnd(transport *monitoredConn) {
	if transport.readErr != nil && !isDisconnect(transport.readErr) {
		c.pool.reportError(c.address, transport.readErr)
	}
	j := c.pending.Swap(nil)
	switch {
	case j == nil:
		c.pool.OnEvent(Event{Kind: Disconnected, Place: c.place})
	case transport.sentBytes.Load() == 0:
		c.reportResult(j, grdispatch.Reply{Kind: grdispatch.Refused})
	default:
		c.reportResult(j, grdispatch.Reply{Kind: grdispatch.LostReply})
	}
}

func (c *conn) reportResult(j *job, reply grdispatch.Reply) {
	if j.kind == jobProbe {
		c.pool.OnEvent(Event{Kind: ProbeEnded, Place: c.place, Healthy: reply.ReusableConn && reply.Kind == grdispatch.OK})
		return
	}
	reply.Attempt = j.outgoing.Attempt
	c.pool.OnEvent(Event{Kind: AttemptEnded, Place: c.place, Reply: reply})
}

func (c *conn) exchangeFor(j *job) Exchange {
	if j.kind == jobProbe {
		return &controlCall{method: http.MethodGet, path: grwire.LoadPath, address: c.address}
	}
	return j.outgoing.Exchange
}

// close closes the connection, even while it waits for a response.
func (c *conn) close() {
	c.closing.Store(true)
	c.mu.Lock()
	if c.transport != nil {
		c.transport.Close()
	}
	c.mu.Unlock()
	c.jobs.TryPut(job{kind: jobClose})
}
