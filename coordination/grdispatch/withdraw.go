package grdispatch

import "geraniumrouter/state/grclock"

// Withdraw ends a sub-request that nobody waits for any more with a Done, if no searcher can
// have started it. Otherwise it goes on, because its outcome matters, and is not sent again.
func (d *Dispatcher) Withdraw(now grclock.Millis, key SubRequestKey, out *Output) {
	index, ok := d.byKey[key]
	if !ok {
		return
	}
	s := &d.subs[index]
	s.withdrawn = true
	if s.active > 0 || s.mayHaveRun {
		return
	}
	d.finish(now, index, d.doneKind(s, NotStarted), out)
	d.dispatch(now, out)
}
