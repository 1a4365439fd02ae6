package grclaim

import (
	"geraniumrouter/coordination/grcas"
	"geraniumrouter/state/grclock"
)

// Partition batches the updates of one instance to one ledger. One write is in flight
// at a time; further updates wait for the next one. Set Window before use.
type Partition struct {
	Window     grclock.Millis // how long ids are retained
	queued     Batch
	writing    bool
	WriteCount uint64 // number of batches started, to count writes per request
}

// maxQueued bounds the number of claims that wait for the next write.
const maxQueued = 1000

// Claim queues a claim for the next write. It returns false if the queue is full.
func (p *Partition) Claim(c Claim) bool {
	if len(p.queued.Claims) >= maxQueued {
		return false
	}
	p.queued.Claims = append(p.queued.Claims, c)
	return true
}

// QueueOutcome queues the outcome of a request for the next write.
func (p *Partition) QueueOutcome(o Outcome) { p.queued.Outcomes = append(p.queued.Outcomes, o) }

// QueueRelease queues the removal of a claim whose request was not dispatched and never
// will be.
func (p *Partition) QueueRelease(c Claim) { p.queued.Releases = append(p.queued.Releases, c) }

// Next returns the next batch to write; ok is false while a write is in flight or if
// nothing is queued.
func (p *Partition) Next(now grclock.Millis) (batch *Batch, ok bool) {
	q := &p.queued
	if p.writing || len(q.Claims)+len(q.Outcomes)+len(q.Releases) == 0 {
		return nil, false
	}
	p.writing = true
	p.WriteCount++
	batch = &Batch{Claims: q.Claims, Outcomes: q.Outcomes, Releases: q.Releases, Now: now, Window: p.Window}
	p.queued = Batch{}
	return batch, true
}

// Complete takes the outcome of a batch's write and the ledger after it, and returns
// the decisions on the claims of the batch. If the write was not applied or its
// outcome is uncertain, the claims are unavailable: their requests are never
// dispatched, and the claims are released with the next write.
func (p *Partition) Complete(b *Batch, outcome grcas.Outcome, l Ledger) []Decision {
	p.writing = false
	decisions := make([]Decision, 0, len(b.Claims))
	for _, c := range b.Claims {
		if outcome != grcas.Applied {
			decisions = append(decisions, Decision{Claim: c, Verdict: Unavailable})
			p.QueueRelease(c)
			continue
		}
		decisions = append(decisions, decide(&l, c))
	}
	if outcome != grcas.Applied {
		p.queued.Outcomes = append(b.Outcomes, p.queued.Outcomes...)
		p.queued.Releases = append(b.Releases, p.queued.Releases...)
	}
	return decisions
}
