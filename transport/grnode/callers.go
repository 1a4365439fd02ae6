package grnode

import (
	"context"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grsnapshot"
)

// callerDesk answers callers.
type callerDesk struct{ node *Node }

// Query answers a query.
func (d callerDesk) Query(ctx context.Context, asked grwire.QueryRequest) grwire.Answer {
	a := ask{
		ctx:        ctx,
		collection: grid.Collection(asked.Collection),
		text:       asked.Text,
		deadline:   d.node.Clock.Now() + grclock.Millis(asked.DeadlineMS),
	}
	result := d.node.ask(queryEvent, a)
	return grwire.AnswerFor(&result)
}

// Request runs a request that is not idempotent.
func (d callerDesk) Request(ctx context.Context, asked grwire.OnceRequest) grwire.Answer {
	a := ask{
		ctx:        ctx,
		collection: grid.Collection(asked.Collection),
		key:        grsnapshot.Key(asked.Key),
		text:       asked.Text,
		requestID:  grid.RequestID(asked.RequestID),
		deadline:   d.node.Clock.Now() + grclock.Millis(asked.DeadlineMS),
	}
	result := d.node.ask(requestEvent, a)
	return grwire.AnswerFor(&result)
}

// Entries lists the entry instances that callers may use.
func (d callerDesk) Entries(domain grid.FailureDomain, seed uint64) grwire.EntriesReply {
	return grwire.EntriesReply{TTLMS: int64(d.node.Settings.EntryTTL)}
}

// Ready returns why the instance cannot serve, or nil.
func (d callerDesk) Ready() *grfault.Fault {
	var fault *grfault.Fault
	d.node.inspect(func(r *grrouter.Router) {
		if _, ok := r.Preset(); !ok {
			fault = grfault.New(grfault.NotReady, "no preset is known")
			return
		}
		if r.Services() == 0 {
			fault = grfault.New(grfault.NotReady, "no searcher is known")
		}
	})
	return fault
}

// ask hands a query or request to the router's duty and waits for its end.
func (n *Node) ask(kind eventKind, a ask) grrouter.Result {
	result := make(chan grrouter.Result, 1)
	a.result = result
	if !n.events.Offer(event{kind: kind, ask: a}) {
		return grrouter.Result{Outcome: grrouter.NotRun, Code: grfault.Overloaded}
	}
	select {
	case r := <-result:
		return r
	case <-n.group.Context().Done():
		return grrouter.Result{Outcome: grrouter.Unknown, Code: grfault.Lost}
	}
}

// inspect runs a function on the router's duty and waits for its end.
func (n *Node) inspect(look func(r *grrouter.Router)) {
	done := make(chan struct{})
	n.post(event{kind: inspectEvent, inspect: func(r *grrouter.Router) {
		look(r)
		close(done)
	}})
	select {
	case <-done:
	case <-n.group.Context().Done():
	}
}
