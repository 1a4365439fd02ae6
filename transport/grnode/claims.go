package grnode

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/coordination/grclaim"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grring"
	"geraniumrouter/transport/grplatform"
)

// claims is the duty that owns the partitions of claims.
type claims struct {
	node       *Node
	events     *grring.Ring[claimEvent]
	partitions [grclaim.Partitions]grclaim.Partition
	remembered [grclaim.Partitions]grplatform.Remembered[grclaim.Ledger]
	waiting    map[grclaim.Token]chan<- grclaim.Decision
	granted    metrics.Counter
	writes     metrics.Counter
	open       atomic.Int64 // partitions with something to write
}

// claimEvent is what the duty is told; one field is set.
type claimEvent struct {
	claim   *claimAsk
	outcome *grclaim.Outcome
	release *grclaim.Claim
	written *claimWritten
}

type claimAsk struct {
	claim  grclaim.Claim
	answer chan<- grclaim.Decision // holds one
}

type claimWritten struct {
	partition int
	batch     *grclaim.Batch
	end       grchange.End
	ledger    grplatform.Remembered[grclaim.Ledger]
}

// Limits of claims.
const (
	claimRing    = 4096
	claimWindow  = 10 * grclock.Minute // time for which request ids are remembered
	claimTimeout = 4 * grclock.Second
	retryPause   = 200 * grclock.Millisecond
)

var ledgerCodec = grplatform.Codec[grclaim.Ledger]{Decode: grwire.DecodeLedger, Encode: grwire.EncodeLedger}

func (c *claims) init() {
	c.events = grring.New[claimEvent](claimRing)
	c.waiting = make(map[grclaim.Token]chan<- grclaim.Decision)
	c.granted = metrics.GetOrRegisterCounter("claims_granted", c.node.Metrics)
	c.writes = metrics.GetOrRegisterCounter("claims_writes", c.node.Metrics)
	for i := range c.partitions {
		c.partitions[i].Window = claimWindow
	}
}

func (c *claims) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events.Out():
			c.handle(&e)
		}
	}
}

func (c *claims) post(e claimEvent) { c.events.Put(c.node.group.Context().Done(), e) }

func (c *claims) handle(e *claimEvent) {
	switch {
	case e.claim != nil:
		index := grclaim.PartitionOf(e.claim.claim.ID)
		c.waiting[e.claim.claim.Token] = e.claim.answer
		if entry, held := c.remembered[index].Value.Entries[e.claim.claim.ID]; held && entry.State != grclaim.Pending {
			c.decide(grclaim.Decision{Claim: e.claim.claim, Verdict: grclaim.Taken, Entry: entry})
			return
		}
		if !c.partitions[index].Claim(e.claim.claim) {
			c.decide(grclaim.Decision{Claim: e.claim.claim, Verdict: grclaim.Full})
		}
		c.write(index)
	case e.outcome != nil:
		index := grclaim.PartitionOf(e.outcome.ID)
		c.partitions[index].Record(*e.outcome)
		c.write(index)
	case e.release != nil:
		index := grclaim.PartitionOf(e.release.ID)
		c.partitions[index].Release(*e.release)
		c.write(index)
	case e.written != nil:
		c.finish(e.written)
	}
}

func (c *claims) decide(d grclaim.Decision) {
	if answer, ok := c.waiting[d.Claim.Token]; ok {
		delete(c.waiting, d.Claim.Token)
		answer <- d
	}
}

// write starts the next write of a partition unless one is in flight.
func (c *claims) write(index int) {
	batch, ok := c.partitions[index].Next(c.node.Clock.Now())
	if !ok {
		return
	}
	c.writes.Inc(1)
	c.open.Add(1)
	from := c.remembered[index]
	c.node.group.Start(func(ctx context.Context) error {
		change := &grchange.Change[grclaim.Ledger]{
			Deadline: c.node.Clock.Now() + claimTimeout,
			Random:   grid.Random{State: uint64(c.node.Clock.Now()) + uint64(index)},
			Apply: func(current grclaim.Ledger, _ grid.Revision) grchange.Verdict[grclaim.Ledger] {
				next, settled := batch.Apply(current)
				return grchange.Verdict[grclaim.Ledger]{Settled: settled, Next: next}
			},
		}
		step := grplatform.RunFrom(ctx, c.node.platform, grwire.LedgerKey(index), ledgerCodec, change, from)
		if step.End != grchange.Applied {
			c.node.Clock.Sleep(ctx, retryPause)
		}
		ledger := grplatform.Remembered[grclaim.Ledger]{Value: step.Next, Version: step.Version}
		c.post(claimEvent{written: &claimWritten{index, batch, step.End, ledger}})
		return nil
	})
}

func (c *claims) finish(w *claimWritten) {
	if w.end == grchange.Applied {
		c.remembered[w.partition] = w.ledger
	}
	for _, d := range c.partitions[w.partition].Finish(w.batch, w.end, w.ledger.Value) {
		if d.Verdict == grclaim.Granted {
			c.granted.Inc(1)
		}
		c.decide(d)
	}
	c.write(w.partition)
	c.open.Add(-1)
}

// claim asks for the claim on an id and waits for the verdict until the
// deadline.
func (c *claims) claim(id grid.RequestID, token grclaim.Token, deadline grclock.Millis) grclaim.Decision {
	claim := grclaim.Claim{ID: id, Token: token}
	answer := make(chan grclaim.Decision, 1)
	none := grclaim.Decision{Claim: claim, Verdict: grclaim.Unavailable}
	if !c.events.Offer(claimEvent{claim: &claimAsk{claim, answer}}) {
		return none
	}
	alarm := c.node.Clock.NewAlarm(deadline - c.node.Clock.Now())
	defer alarm.Stop()
	select {
	case d := <-answer:
		return d
	case <-alarm.C:
		c.node.group.Start(func(context.Context) error {
			c.releaseLate(answer)
			return nil
		})
		return none
	case <-c.node.group.Context().Done():
		return none
	}
}

// releaseLate gives up a claim that was granted after its request gave up.
func (c *claims) releaseLate(answer <-chan grclaim.Decision) {
	select {
	case d := <-answer:
		if d.Verdict == grclaim.Granted {
			c.post(claimEvent{release: &d.Claim})
		}
	case <-c.node.group.Context().Done():
	}
}

// token returns a token that no other try uses.
func (n *Node) token() grclaim.Token {
	return grclaim.Token(fmt.Sprintf("%s/%d/%d", n.Settings.Instance, n.run, n.tokens.Add(1)))
}
