package grnode

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/coordination/grcas"
	"geraniumrouter/coordination/grclaim"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grqueue"
	"geraniumrouter/transport/grplatform"
)

// claimLoop is the event loop that owns the partitions of the claim ledger. A claim is
// the exclusive right to execute a request that is not idempotent; claims and outcomes
// are stored on the platform.
type claimLoop struct {
	node             *Node
	events           *grqueue.Queue[claimEvent]
	partitions       [grclaim.Partitions]grclaim.Partition
	cached           [grclaim.Partitions]grplatform.CachedObject[grclaim.Ledger]
	waiting          map[grclaim.Token]chan<- grclaim.Decision
	granted          metrics.Counter
	writes           metrics.Counter
	unfinishedWrites atomic.Int64 // partitions with a write in flight, or its result not yet processed
}

// claimEvent is an input of the claim loop; exactly one field is set.
type claimEvent struct {
	request *claimRequest
	outcome *grclaim.Outcome
	release *grclaim.Claim
	written *ledgerWrite
}

type claimRequest struct {
	claim  grclaim.Claim
	answer chan<- grclaim.Decision // has a capacity of one
}

type ledgerWrite struct {
	partition int
	batch     *grclaim.Batch
	outcome   grcas.Outcome
	ledger    grplatform.CachedObject[grclaim.Ledger]
}

// Limits of claims.
const (
	claimQueueSize     = 4096                // events waiting for the claim loop
	claimRetention     = 10 * grclock.Minute // time for which claims and outcomes are kept
	ledgerWriteTimeout = 4 * grclock.Second
	ledgerRetryDelay   = 200 * grclock.Millisecond
)

var ledgerCodec = grplatform.Codec[grclaim.Ledger]{Decode: grwire.DecodeLedger, Encode: grwire.EncodeLedger}

func (c *claimLoop) init() {
	c.events = grqueue.New[claimEvent](claimQueueSize)
	c.waiting = make(map[grclaim.Token]chan<- grclaim.Decision)
	c.granted = metrics.GetOrRegisterCounter("claims_granted", c.node.Metrics)
	c.writes = metrics.GetOrRegisterCounter("claims_writes", c.node.Metrics)
	for i := range c.partitions {
		c.partitions[i].Window = claimRetention
	}
}

func (c *claimLoop) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events.Items():
			c.handle(&e)
		}
	}
}

func (c *claimLoop) post(e claimEvent) { c.events.Put(c.node.group.Context().Done(), e) }

func (c *claimLoop) handle(e *claimEvent) {
	switch {
	case e.request != nil:
		index := grclaim.PartitionOf(e.request.claim.ID)
		c.waiting[e.request.claim.Token] = e.request.answer
		if entry, held := c.cached[index].Value.Entries[e.request.claim.ID]; held && entry.State != grclaim.Pending {
			c.deliver(grclaim.Decision{Claim: e.request.claim, Verdict: grclaim.AlreadyClaimed, Entry: entry})
			return
		}
		if !c.partitions[index].Claim(e.request.claim) {
			c.deliver(grclaim.Decision{Claim: e.request.claim, Verdict: grclaim.Full})
		}
		c.write(index)
	case e.outcome != nil:
		index := grclaim.PartitionOf(e.outcome.ID)
		c.partitions[index].QueueOutcome(*e.outcome)
		c.write(index)
	case e.release != nil:
		index := grclaim.PartitionOf(e.release.ID)
		c.partitions[index].QueueRelease(*e.release)
		c.write(index)
	case e.written != nil:
		c.finishWrite(e.written)
	}
}

func (c *claimLoop) deliver(d grclaim.Decision) {
	if answer, ok := c.waiting[d.Claim.Token]; ok {
		delete(c.waiting, d.Claim.Token)
		answer <- d
	}
}

// write starts the next write of a partition unless one is in flight.
func (c *claimLoop) write(index int) {
	batch, ok := c.partitions[index].Next(c.node.Clock.Now())
	if !ok {
		return
	}
	c.writes.Inc(1)
	c.unfinishedWrites.Add(1)
	from := c.cached[index]
	c.node.group.Start(func(ctx context.Context) error {
		update := &grcas.Update[grclaim.Ledger]{
			Deadline: c.node.Clock.Now() + ledgerWriteTimeout,
			Random:   grident.Random{State: uint64(c.node.Clock.Now()) + uint64(index)},
			Apply: func(current grclaim.Ledger, _ grident.Revision) grcas.ApplyResult[grclaim.Ledger] {
				next, alreadyApplied := batch.Apply(current)
				return grcas.ApplyResult[grclaim.Ledger]{AlreadyApplied: alreadyApplied, Next: next}
			},
		}
		step := grplatform.UpdateFrom(ctx, c.node.platform, grwire.ClaimLedgerKey(index), ledgerCodec, update, from)
		if step.Outcome != grcas.Applied {
			c.node.Clock.Sleep(ctx, ledgerRetryDelay)
		}
		ledger := grplatform.CachedObject[grclaim.Ledger]{Value: step.Next, Version: step.Version}
		c.post(claimEvent{written: &ledgerWrite{index, batch, step.Outcome, ledger}})
		return nil
	})
}

func (c *claimLoop) finishWrite(w *ledgerWrite) {
	if w.outcome == grcas.Applied {
		c.cached[w.partition] = w.ledger
	}
	for _, d := range c.partitions[w.partition].Complete(w.batch, w.outcome, w.ledger.Value) {
		if d.Verdict == grclaim.Granted {
			c.granted.Inc(1)
		}
		c.deliver(d)
	}
	c.write(w.partition)
	c.unfinishedWrites.Add(-1)
}

// claim requests the claim on an id and waits for the verdict until the deadline.
func (c *claimLoop) claim(id grident.RequestID, token grclaim.Token, deadline grclock.Millis) grclaim.Decision {
	claim := grclaim.Claim{ID: id, Token: token}
	answer := make(chan grclaim.Decision, 1)
	unavailable := grclaim.Decision{Claim: claim, Verdict: grclaim.Unavailable}
	if !c.events.TryPut(claimEvent{request: &claimRequest{claim, answer}}) {
		return unavailable
	}
	timer := c.node.Clock.NewTimer(deadline - c.node.Clock.Now())
	defer timer.Stop()
	select {
	case d := <-answer:
		return d
	case <-timer.C:
		c.node.group.Start(func(context.Context) error {
			c.releaseLateGrant(answer)
			return nil
		})
		return unavailable
	case <-c.node.group.Context().Done():
		return unavailable
	}
}

// releaseLateGrant releases a claim that was granted after its request had timed out.
func (c *claimLoop) releaseLateGrant(answer <-chan grclaim.Decision) {
	select {
	case d := <-answer:
		if d.Verdict == grclaim.Granted {
			c.post(claimEvent{release: &d.Claim})
		}
	case <-c.node.group.Context().Done():
	}
}

// newToken returns a token that no other attempt uses.
func (n *Node) newToken() grclaim.Token {
	return grclaim.Token(fmt.Sprintf("%s/%d/%d", n.Settings.Instance, n.incarnation, n.lastNumber.Add(1)))
}
