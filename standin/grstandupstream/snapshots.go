package grstandupstream

import (
	"sort"
	"sync"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsnapshot"
)

// Snapshots is the set of snapshots that are loaded on all searchers of a
// process: for each collection the lowest and highest available index version,
// and the shard maps. The zero value has none.
type Snapshots struct {
	mu          sync.Mutex
	oldestIndex map[grident.Collection]uint64
	newestIndex map[grident.Collection]uint64
	services    map[grident.Collection]map[uint64]map[[2]uint64]grident.Service    // by map version and key range
	records     map[grsnapshot.Snapshot]map[grident.Collection][]grsnapshot.Record // generated records
}

// Load adds a shard map. Afterwards the index versions from oldest to the
// highest one loaded so far are available, and older ones are gone.
func (s *Snapshots) Load(m *grwire.MapWire, oldest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.oldestIndex = make(map[grident.Collection]uint64)
		s.newestIndex = make(map[grident.Collection]uint64)
		s.services = make(map[grident.Collection]map[uint64]map[[2]uint64]grident.Service)
	}
	c := grident.Collection(m.Collection)
	s.oldestIndex[c] = oldest
	s.newestIndex[c] = max(s.newestIndex[c], m.Index)
	if s.services[c] == nil {
		s.services[c] = make(map[uint64]map[[2]uint64]grident.Service)
	}
	byRange := make(map[[2]uint64]grident.Service)
	for _, shard := range m.Shards {
		byRange[[2]uint64{shard.From, shard.To}] = grident.Service(shard.Service)
	}
	s.services[c][m.Map] = byRange
}

// Status returns "" if a searcher of the service can run the search. Otherwise
// it returns the status of the reply: "behind" if the index or map version is
// not loaded yet, "gone" if the index version has been removed or the service
// does not own the range in that map.
func (s *Snapshots) Status(service grident.Service, req *grwire.SearchRequest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := grident.Collection(req.Collection)
	byRange, known := s.services[c][req.Map]
	switch {
	case req.Index > s.newestIndex[c], !known:
		return "behind"
	case req.Index < s.oldestIndex[c], byRange[[2]uint64{req.From, req.To}] != service:
		return "gone"
	}
	return ""
}

func (s *Snapshots) search(c grident.Collection, req *grwire.SearchRequest) []grwire.RecordWire {
	if req.RequestID != "" {
		return []grwire.RecordWire{{Key: req.From, ID: req.RequestID, Body: "ran"}}
	}
	all := s.allRecords(c, grsnapshot.Version(req.Index))
	from := sort.Search(len(all), func(i int) bool { return all[i].Key >= grsnapshot.Key(req.From) })
	to := sort.Search(len(all), func(i int) bool { return all[i].Key >= grsnapshot.Key(req.To) })
	return grwire.RecordsTo(all[from:to])
}

// allRecords returns all records of an index version. They are generated on
// first use and cached.
func (s *Snapshots) allRecords(c grident.Collection, index grsnapshot.Version) []grsnapshot.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := grsnapshot.Snapshot{IndexVersion: index}
	if s.records == nil {
		s.records = make(map[grsnapshot.Snapshot]map[grident.Collection][]grsnapshot.Record)
	}
	if s.records[key] == nil {
		s.records[key] = make(map[grident.Collection][]grsnapshot.Record)
	}
	if s.records[key][c] == nil {
		s.records[key][c] = grstanddata.Records(c, index, grstanddata.KeySpace)
	}
	return s.records[key][c]
}
