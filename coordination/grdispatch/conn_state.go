package grdispatch

// ConnCount returns the number of connections to the searcher, including those being
// opened.
func (d *Dispatcher) ConnCount(searcher int32) int { return d.searchers[searcher].conns.total }

// WithinConnLimits reports whether no searcher has more connections than its connection
// limit.
func (d *Dispatcher) WithinConnLimits() bool {
	for i := range d.searchers {
		if r := &d.searchers[i]; r.present && r.conns.total > d.connLimit(r) {
			return false
		}
	}
	return true
}

// HasConn reports whether a connection to any searcher is established.
func (d *Dispatcher) HasConn() bool {
	for i := range d.searchers {
		if c := &d.searchers[i].conns; c.total > c.opening {
			return true
		}
	}
	return false
}

// HasConnTo reports whether a connection to the searcher is established.
func (d *Dispatcher) HasConnTo(searcher int32) bool {
	c := &d.searchers[searcher].conns
	return c.total > c.opening
}

// AwaitsConn reports whether a first connection may still come about: none is established to
// a searcher that accepts work, and either such a searcher that this instance may connect to
// is listed, or no list is known yet.
func (d *Dispatcher) AwaitsConn() bool {
	awaits := !d.hasSearcherList
	for i := range d.searchers {
		r := &d.searchers[i]
		if !r.usable() {
			continue
		}
		if r.conns.total > r.conns.opening {
			return false
		}
		awaits = awaits || !r.NotHolder
	}
	return awaits
}

// MayConnect reports whether this instance may hold a connection to any searcher that accepts
// work. It is true while no searcher is known.
func (d *Dispatcher) MayConnect() bool {
	excluded := false
	for i := range d.searchers {
		if r := &d.searchers[i]; r.usable() {
			if !r.NotHolder {
				return true
			}
			excluded = true
		}
	}
	return !excluded
}
