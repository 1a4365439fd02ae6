package grdispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"geraniumrouter/coordination/grstat"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// script plays a dispatcher in virtual time. Connections open at once. Its commands are:
//
//	searchers                            (one a line: "id key=value ...") the complete list
//	submit query=N [deadline=MS] [once]  once: the request is not idempotent
//	reply searcher=ID kind=K [leaving] [refused-for=MS]  the oldest attempt at the searcher ends
//	restart searcher=ID                  the list names a later run of the searcher
//	wait ms=N
type script struct {
	now        grclock.Millis
	dispatcher *Dispatcher
	list       []Searcher
	inFlight   []Action
	out        Output
	log        strings.Builder
}

func newScript() *script {
	budget := &grstat.TokenBucket{Capacity: 1000}
	budget.Fill()
	policy := RoutePolicy()
	policy.LoadBalancing = RoundRobin
	s := &script{dispatcher: &Dispatcher{Policy: policy, HedgeBudget: budget, RetryBudget: budget}}
	s.dispatcher.Init()
	return s
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	s.log.Reset()
	switch d.Cmd {
	case "searchers":
		s.list = s.list[:0]
		for line := range strings.Lines(d.Input) {
			s.list = append(s.list, parseSearcher(t, strings.Fields(line)))
		}
		s.dispatcher.SetSearchers(s.now, slices.Clone(s.list), &s.out)
	case "restart":
		var id string
		d.ScanArgs(t, "searcher", &id)
		i := slices.IndexFunc(s.list, func(l Searcher) bool { return string(l.ID) == id })
		s.list[i].Incarnation++
		s.dispatcher.SetSearchers(s.now, slices.Clone(s.list), &s.out)
	case "submit":
		s.submit(t, d)
	case "reply":
		s.reply(t, d)
	case "wait":
		var ms int64
		d.ScanArgs(t, "ms", &ms)
		s.wait(grclock.Millis(ms))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	s.settle()
	if wait := s.dispatcher.RefusedFor(s.now); wait > 0 {
		s.logf("all refuse for %d ms", wait)
	}
	return s.log.String()
}

func parseSearcher(t *testing.T, fields []string) Searcher {
	t.Helper()
	s := Searcher{ID: grident.SearcherID(fields[0]), Slots: 2, ConnLimit: 4, Incarnation: 1}
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "address":
			s.Address = grident.Address(value)
		case "run":
			if _, err := fmt.Sscan(value, &s.Incarnation); err != nil {
				t.Fatal(err)
			}
		case "not-holder":
			s.NotHolder, s.ConnLimit = true, 0
		}
	}
	return s
}

func (s *script) submit(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	var query, deadline int64
	d.ScanArgs(t, "query", &query)
	d.MaybeScanArgs(t, "deadline", &deadline)
	if deadline == 0 {
		deadline = int64(2 * grclock.Second)
	}
	s.dispatcher.Submit(s.now, SubRequest{
		Key: SubRequestKey{Query: grident.QueryID(query)}, Deadline: s.now + grclock.Millis(deadline),
		HedgeDelay: grclock.Second, NonIdempotent: d.HasArg("once"),
	}, &s.out)
}

func (s *script) reply(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	var id, kind string
	d.ScanArgs(t, "searcher", &id)
	d.ScanArgs(t, "kind", &kind)
	i := slices.IndexFunc(s.inFlight, func(a Action) bool { return string(a.ID) == id })
	if i < 0 {
		t.Fatalf("%s: no attempt in flight at %s", d.Pos, id)
	}
	var refusedFor int64
	d.MaybeScanArgs(t, "refused-for", &refusedFor)
	reply := Reply{
		Attempt: s.inFlight[i].Attempt, ReusableConn: true, Leaving: d.HasArg("leaving"), RefusedFor: grclock.Millis(refusedFor),
	}
	for reply.Kind = OK; reply.Kind.String() != kind; reply.Kind++ {
		continue
	}
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	s.dispatcher.HandleReply(s.now, reply, &s.out)
}

func (s *script) wait(span grclock.Millis) {
	for end := s.now + span; s.now < end; {
		s.now = min(end, max(s.now+1, s.dispatcher.NextWake()))
		s.dispatcher.Tick(s.now, &s.out)
		s.settle()
	}
}

// settle carries out the actions until there are none left, and logs what can be seen from outside.
func (s *script) settle() {
	for len(s.out.Actions)+len(s.out.Done)+len(s.out.Departures) > 0 {
		out := s.out
		s.out = Output{}
		for _, a := range out.Actions {
			switch a.Kind {
			case OpenConn:
				s.dispatcher.ConnOpened(s.now, a.Searcher, a.Conn, &s.out)
			case Send:
				s.inFlight = append(s.inFlight, a)
				s.logf("query %d sent to %s", a.Key.Query, a.ID)
			}
		}
		for _, departure := range out.Departures {
			s.logf("%s leaves", departure.Searcher)
		}
		for _, done := range out.Done {
			s.logf("query %d ends: %s", done.Key.Query, [...]string{"answered", "not started", "snapshot gone", "unknown", "expired"}[done.Kind])
		}
	}
}

func (s *script) logf(format string, args ...any) {
	fmt.Fprintf(&s.log, "%d ms: %s\n", s.now, fmt.Sprintf(format, args...))
}

// TestScripts plays the scripts in testdata/scripts, each in a dispatcher of its own.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := newScript()
		datadriven.RunTest(t, path, s.run)
	})
}
