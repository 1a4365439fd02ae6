package grdispatch

// Counters count events of a dispatcher since its creation.
type Counters struct {
	Submitted, FirstAttempts, Hedges, Retries uint64
	Resent                                    uint64 // sent again because the searcher had not started the attempt
	Answered, NotAnswered, LateReplies        uint64
	Sheds, Ejections, UnresponsiveConns       uint64
	Refusals                                  uint64 // answers in which a searcher asked for no attempts for a time
	HedgesDenied, RetriesDenied, Cancelled    uint64
	ConnsOpened, ConnsClosed                  uint64
	AbandonedConnsClosed                      uint64
	RateLimited                               uint64 // held back from a searcher by its rate limit
	ColdHeldBack                              uint64 // held back from a cold searcher for lack of a unit
	AwaitedView                               uint64 // submitted while there was no lease on the list of searchers
	Withheld                                  uint64 // attempts not sent, since that lease had run out
}

// Add adds the counters of another dispatcher to c.
func (c *Counters) Add(o *Counters) {
	c.Submitted += o.Submitted
	c.FirstAttempts += o.FirstAttempts
	c.Hedges += o.Hedges
	c.Retries += o.Retries
	c.Resent += o.Resent
	c.Answered += o.Answered
	c.NotAnswered += o.NotAnswered
	c.LateReplies += o.LateReplies
	c.Sheds += o.Sheds
	c.Ejections += o.Ejections
	c.Refusals += o.Refusals
	c.UnresponsiveConns += o.UnresponsiveConns
	c.HedgesDenied += o.HedgesDenied
	c.RetriesDenied += o.RetriesDenied
	c.Cancelled += o.Cancelled
	c.ConnsOpened += o.ConnsOpened
	c.ConnsClosed += o.ConnsClosed
	c.AbandonedConnsClosed += o.AbandonedConnsClosed
	c.RateLimited += o.RateLimited
	c.ColdHeldBack += o.ColdHeldBack
	c.AwaitedView += o.AwaitedView
	c.Withheld += o.Withheld
}
