package grnode

import (
	"context"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grdrain"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
)

// callerHandler answers the requests of callers.
type callerHandler struct{ node *Node }

// Query runs an idempotent query over all shards of a collection and returns the merged
// answer.
func (h callerHandler) Query(ctx context.Context, request grwire.QueryRequest) grwire.Answer {
	h.node.inFlight.Add(1)
	defer h.node.inFlight.Add(-1)
	if answer, rejected := h.rejection(); rejected {
		return answer
	}
	pending := pendingRequest{
		ctx:        ctx,
		collection: grident.Collection(request.Collection),
		text:       request.Text,
		deadline:   h.node.Clock.Now() + grclock.Millis(request.DeadlineMS),
	}
	result := h.node.submit(pending)
	return grwire.AnswerFor(&result)
}

// Entries lists the entry instances that callers may use, those in the given failure
// domain first. The seed varies the order among equal entries.
func (h callerHandler) Entries(domain grident.FailureDomain, seed uint64) grwire.EntriesReply {
	reply := grwire.EntriesReply{TTLMS: int64(h.node.Settings.EntryListTTL), Entries: []grwire.EntryWire{}}
	h.node.controlLoop.inspect(func(c *grcluster.Cluster) {
		for _, m := range c.Entries(domain, seed) {
			reply.Entries = append(reply.Entries, grwire.EntryWire{
				Instance: string(m.ID), Address: string(m.CallerAddress), Domain: string(m.Domain),
			})
		}
	})
	return reply
}

// Ready returns the reason why the instance cannot serve, or nil if it can.
func (h callerHandler) Ready() *grerror.Error {
	if phase := h.node.controlLoop.currentPhase(); phase >= grdrain.Leaving {
		return grerror.New(grerror.Leaving, "instance %s is %s", h.node.Settings.Instance, phase)
	}
	return h.connFault()
}

// connFault returns what keeps queries from being answered by all services, or nil.
func (h callerHandler) connFault() *grerror.Error {
	var fault *grerror.Error
	h.node.inspect(func(r *grrouter.Router) {
		if _, ok := r.ActivePreset(); !ok {
			fault = grerror.New(grerror.NotReady, "no preset is known")
			return
		}
		if !r.ReadyForQueries(h.node.Clock.Now()) {
			fault = grerror.New(grerror.NotReady, "no searcher is known, or a service has no connection yet")
		}
	})
	return fault
}

// submit passes a query or request to the router's event loop and waits for its result.
// If the caller's context ends first, the query is cancelled and submit still waits for
// the result.
func (n *Node) submit(p pendingRequest) grrouter.Result {
	result := make(chan grrouter.Result, 1)
	p.result, p.number = result, n.lastNumber.Add(1)
	if !n.events.TryPut(&p) {
		return grrouter.Result{Outcome: grrouter.NotRun, Code: grerror.Overloaded}
	}
	cancelled := p.ctx.Done()
	for {
		select {
		case r := <-result:
			return r
		case <-cancelled:
			n.post(&requestCancelled{p.number})
			cancelled = nil
		case <-n.group.Context().Done():
			return grrouter.Result{Outcome: grrouter.Unknown, Code: grerror.Lost}
		}
	}
}

// inspect runs a function on the router's event loop and waits until it returns.
func (n *Node) inspect(visit func(r *grrouter.Router)) {
	done := make(chan struct{})
	n.post(inspection(func(r *grrouter.Router) {
		visit(r)
		close(done)
	}))
	select {
	case <-done:
	case <-n.group.Context().Done():
	}
}
