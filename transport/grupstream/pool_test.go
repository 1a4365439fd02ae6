package grupstream

import (
	"context"
	"net"
	"testing"
	"time"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/transport/grdial"
	"geraniumrouter/transport/grgroup"
)

// patience bounds the waits; a test that needs it has failed.
const patience = 20 * time.Second

// rig is a pool and a listener that takes connections and does nothing.
type rig struct {
	t        *testing.T
	pool     *Pool
	events   chan Event
	accepted chan net.Conn
	address  grid.Address
}

func newRig(t *testing.T, silent grclock.Millis) *rig {
	t.Helper()
	group := grgroup.New(context.Background())
	r := &rig{t: t, events: make(chan Event, 16), accepted: make(chan net.Conn, 16)}
	r.pool = &Pool{Group: group, Clock: grclock.System(), Silent: silent, Report: func(e Event) { r.events <- e }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = grid.Address(listener.Addr().String())
	group.Start(func(context.Context) error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			r.accepted <- c
		}
	})
	t.Cleanup(func() {
		listener.Close()
		group.Stop()
	})
	return r
}

func (r *rig) next(kind EventKind) Event {
	r.t.Helper()
	select {
	case e := <-r.events:
		if e.Kind != kind {
			r.t.Fatalf("event %d, want %d", e.Kind, kind)
		}
		return e
	case <-time.After(patience):
		r.t.Fatal("no event")
	}
	return Event{}
}

func (r *rig) send(place Place) {
	exchange := &Search{Context: context.Background(), Asked: grwire.SearchRequest{Attempt: 7}}
	r.pool.Send(place, Sending{Attempt: 7, Exchange: exchange})
}

// TestSilentConnection ends an attempt whose connection went silent, as one of
// which it is not known whether it ran.
func TestSilentConnection(t *testing.T) {
	r := newRig(t, 100)
	place := Place{Conn: 1}
	r.pool.Open(place, r.address, grdial.Traffic{})
	r.next(Opened)
	r.send(place)
	if e := r.next(Replied); e.Reply.Kind != grleaf.LostReply || e.Reply.KeepConn || e.Reply.Attempt != 7 {
		t.Errorf("reply %+v", e.Reply)
	}
}

// TestClosedWhileIdle reports a connection that the other end closed.
func TestClosedWhileIdle(t *testing.T) {
	r := newRig(t, 5000)
	place := Place{Conn: 1}
	r.pool.Open(place, r.address, grdial.Traffic{})
	r.next(Opened)
	(<-r.accepted).Close()
	if e := r.next(Ended); e.Place != place {
		t.Errorf("place %v", e.Place)
	}
}

// TestNotSent refuses an attempt on a connection that is gone, as one that
// certainly did not run.
func TestNotSent(t *testing.T) {
	r := newRig(t, 5000)
	r.send(Place{Conn: 9})
	if e := r.next(Replied); e.Reply.Kind != grleaf.Refused {
		t.Errorf("reply %+v", e.Reply)
	}
}

// TestRefusedConnection reports a connection that cannot be opened.
func TestRefusedConnection(t *testing.T) {
	r := newRig(t, 5000)
	r.pool.Open(Place{Conn: 1}, "127.0.0.1:1", grdial.Traffic{})
	r.next(NotOpen)
}
