package grstandupstream

import (
	"context"
	"encoding/json"
	"net/http"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grhttp"
)

// HTTP paths that control the searchers of a process.
const (
	FaultsPath       = "/control/faults"  // POST FaultsRequest
	LoadSnapshotPath = "/control/hold"    // POST LoadSnapshotRequest
	ReportsPath      = "/control/reports" // GET []Report
)

// FaultsRequest sets the faults of the searcher with the ID, or of all
// searchers if it is empty.
type FaultsRequest struct {
	ID     string `json:"id"`
	Faults Faults `json:"faults"`
}

// LoadSnapshotRequest loads a snapshot on the searchers and removes index versions
// older than OldestIndex.
type LoadSnapshotRequest struct {
	Map         grwire.MapWire `json:"map"`
	OldestIndex uint64         `json:"oldest"`
}

// Process runs the given searchers of a deployment within one process. Set the
// exported fields before Run; Searchers is filled in by Init.
type Process struct {
	Deployment       grstanddata.Deployment
	Instances        []grwire.InstanceWire // searchers to run
	ControlAddress   grident.Address       // listen address of the control paths
	MedianSearchTime grclock.Millis        // median time of a search
	WarmUp           grclock.Millis        // period after the start in which searches are slower
	Clock            grclock.Clock
	Seed             uint64
	Snapshots        Snapshots
	Searchers        []*Searcher
}

// Init creates the searchers and loads the initial snapshots. Run calls it
// unless it was called before.
func (p *Process) Init() {
	for _, spec := range p.Deployment.Collections {
		m := grwire.ShardMapTo(spec.Map(1, 1, 0))
		p.Snapshots.Load(&m, 1)
	}
	for _, i := range p.Instances {
		spec := p.Deployment.CollectionOf(grident.Service(i.Service))
		p.Searchers = append(p.Searchers, &Searcher{
			Clock:     p.Clock,
			Snapshots: &p.Snapshots,
			Spec: Spec{
				ID:               i.ID,
				Service:          grident.Service(i.Service),
				Collection:       spec.Collection,
				Address:          grident.Address(i.Address),
				Slots:            spec.Slots,
				ConnLimit:        spec.ConnLimit,
				ConnectDelay:     spec.ConnectDelay,
				MedianSearchTime: p.MedianSearchTime,
				WarmUp:           p.WarmUp,
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
	control := &grhttp.Server{Address: p.ControlAddress, Handler: p.handler()}
	group.Start(control.Run)
	return group.Wait()
}

func (p *Process) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		var req FaultsRequest
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			grhttp.WriteJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		for _, s := range p.Searchers {
			if req.ID == "" || req.ID == s.Spec.ID {
				s.SetFaults(req.Faults)
			}
		}
		grhttp.WriteJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("POST "+LoadSnapshotPath, func(w http.ResponseWriter, r *http.Request) {
		var req LoadSnapshotRequest
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			grhttp.WriteJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		p.Snapshots.Load(&req.Map, req.OldestIndex)
		grhttp.WriteJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET "+ReportsPath, func(w http.ResponseWriter, _ *http.Request) {
		reports := make([]Report, len(p.Searchers))
		for i, s := range p.Searchers {
			reports[i] = s.Report()
		}
		grhttp.WriteJSON(w, http.StatusOK, reports)
	})
	return mux
}
