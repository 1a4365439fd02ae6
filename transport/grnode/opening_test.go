package grnode

import (
	"fmt"
	"net"
	"testing"
	"time"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/gropening"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// TestOpeningsLimited guards against an instance that begins to open all its connections at
// once after a start, and against openings that never begin.
func TestOpeningsLimited(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	n := prepareNode(t, struct{ Adapter }{})
	l := &n.routerLoop
	now := n.Clock.Now()
	const services = 30
	table := &grroutes.Table{Version: 1}
	for i := range services {
		table.Services = append(table.Services, grroutes.Service{Name: grident.Service(fmt.Sprint("s", i)), ConnLimit: 9})
	}
	tableActivated{table}.apply(l, now)
	for _, s := range table.Services {
		id := grident.SearcherID(s.Name + "/1")
		update := &serviceUpdated{
			service:   s.Name,
			searchers: []grdispatch.Searcher{{ID: id, Address: grident.Address(listener.Addr().String()), Domain: "d1", Slots: 2, ConnLimit: 2}},
		}
		update.apply(l, now)
	}
	l.processOutput(now)
	if left := l.openings.Len(); left != services-gropening.MaxInProgress {
		t.Fatalf("%d openings have not begun, want %d", left, services-gropening.MaxInProgress)
	}
	timeout := time.After(10 * time.Second)
	for opened := 0; opened < services; {
		select {
		case e := <-n.events.Items():
			if _, ok := e.(*upstreamEvent); ok {
				opened++
			}
			l.handle(n.Clock.Now(), e)
		case <-timeout:
			t.Fatalf("%d connections opened, want %d", opened, services)
		}
	}
	if left := l.openings.Len(); left != 0 {
		t.Errorf("%d openings are left", left)
	}
}
