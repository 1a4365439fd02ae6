package grdispatch

import "geraniumrouter/coordination/grstat"

// slowdownTracker compares what the newest answer of a searcher says of the speed of its machine
// with the average over the answers that its latency estimate consists of. Searchers share
// their machines with other programs, so work suddenly takes several times as long for some
// hundred milliseconds; the latency estimate alone needs several answers to follow.
type slowdownTracker struct {
	latest  float64 // 0: not stated
	average grstat.EWMA
}

// record notes the slowdown that an answer stated, together with its latency.
func (s *slowdownTracker) record(slowdown float64) {
	if slowdown <= 0 {
		*s = slowdownTracker{}
		return
	}
	s.latest = slowdown
	s.average.Add(slowdown, latencyWeight)
}

// restart drops the average, after the latency estimate was replaced.
func (s *slowdownTracker) restart() {
	s.average = grstat.EWMA{}
	if s.latest > 0 {
		s.average.Add(s.latest, 1)
	}
}

// change returns the factor by which work takes longer at present than in the average of the
// latency estimate; 1 if the searcher states nothing.
func (s *slowdownTracker) change() float64 {
	if s.latest == 0 {
		return 1
	}
	return s.latest / s.average.Value(s.latest)
}
