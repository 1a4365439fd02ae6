package grstandupstream

import (
	"sort"
	"sync"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grsnapshot"
)

// Holdings is the snapshots that the searchers of a process hold.
type Holdings struct {
	mu     sync.Mutex
	oldest map[grid.Collection]uint64
	newest map[grid.Collection]uint64
	shards map[grid.Collection]map[uint64]map[[2]uint64]grid.Service
	data   map[grsnapshot.Snapshot]map[grid.Collection][]grsnapshot.Record
}

// Hold makes the searchers hold a snapshot: the index version of the map and
// those kept before it, and its shards.
func (h *Holdings) Hold(w *grwire.MapWire, oldest uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shards == nil {
		h.oldest = make(map[grid.Collection]uint64)
		h.newest = make(map[grid.Collection]uint64)
		h.shards = make(map[grid.Collection]map[uint64]map[[2]uint64]grid.Service)
	}
	c := grid.Collection(w.Collection)
	h.oldest[c] = oldest
	h.newest[c] = max(h.newest[c], w.Index)
	if h.shards[c] == nil {
		h.shards[c] = make(map[uint64]map[[2]uint64]grid.Service)
	}
	owners := make(map[[2]uint64]grid.Service)
	for _, s := range w.Shards {
		owners[[2]uint64{s.From, s.To}] = grid.Service(s.Service)
	}
	h.shards[c][w.Map] = owners
}

// Status returns why a search cannot run on what the service holds, or "".
func (h *Holdings) Status(service grid.Service, ask *grwire.SearchRequest) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := grid.Collection(ask.Collection)
	owners, known := h.shards[c][ask.Map]
	switch {
	case ask.Index > h.newest[c], !known:
		return "behind"
	case ask.Index < h.oldest[c], owners[[2]uint64{ask.From, ask.To}] != service:
		return "gone"
	}
	return ""
}

func (h *Holdings) records(c grid.Collection, ask *grwire.SearchRequest) []grwire.RecordWire {
	if ask.RequestID != "" {
		return []grwire.RecordWire{{Key: ask.From, ID: ask.RequestID, Body: "ran"}}
	}
	all := h.all(c, grsnapshot.Version(ask.Index))
	from := sort.Search(len(all), func(i int) bool { return all[i].Key >= grsnapshot.Key(ask.From) })
	to := sort.Search(len(all), func(i int) bool { return all[i].Key >= grsnapshot.Key(ask.To) })
	return grwire.RecordsTo(all[from:to])
}

// all returns every record of an index version, which is made once.
func (h *Holdings) all(c grid.Collection, index grsnapshot.Version) []grsnapshot.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := grsnapshot.Snapshot{Index: index}
	if h.data == nil {
		h.data = make(map[grsnapshot.Snapshot]map[grid.Collection][]grsnapshot.Record)
	}
	if h.data[key] == nil {
		h.data[key] = make(map[grid.Collection][]grsnapshot.Record)
	}
	if h.data[key][c] == nil {
		h.data[key][c] = grstanddata.Records(c, index, grstanddata.KeySpace)
	}
	return h.data[key][c]
}
