package grstandupstream

import (
	"context"
	"encoding/json"
	"net/http"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grhttp"
)

// Paths of the controls of a process.
const (
	FaultsPath  = "/control/faults"  // POST FaultsRequest
	HoldPath    = "/control/hold"    // POST HoldRequest
	ReportsPath = "/control/reports" // GET []Report
)

// FaultsRequest sets the faults of one searcher, or of all with id "".
type FaultsRequest struct {
	ID     string `json:"id"`
	Faults Faults `json:"faults"`
}

// HoldRequest makes the searchers hold a snapshot.
type HoldRequest struct {
	Map    grwire.MapWire `json:"map"`
	Oldest uint64         `json:"oldest"`
}

// Process plays all searchers of a deployment. Set the exported fields before
// Run.
type Process struct {
	Deployment grstanddata.Deployment
	Instances  []grwire.InstanceWire // those to play
	Control    grid.Address
	Service50  grclock.Millis
	Cold       grclock.Millis
	Clock      grclock.Clock
	Seed       uint64
	Holdings   Holdings
	Searchers  []*Searcher
}

// Init makes the searchers; Run does it if it was not done.
func (p *Process) Init() {
	for _, g := range p.Deployment.Groups {
		w := grwire.MapTo(g.Map(1, 1, 0))
		p.Holdings.Hold(&w, 1)
	}
	for _, i := range p.Instances {
		g := p.Deployment.Group(grid.Service(i.Service))
		p.Searchers = append(p.Searchers, &Searcher{
			Clock:    p.Clock,
			Holdings: &p.Holdings,
			Spec: Spec{
				ID:         i.ID,
				Service:    grid.Service(i.Service),
				Collection: g.Collection,
				Address:    grid.Address(i.Address),
				Slots:      g.Slots,
				ConnLimit:  g.ConnLimit,
				Connect:    g.Connect,
				Service50:  p.Service50,
				Cold:       p.Cold,
				Seed:       p.Seed,
			},
		})
	}
}

// Run serves until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	if p.Searchers == nil {
		p.Init()
	}
	group := grgroup.New(ctx)
	for _, s := range p.Searchers {
		group.Start(s.Run)
	}
	control := &grhttp.Server{Address: p.Control, Handler: p.handler()}
	group.Start(control.Run)
	return group.Wait()
}

func (p *Process) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		var ask FaultsRequest
		if json.NewDecoder(r.Body).Decode(&ask) != nil {
			grhttp.Reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		for _, s := range p.Searchers {
			if ask.ID == "" || ask.ID == s.Spec.ID {
				s.SetFaults(ask.Faults)
			}
		}
		grhttp.Reply(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("POST "+HoldPath, func(w http.ResponseWriter, r *http.Request) {
		var ask HoldRequest
		if json.NewDecoder(r.Body).Decode(&ask) != nil {
			grhttp.Reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		p.Holdings.Hold(&ask.Map, ask.Oldest)
		grhttp.Reply(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET "+ReportsPath, func(w http.ResponseWriter, _ *http.Request) {
		reports := make([]Report, len(p.Searchers))
		for i, s := range p.Searchers {
			reports[i] = s.Report()
		}
		grhttp.Reply(w, http.StatusOK, reports)
	})
	return mux
}
