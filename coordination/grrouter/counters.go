package grrouter

// Counters are the totals of a router since its start.
type Counters struct {
	Queries, Complete, Partial, NotRun, Unknown   uint64
	Reruns, Rejected, MalformedAnswers, Cancelled uint64
	QuotaGranted, QuotaOwnPart, QuotaDenied       uint64 // requests of organisations with a quota, by decision
	GroupsDelegated, GroupsRevoked                uint64 // groups of shards delegated to peers, and groups requested directly after their peer failed to answer
}

// Add adds the counters of another router to c.
func (c *Counters) Add(o *Counters) {
	c.Queries += o.Queries
	c.Complete += o.Complete
	c.Partial += o.Partial
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
	c.Reruns += o.Reruns
	c.Rejected += o.Rejected
	c.MalformedAnswers += o.MalformedAnswers
	c.Cancelled += o.Cancelled
	c.QuotaGranted += o.QuotaGranted
	c.QuotaOwnPart += o.QuotaOwnPart
	c.QuotaDenied += o.QuotaDenied
	c.GroupsDelegated += o.GroupsDelegated
	c.GroupsRevoked += o.GroupsRevoked
}

// countQuota counts a request of an organisation with a quota.
func (c *Counters) countQuota(d QuotaDecision) {
	switch d {
	case QuotaGranted:
		c.QuotaGranted++
	case QuotaOwnPart:
		c.QuotaOwnPart++
	case QuotaDenied:
		c.QuotaDenied++
	}
}
