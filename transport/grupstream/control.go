package grupstream

import (
	"context"
	"net/http"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grring"
	"geraniumrouter/transport/grdial"
)

// loadInterval is the pause between two reads of a searcher's load.
const loadInterval = grclock.Second

// control is the connection to a searcher that carries cancellations and load
// reads, so that neither waits behind a search.
type control struct {
	pool    *Pool
	id      grid.SearcherID
	run     grid.Incarnation
	address grid.Address
	cancels *grring.Ring[grid.AttemptID]
	stop    context.CancelFunc
}

// Watch opens the control connection to a searcher, if there is none, and
// reports LoadRead from time to time.
func (p *Pool) Watch(id grid.SearcherID, run grid.Incarnation, address grid.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.controls == nil {
		p.controls = make(map[grid.Address]*control)
	}
	if p.controls[address] != nil {
		return
	}
	ctx, stop := context.WithCancel(p.Group.Context())
	c := &control{pool: p, id: id, run: run, address: address, cancels: grring.New[grid.AttemptID](controlRing), stop: stop}
	p.controls[address] = c
	p.Group.Start(func(context.Context) error { return c.keep(ctx) })
}

// Unwatch closes the control connection to a searcher.
func (p *Pool) Unwatch(address grid.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.controls[address]; c != nil {
		c.stop()
		delete(p.controls, address)
	}
}

// Cancel asks the searcher to stop the attempt. It is a hint: when too many
// wait, the attempt runs on.
func (p *Pool) Cancel(address grid.Address, attempt grid.AttemptID) {
	p.mu.Lock()
	c := p.controls[address]
	p.mu.Unlock()
	if c != nil {
		c.cancels.Offer(attempt)
	}
}

func (c *control) keep(ctx context.Context) error {
	for ctx.Err() == nil {
		answers := make(chan received, 1)
		if l, err := c.pool.connect(ctx, c.address, grdial.Traffic{}, func(got received) { answers <- got }); err == nil {
			c.serve(ctx, &caller{l, c.address, answers, c.pool.Silent})
			l.Close()
		}
		c.pool.Clock.Sleep(ctx, loadInterval/4)
	}
	return nil
}

// caller makes one call after the other on a link.
type caller struct {
	*link
	address grid.Address
	answers chan received // holds one
	silent  grclock.Millis
}

// do makes a call and reports whether its answer came in time and could be
// read.
func (c *caller) do(what *call) bool {
	request, err := what.Request("", 0)
	if err != nil || c.send(request, c.silent) != nil {
		return false
	}
	select {
	case got := <-c.answers:
		return what.Reply(got.response, got.body).Kind == grleaf.OK
	case <-c.ended:
		return false
	}
}

// serve uses the connection until it fails.
func (c *control) serve(ctx context.Context, l *caller) {
	alarm := c.pool.Clock.NewAlarm(loadInterval)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.ended:
			return
		case attempt := <-c.cancels.Out():
			body := grwire.Encode(grwire.CancelRequest{Caller: c.pool.Caller, Attempt: uint64(attempt)})
			if !l.do(&call{method: http.MethodPost, path: grwire.CancelPath, address: c.address, body: body}) {
				return
			}
		case <-alarm.C:
			var load grwire.LoadReply
			if !l.do(&call{method: http.MethodGet, path: grwire.LoadPath, address: c.address, into: &load}) {
				return
			}
			c.pool.Report(Event{Kind: LoadRead, Searcher: c.id, Run: c.run, Load: load})
			alarm.Reset(loadInterval)
		}
	}
}
