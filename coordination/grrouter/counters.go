package grrouter

// Counters are the totals of a router since its start.
type Counters struct {
	Queries, Complete, Partial, NotRun, Unknown uint64
	Reruns, Refused, Malformed, Cancelled       uint64
	Delegated, Undelegated                      uint64 // groups of shards delegated to peers, and delegations revoked
}

// Add adds the counters of another router to c.
func (c *Counters) Add(o *Counters) {
	c.Queries += o.Queries
	c.Complete += o.Complete
	c.Partial += o.Partial
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
	c.Reruns += o.Reruns
	c.Refused += o.Refused
	c.Malformed += o.Malformed
	c.Cancelled += o.Cancelled
	c.Delegated += o.Delegated
	c.Undelegated += o.Undelegated
}
