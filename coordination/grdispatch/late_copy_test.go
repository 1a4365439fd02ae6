package grdispatch

import (
	"testing"

	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// copiedAnswer is an answer that a searcher sends once more, in front of the next answer on
// the connection.
type copiedAnswer struct {
	id   grident.CorrelationID
	kind ReplyKind
}

// lateCopySimulation submits requests that are not idempotent to two searchers that refuse
// half of what they get and repeat a tenth of their answers late.
type lateCopySimulation struct {
	dispatcher *Dispatcher
	random     grident.Random
	out        Output
	copies     map[ConnID]copiedAnswer
	carried    map[ConnID]map[grident.CorrelationID]bool
	ids        map[SubRequestKey]grident.CorrelationID
	runs       map[SubRequestKey]int
	ends       map[SubRequestKey]DoneKind
	replies    map[grclock.Millis][]Reply
	violations []string
}

func newLateCopySimulation(seed uint64) *lateCopySimulation {
	s := &lateCopySimulation{
		random: grident.Random{State: seed}, copies: make(map[ConnID]copiedAnswer), carried: make(map[ConnID]map[grident.CorrelationID]bool),
		ids: make(map[SubRequestKey]grident.CorrelationID), runs: make(map[SubRequestKey]int), ends: make(map[SubRequestKey]DoneKind),
		replies: make(map[grclock.Millis][]Reply),
	}
	budget := &grstat.TokenBucket{Capacity: 1e6}
	budget.Fill()
	s.dispatcher = &Dispatcher{Policy: RoutePolicy(), RetryBudget: budget, HedgeBudget: budget, Random: grident.Random{State: seed + 1}}
	s.dispatcher.Init()
	if seed%2 == 0 {
		s.dispatcher.SetWarmConns(0, WarmConnTargets{Local: 1, Remote: 1}, &s.out)
	}
	limit := 1 + s.random.IntN(3)
	s.dispatcher.SetSearchers(0, []Searcher{{ID: "a", Slots: 2, ConnLimit: limit}, {ID: "b", Slots: 2, ConnLimit: limit}}, &s.out)
	return s
}

func (s *lateCopySimulation) run(span grclock.Millis) {
	for now := grclock.Millis(1); now < span; now++ {
		if now%20 == 0 && now < span-3*grclock.Second {
			s.submit(now)
		}
		for _, reply := range s.replies[now] {
			s.dispatcher.HandleReply(now, reply, &s.out)
		}
		s.dispatcher.Tick(now, &s.out)
		for len(s.out.Actions)+len(s.out.Done) > 0 {
			got := s.out
			s.out = Output{}
			for _, done := range got.Done {
				s.ends[done.Key] = done.Kind
			}
			for _, a := range got.Actions {
				s.execute(now, a)
			}
		}
	}
}

// submit submits a request; each tenth one bears the id of the one before it.
func (s *lateCopySimulation) submit(now grclock.Millis) {
	key := SubRequestKey{Query: grident.QueryID(now)}
	s.ids[key] = grident.CorrelationID(now)
	if now%200 == 0 {
		s.ids[key] -= 20
	}
	s.dispatcher.Submit(now, SubRequest{Key: key, Correlation: s.ids[key], NonIdempotent: true, Deadline: now + 2000}, &s.out)
}

func (s *lateCopySimulation) execute(now grclock.Millis, a Action) {
	switch a.Kind {
	case OpenConn:
		s.carried[a.Conn] = make(map[grident.CorrelationID]bool)
		s.dispatcher.ConnOpened(now, a.Searcher, a.Conn, &s.out)
	case Send:
		reply := s.answer(a)
		reply.Attempt = a.Attempt
		end := now + 1 + grclock.Millis(s.random.IntN(15))
		s.replies[end] = append(s.replies[end], reply)
	}
}

// answer returns what the router reads on the connection in answer to an attempt.
func (s *lateCopySimulation) answer(a Action) Reply {
	id := s.ids[a.Key]
	if s.carried[a.Conn][id] {
		s.violations = append(s.violations, "a connection carried two requests of one id")
	}
	s.carried[a.Conn][id] = true
	earlier, hasCopy := s.copies[a.Conn]
	delete(s.copies, a.Conn)
	refused := s.random.IntN(2) == 0
	if !refused {
		s.runs[a.Key]++
	}
	if hasCopy && earlier.id == id {
		return Reply{Kind: earlier.kind, ReusableConn: true}
	}
	if hasCopy {
		return Reply{Kind: LostReply}
	}
	own := copiedAnswer{id, OK}
	if refused {
		own.kind = Shed
	}
	if s.random.IntN(10) == 0 {
		s.copies[a.Conn] = own
	}
	return Reply{Kind: own.kind, ReusableConn: true}
}

// TestLateCopyOfRefusal guards against taking a late copy of a refusal for the answer to
// the next attempt: a request ran twice, or was reported as not run and ran.
func TestLateCopyOfRefusal(t *testing.T) {
	for seed := range uint64(200) {
		s := newLateCopySimulation(seed)
		s.run(10 * grclock.Second)
		answered := 0
		for key := range s.ids {
			if s.runs[key] > 1 {
				s.violations = append(s.violations, "a request ran twice")
			}
			if s.ends[key] == NotStarted && s.runs[key] > 0 {
				s.violations = append(s.violations, "a request that ran was reported as not started")
			}
			if s.ends[key] == Answered {
				answered++
			}
		}
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(s.violations), s.violations[0])
		}
		if len(s.ends) != len(s.ids) || answered < len(s.ids)/2 {
			t.Fatalf("seed %d: of %d requests %d ended, %d answered", seed, len(s.ids), len(s.ends), answered)
		}
	}
}

// TestUsedUpConnReplaced checks that a connection is replaced after maxCarried requests, so
// that the ids recorded for it stay few.
func TestUsedUpConnReplaced(t *testing.T) {
	var out Output
	dispatcher := &Dispatcher{Policy: RoutePolicy()}
	dispatcher.Init()
	dispatcher.SetSearchers(0, []Searcher{{ID: "a", Slots: 1, ConnLimit: 1}}, &out)
	opened, longest := 0, 0
	for now := grclock.Millis(1); now <= 3*maxCarried; now++ {
		key := SubRequestKey{Query: grident.QueryID(now)}
		dispatcher.Submit(now, SubRequest{Key: key, Correlation: grident.CorrelationID(now), Deadline: now + 1000}, &out)
		for len(out.Actions) > 0 {
			actions := out.Actions
			out = Output{}
			for _, a := range actions {
				switch a.Kind {
				case OpenConn:
					opened++
					dispatcher.ConnOpened(now, a.Searcher, a.Conn, &out)
				case Send:
					longest = max(longest, len(dispatcher.searchers[0].conns.carried[a.Conn]))
					dispatcher.HandleReply(now, Reply{Attempt: a.Attempt, Kind: OK, ReusableConn: true}, &out)
				}
			}
		}
	}
	if opened < 3 || longest > maxCarried || len(dispatcher.searchers[0].conns.carried) > 1 {
		t.Errorf("%d connections opened, at most %d ids on one, ids of %d kept", opened, longest, len(dispatcher.searchers[0].conns.carried))
	}
}
