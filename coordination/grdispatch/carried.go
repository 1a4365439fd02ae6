package grdispatch

import (
	"slices"

	"geraniumrouter/state/grident"
)

// A searcher may send an answer a second time, at any later point of the connection. Where
// attempts of one request share an id, such a copy looks like the answer to the next
// attempt. So no connection carries two attempts of the same correlation id: an answer with
// that id then belongs to the only attempt that it can belong to.

// maxCarried is the number of requests after which a connection is replaced. It bounds the
// memory for their ids.
const maxCarried = 256

// mayCarry reports whether the connection has not carried a request of that id yet.
func (p *connPool) mayCarry(conn ConnID, id grident.CorrelationID) bool {
	return id == 0 || !slices.Contains(p.carried[conn], id)
}

// recordCarried records that the connection carries a request.
func (p *connPool) recordCarried(conn ConnID, id grident.CorrelationID) {
	if id == 0 {
		return
	}
	if p.carried == nil {
		p.carried = make(map[ConnID][]grident.CorrelationID)
	}
	p.carried[conn] = append(p.carried[conn], id)
}

// isUsedUp reports whether the connection must be replaced.
func (p *connPool) isUsedUp(conn ConnID) bool { return len(p.carried[conn]) >= maxCarried }

// idleFor returns the index of the most recently used idle connection that may carry a
// request of that id, or -1.
func (p *connPool) idleFor(id grident.CorrelationID) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.mayCarry(p.idle[i].id, id) {
			return i
		}
	}
	return -1
}

// takeFor removes and returns the connection that idleFor finds; there must be one.
func (p *connPool) takeFor(id grident.CorrelationID) ConnID {
	i := p.idleFor(id)
	conn := p.idle[i].id
	p.idle = slices.Delete(p.idle, i, i+1)
	return conn
}

// isReplaceable reports whether connections are idle, but none that may carry a request of
// that id. One of them may then be replaced by a new connection.
func (p *connPool) isReplaceable(id grident.CorrelationID) bool {
	return len(p.idle) > 0 && p.idleFor(id) < 0
}
