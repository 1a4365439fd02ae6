// Package grstanddata holds the data and sizes that the stand-ins play: the
// two deployments, their shard maps and their records, all derived from names
// so that tests know every right answer.
//
//	want := grstanddata.Records("dispatch", 1, grstanddata.KeySpace)
package grstanddata

import (
	"fmt"
	"sort"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grsnapshot"
)

// KeySpace is the key space of every collection.
var KeySpace = grsnapshot.Range{From: 0, To: 1 << 32}

// RecordsPerCollection is the number of records of each collection.
const RecordsPerCollection = 600

// Records returns the records of the range at an index version, in order.
func Records(c grid.Collection, index grsnapshot.Version, r grsnapshot.Range) []grsnapshot.Record {
	var list []grsnapshot.Record
	for i := range RecordsPerCollection {
		id := fmt.Sprintf("%s-%04d", c, i)
		key := grsnapshot.Key(grid.Hash(id) >> 32)
		if r.Contains(key) {
			list = append(list, grsnapshot.Record{Key: key, ID: id, Body: fmt.Sprintf("version %d", index)})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Key != list[j].Key {
			return list[i].Key < list[j].Key
		}
		return list[i].ID < list[j].ID
	})
	return list
}

// Group is a collection with services of one kind.
type Group struct {
	Collection grid.Collection
	Services   int
	Searchers  int // of each service
	Slots      int // of each searcher
	ConnLimit  int // of each searcher
	Connect    grclock.Millis
}

// Deployment is the sizes of one user.
type Deployment struct {
	Name    string
	Groups  []Group
	Domains []grid.FailureDomain
	Between grclock.Millis // one way between failure domains
	Clients grclock.Millis // one way to callers
}

// Kinoko is the deployment of the co-operative.
func Kinoko() Deployment {
	return Deployment{
		Name:    "kinoko",
		Domains: domains(),
		Between: 1,
		Clients: 1,
		Groups: []Group{
			{Collection: "dispatch", Services: 20, Searchers: 2, Slots: 2, ConnLimit: 25, Connect: 6},
			{Collection: "billing", Services: 30, Searchers: 2, Slots: 2, ConnLimit: 25, Connect: 6},
			{Collection: "stock_ledger", Services: 1, Searchers: 4, Slots: 4, ConnLimit: 100, Connect: 1},
			{Collection: "farm_registry", Services: 1, Searchers: 4, Slots: 4, ConnLimit: 100, Connect: 1},
		},
	}
}

// Restrepo is the deployment of the firm. One way between failure domains is
// 1.5 ms, rounded up.
func Restrepo() Deployment {
	return Deployment{
		Name:    "restrepo",
		Domains: domains(),
		Between: 2,
		Clients: 3,
		Groups: []Group{
			{Collection: "certificates", Services: 20, Searchers: 2, Slots: 2, ConnLimit: 25, Connect: 6},
			{Collection: "accounts", Services: 30, Searchers: 2, Slots: 2, ConnLimit: 25, Connect: 6},
			{Collection: "repairs", Services: 1, Searchers: 4, Slots: 4, ConnLimit: 40, Connect: 1},
			{Collection: "invoicing", Services: 1, Searchers: 4, Slots: 4, ConnLimit: 40, Connect: 1},
		},
	}
}

// ByName returns the deployment of the name.
func ByName(name string) (Deployment, bool) {
	for _, d := range []Deployment{Kinoko(), Restrepo()} {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

func domains() []grid.FailureDomain { return []grid.FailureDomain{"d1", "d2", "d3", "d4"} }

// Service returns the name of a service of the group, counted from 0.
func (g *Group) Service(i int) grid.Service {
	if g.Services == 1 {
		return grid.Service(g.Collection)
	}
	return grid.Service(fmt.Sprintf("%s-%02d", g.Collection, i+1))
}

// Map returns the group's shard map: the key space cut evenly over the
// services, from the service numbered first on.
func (g *Group) Map(index, mapVersion grsnapshot.Version, first int) *grsnapshot.Map {
	m := &grsnapshot.Map{Collection: g.Collection, Snapshot: grsnapshot.Snapshot{Index: index, Map: mapVersion}}
	width := KeySpace.Width()
	for i := range g.Services {
		m.Shards = append(m.Shards, grsnapshot.Shard{
			Range: grsnapshot.Range{
				From: grsnapshot.Key(width * uint64(i) / uint64(g.Services)),
				To:   grsnapshot.Key(width * uint64(i+1) / uint64(g.Services)),
			},
			Service: g.Service((i + first) % g.Services),
		})
	}
	return m
}

// Searchers lists the searchers of the deployment as the platform does, spread
// over the failure domains, with addresses on ports from the first one on.
func (d *Deployment) Searchers(host string, firstPort int) []grwire.InstanceWire {
	var list []grwire.InstanceWire
	for _, g := range d.Groups {
		for s := range g.Services {
			for r := range g.Searchers {
				list = append(list, grwire.InstanceWire{
					ID:        fmt.Sprintf("%s/%d", g.Service(s), r+1),
					Kind:      grwire.KindSearcher,
					Service:   string(g.Service(s)),
					Address:   fmt.Sprintf("%s:%d", host, firstPort+len(list)),
					Domain:    string(d.Domains[(s+r)%len(d.Domains)]),
					State:     grwire.StateLive,
					Run:       1,
					Slots:     g.Slots,
					ConnLimit: g.ConnLimit,
				})
			}
		}
	}
	return list
}

// Group returns the group that holds the service, or nil.
func (d *Deployment) Group(service grid.Service) *Group {
	for i := range d.Groups {
		g := &d.Groups[i]
		for s := range g.Services {
			if g.Service(s) == service {
				return g
			}
		}
	}
	return nil
}
