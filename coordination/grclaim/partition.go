package grclaim

import (
	"geraniumrouter/coordination/grchange"
	"geraniumrouter/state/grclock"
)

// Partition gathers what one instance brings into one ledger. One write is in
// flight at a time; the rest waits for the next. Set the exported fields before
// use.
type Partition struct {
	Window  grclock.Millis
	waiting Batch
	writing bool
	Writes  uint64 // batches begun, for the count of writes per request
}

// maxWaiting bounds the claims that wait for the next write.
const maxWaiting = 1000

// Claim lets a claim wait for the next write; false when too many wait.
func (p *Partition) Claim(c Claim) bool {
	if len(p.waiting.Claims) >= maxWaiting {
		return false
	}
	p.waiting.Claims = append(p.waiting.Claims, c)
	return true
}

// Record lets the outcome of a request wait for the next write.
func (p *Partition) Record(o Outcome) { p.waiting.Outcomes = append(p.waiting.Outcomes, o) }

// Release gives up a claim whose request was not dispatched and never will be.
func (p *Partition) Release(c Claim) { p.waiting.Releases = append(p.waiting.Releases, c) }

// Next returns the batch to write now; ok is false while a write is in flight
// or nothing waits.
func (p *Partition) Next(now grclock.Millis) (batch *Batch, ok bool) {
	w := &p.waiting
	if p.writing || len(w.Claims)+len(w.Outcomes)+len(w.Releases) == 0 {
		return nil, false
	}
	p.writing = true
	p.Writes++
	batch = &Batch{Claims: w.Claims, Outcomes: w.Outcomes, Releases: w.Releases, Now: now, Window: p.Window}
	p.waiting = Batch{}
	return batch, true
}

// Finish takes the end of a batch's write with the ledger as it is then, and
// returns the decisions on its claims. A claim whose write is uncertain is
// never dispatched; it is released later.
func (p *Partition) Finish(b *Batch, end grchange.End, l Ledger) []Decision {
	p.writing = false
	decisions := make([]Decision, 0, len(b.Claims))
	for _, c := range b.Claims {
		if end != grchange.Applied {
			decisions = append(decisions, Decision{Claim: c, Verdict: Unavailable})
			p.Release(c)
			continue
		}
		decisions = append(decisions, decide(&l, c))
	}
	if end != grchange.Applied {
		p.waiting.Outcomes = append(b.Outcomes, p.waiting.Outcomes...)
		p.waiting.Releases = append(b.Releases, p.waiting.Releases...)
	}
	return decisions
}
