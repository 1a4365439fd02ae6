package grrouter

import "geraniumrouter/state/grclock"

// maxFirstConnWait limits how long an instance that has its first connection waits for one to
// each other service. A service that is down delays a start by no more.
const maxFirstConnWait = 5 * grclock.Second

// ReadyForQueries reports whether queries may be sent to this instance: a connection is open
// and, when the instance starts, each service has one, has no searcher to connect to, or did
// not get one in time. A service that is lost later does not count.
func (r *Router) ReadyForQueries(now grclock.Millis) bool {
	if !r.HasConn() {
		return false
	}
	r.firstConnsAwaited = r.firstConnsAwaited || now >= r.firstConnAt+maxFirstConnWait || !r.awaitsConn()
	return r.firstConnsAwaited
}

// awaitsConn reports whether any service may still get its first connection.
func (r *Router) awaitsConn() bool {
	for _, dispatcher := range r.dispatchers {
		if dispatcher.AwaitsConn() {
			return true
		}
	}
	return false
}
