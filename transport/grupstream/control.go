package grupstream

import (
	"context"
	"net/http"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grqueue"
	"geraniumrouter/transport/grdial"
)

// loadPollInterval is the pause between two load requests to a searcher.
const loadPollInterval = grclock.Second

// control is a separate connection to a searcher for cancellations and load requests,
// so that they do not queue behind a search.
type control struct {
	pool          *Pool
	id            grident.SearcherID
	incarnation   grident.Incarnation
	address       grident.Address
	cancellations *grqueue.Queue[grident.AttemptID]
	stop          context.CancelFunc
}

// OpenControl opens the control connection to a searcher, unless there is one, and reports
// LoadReported once per loadPollInterval.
func (p *Pool) OpenControl(id grident.SearcherID, incarnation grident.Incarnation, address grident.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.controls == nil {
		p.controls = make(map[grident.Address]*control)
	}
	if p.controls[address] != nil {
		return
	}
	ctx, stop := context.WithCancel(p.Group.Context())
	c := &control{pool: p, id: id, incarnation: incarnation, address: address, cancellations: grqueue.New[grident.AttemptID](cancellationQueueSize), stop: stop}
	p.controls[address] = c
	p.Group.Start(func(context.Context) error { return c.run(ctx) })
}

// CloseControl closes the control connection to a searcher.
func (p *Pool) CloseControl(address grident.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.controls[address]; c != nil {
		c.stop()
		delete(p.controls, address)
	}
}

// Cancel requests that the searcher stop an attempt. It is best effort: if too many
// cancellations are queued, this one is dropped and the attempt continues.
func (p *Pool) Cancel(address grident.Address, attempt grident.AttemptID) {
	p.mu.Lock()
	c := p.controls[address]
	p.mu.Unlock()
	if c != nil {
		c.cancellations.TryPut(attempt)
	}
}

func (c *control) run(ctx context.Context) error {
	for ctx.Err() == nil {
		responses := make(chan receivedResponse, 1)
		if conn, err := c.pool.dial(ctx, c.address, grdial.ByteCounters{}, func(got receivedResponse) { responses <- got }); err == nil {
			c.serve(ctx, &controlClient{conn, c.address, responses, c.pool.ResponseTimeout})
			conn.Close()
		}
		c.pool.Clock.Sleep(ctx, loadPollInterval/4)
	}
	return nil
}

// controlClient makes one call at a time on a connection.
type controlClient struct {
	*monitoredConn
	address         grident.Address
	responses       chan receivedResponse // capacity 1
	responseTimeout grclock.Millis
}

// do makes a call and reports whether a valid response arrived in time.
func (c *controlClient) do(call *controlCall) bool {
	request, err := call.Request("", 0)
	if err != nil || c.send(request, c.responseTimeout, 0) != nil {
		return false
	}
	select {
	case got := <-c.responses:
		return call.Reply(got.response, got.body).Kind == grdispatch.OK
	case <-c.closed:
		return false
	}
}

// serve sends cancellations and load requests until the connection fails.
func (c *control) serve(ctx context.Context, client *controlClient) {
	timer := c.pool.Clock.NewTimer(loadPollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-client.closed:
			return
		case attempt := <-c.cancellations.Items():
			body := grwire.Encode(grwire.CancelRequest{Caller: c.pool.Instance, Attempt: uint64(attempt)})
			if !client.do(&controlCall{method: http.MethodPost, path: grwire.CancelPath, address: c.address, body: body}) {
				return
			}
		case <-timer.C:
			var load grwire.LoadReply
			if !client.do(&controlCall{method: http.MethodGet, path: grwire.LoadPath, address: c.address, result: &load}) {
				return
			}
			c.pool.OnEvent(Event{Kind: LoadReported, Searcher: c.id, Incarnation: c.incarnation, Address: c.address, Load: load})
			timer.Reset(loadPollInterval)
		}
	}
}
