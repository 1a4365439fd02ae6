// Package gropening decides in which order connections to searchers are opened, and how many
// at the same time.
//
// A Queue is a pure state machine between the dispatchers, which decide that a connection is
// needed, and the transport, which opens it:
//
//	queue.Add(gropening.Opening{Service: 3, Searcher: 1, Conn: 17, Local: true})
//	for {
//		opening, ok := queue.Next(now, demand)
//		if !ok {
//			break
//		}
//		// Open the connection, and call queue.Ended with the result.
//	}
package gropening

import (
	"slices"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/state/grclock"
)

// MaxInProgress is the number of openings in progress at the same time. An opening takes about
// 0.1 ms of a full core, so with 0.2 of a core a request that arrives meanwhile waits for at
// most 4 ms of them. Where an answer to an opening takes 1 ms, 450 connections are open after
// 60 ms.
const MaxInProgress = 8

// slowAfter is the time after which an opening no longer counts as in progress: the searcher
// is out of reach, and waiting for it takes no processor time. Otherwise the searchers of a
// failure domain that is cut off would delay the openings to all others.
const slowAfter = 25 * grclock.Millisecond

// Opening is a connection to be opened. Service and Searcher are indexes as in
// grdispatch.Action.
type Opening struct {
	Service  int32
	Searcher int32
	Conn     grdispatch.ConnID
	Local    bool // the searcher is in the failure domain of this instance
}

// Demand tells what openings are needed for.
type Demand interface {
	// Waiting returns the number of sub-requests to a service that wait to be sent.
	Waiting(service int32) int
	// HasConn reports whether a connection to any searcher of a service is open.
	HasConn(service int32) bool
	// HasConnTo reports whether a connection to the searcher is open.
	HasConnTo(service, searcher int32) bool
}

// Queue holds the openings that have not begun. The zero value is usable.
type Queue struct {
	services map[int32]*serviceOpenings
	order    []int32 // services with openings that have not begun, in the order in which they came
	begun    []begunOpening
}

// serviceOpenings are the openings of one service.
type serviceOpenings struct {
	queued []Opening
	begun  []begunOpening
}

// begunOpening is an opening that takes processor time.
type begunOpening struct {
	Opening
	at grclock.Millis
}

// urgency is the order of openings: lower values come first.
type urgency int

const (
	firstOfService  urgency = iota // no searcher of the service is connected
	firstOfSearcher                // the searcher is local and not connected
	further
	notAwaited // added where no sub-request waits for the opening
)

// Add adds an opening.
func (q *Queue) Add(o Opening) {
	s := q.services[o.Service]
	if s == nil {
		if q.services == nil {
			q.services = make(map[int32]*serviceOpenings)
		}
		s = &serviceOpenings{}
		q.services[o.Service] = s
	}
	if len(s.queued) == 0 {
		q.order = append(q.order, o.Service)
	}
	s.queued = append(s.queued, o)
}

// Len returns the number of openings that have not begun.
func (q *Queue) Len() int {
	n := 0
	for _, service := range q.order {
		n += len(q.services[service].queued)
	}
	return n
}

// Next returns the opening to begin now; ok is false if there is none, or as many as allowed
// are in progress.
func (q *Queue) Next(now grclock.Millis, d Demand) (o Opening, ok bool) {
	q.begun = slices.DeleteFunc(q.begun, func(b begunOpening) bool { return now-b.at >= slowAfter })
	if len(q.begun) >= MaxInProgress || len(q.order) == 0 {
		return Opening{}, false
	}
	best, bestIndex, bestUrgency := q.order[0], 0, 2*notAwaited
	for _, service := range q.order {
		if i, u := q.services[service].mostUrgent(now, service, d); u < bestUrgency {
			best, bestIndex, bestUrgency = service, i, u
		}
	}
	s := q.services[best]
	o = s.queued[bestIndex]
	s.queued = slices.Delete(s.queued, bestIndex, bestIndex+1)
	s.begun = append(s.begun, begunOpening{o, now})
	if len(s.queued) == 0 {
		q.order = slices.DeleteFunc(q.order, func(service int32) bool { return service == best })
	}
	q.begun = append(q.begun, begunOpening{o, now})
	return o, true
}

// Ended records that an opening succeeded or failed.
func (q *Queue) Ended(service, searcher int32, conn grdispatch.ConnID) {
	is := func(o Opening) bool { return o.Service == service && o.Searcher == searcher && o.Conn == conn }
	q.begun = slices.DeleteFunc(q.begun, func(b begunOpening) bool { return is(b.Opening) })
	if s := q.services[service]; s != nil {
		s.begun = slices.DeleteFunc(s.begun, func(b begunOpening) bool { return is(b.Opening) })
	}
}

// NextWake returns the time by which Next must be called.
func (q *Queue) NextWake() grclock.Millis {
	if len(q.order) == 0 || len(q.begun) == 0 {
		return grclock.Never
	}
	return q.begun[0].at + slowAfter
}

// mostUrgent returns the index and the urgency of the service's opening to begin next. Openings
// that have taken long may never succeed, so others are tried as if they had not begun.
func (s *serviceOpenings) mostUrgent(now grclock.Millis, service int32, d Demand) (int, urgency) {
	inProgress := 0
	for _, b := range s.begun {
		if now-b.at < slowAfter {
			inProgress++
		}
	}
	base := notAwaited
	if d.Waiting(service) > inProgress {
		base = firstOfService
	}
	if inProgress == 0 && !d.HasConn(service) {
		i := slices.IndexFunc(s.queued, func(o Opening) bool { return o.Local && !s.hasBegunTo(o.Searcher) })
		return max(i, 0), base + firstOfService
	}
	for i, o := range s.queued {
		if o.Local && !s.hasBegunTo(o.Searcher) && !d.HasConnTo(service, o.Searcher) {
			return i, base + firstOfSearcher
		}
	}
	return 0, base + further
}

func (s *serviceOpenings) hasBegunTo(searcher int32) bool {
	return slices.ContainsFunc(s.begun, func(b begunOpening) bool { return b.Searcher == searcher })
}
