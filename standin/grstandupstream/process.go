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

// HTTP paths that control the searchers of a process.
const (
	FaultsPath  = "/control/faults"  // POST FaultsRequest
	HoldPath    = "/control/hold"    // POST HoldRequest
	ReportsPath = "/control/reports" // GET []Report
)

// FaultsRequest sets the faults of the searcher with the ID, or of all
// searchers if it is empty.
type FaultsRequest struct {
	ID     string `json:"id"`
	Faults Faults `json:"faults"`
}

// HoldRequest loads a snapshot on the searchers and removes index versions
// older than Oldest.
type HoldRequest struct {
	Map    grwire.MapWire `json:"map"`
	Oldest uint64         `json:"oldest"`
}

// Process runs the given searchers of a deployment within one process. Set the
// exported fields before Run; Searchers is filled in by Init.
type Process struct {
	Deployment grstanddata.Deployment
	Instances  []grwire.InstanceWire // searchers to run
	Control    grid.Address          // listen address of the control paths
	Service50  grclock.Millis        // median time of a search
	Cold       grclock.Millis        // period after the start in which searches are slower
	Clock      grclock.Clock
	Seed       uint64
	Snapshots  Snapshots
	Searchers  []*Searcher
}

// Init creates the searchers and loads the initial snapshots. Run calls it
// unless it was called before.
func (p *Process) Init() {
	for _, g := range p.Deployment.Groups {
		m := grwire.MapTo(g.Map(1, 1, 0))
		p.Snapshots.Load(&m, 1)
	}
	for _, i := range p.Instances {
		g := p.Deployment.Group(grid.Service(i.Service))
		p.Searchers = append(p.Searchers, &Searcher{
			Clock:     p.Clock,
			Snapshots: &p.Snapshots,
			Spec: Spec{
				ID:               i.ID,
				Service:          grid.Service(i.Service),
				Collection:       g.Collection,
				Address:          grid.Address(i.Address),
				Slots:            g.Slots,
				ConnLimit:        g.ConnLimit,
				ConnectDelay:     g.ConnectDelay,
				MedianSearchTime: p.Service50,
				WarmUp:           p.Cold,
				Seed:             p.Seed,
			},
		})
	}
}

// Run serves until ctx is cancelled or a server fails.
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
		var req FaultsRequest
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			grhttp.Reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		for _, s := range p.Searchers {
			if req.ID == "" || req.ID == s.Spec.ID {
				s.SetFaults(req.Faults)
			}
		}
		grhttp.Reply(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("POST "+HoldPath, func(w http.ResponseWriter, r *http.Request) {
		var req HoldRequest
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			grhttp.Reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		p.Snapshots.Load(&req.Map, req.Oldest)
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
