// Package grstanddata defines the deployments that the stand-ins simulate, with
// their shard maps and records. All records are derived from names, so that
// tests can compute the expected answer to every query.
//
//	want := grstanddata.Records("dispatch", 1, grstanddata.KeySpace)
package grstanddata

import (
	"fmt"
	"sort"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsnapshot"
)

// KeySpace is the range of keys of every collection.
var KeySpace = grsnapshot.Range{From: 0, To: 1 << 32}

// RecordsPerCollection is the number of records of each collection.
const RecordsPerCollection = 600

// Records returns the records of a collection within a key range at an index
// version, ordered by key and ID. Their bodies name the index version.
func Records(c grident.Collection, index grsnapshot.Version, r grsnapshot.Range) []grsnapshot.Record {
	var list []grsnapshot.Record
	for i := range RecordsPerCollection {
		id := fmt.Sprintf("%s-%04d", c, i)
		key := grsnapshot.Key(grident.Hash(id) >> 32)
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

// CollectionSpec describes a collection and the searchers of its services.
type CollectionSpec struct {
	Collection   grident.Collection
	Services     int            // number of services, one for each shard
	Searchers    int            // of each service
	Slots        int            // of each searcher
	ConnLimit    int            // of each searcher
	ConnectDelay grclock.Millis // time to open a connection to a searcher
}

// Deployment describes the size and the network delays of one organisation's
// deployment.
type Deployment struct {
	Name        string
	Collections []CollectionSpec
	Domains     []grident.FailureDomain
	DomainDelay grclock.Millis // one-way delay between failure domains
	CallerDelay grclock.Millis // one-way delay between callers and entry instances
}

// Kinoko returns the deployment "kinoko", whose failure domains are 1 ms apart.
func Kinoko() Deployment {
	return Deployment{
		Name:        "kinoko",
		Domains:     domains(),
		DomainDelay: 1,
		CallerDelay: 1,
		Collections: []CollectionSpec{
			{Collection: "dispatch", Services: 20, Searchers: 2, Slots: 2, ConnLimit: 25, ConnectDelay: 6},
			{Collection: "billing", Services: 30, Searchers: 2, Slots: 2, ConnLimit: 25, ConnectDelay: 6},
			{Collection: "stock_ledger", Services: 1, Searchers: 4, Slots: 4, ConnLimit: 100, ConnectDelay: 1},
			{Collection: "farm_registry", Services: 1, Searchers: 4, Slots: 4, ConnLimit: 100, ConnectDelay: 1},
		},
	}
}

// Restrepo returns the deployment "restrepo", which has lower connection limits
// and longer delays. Its failure domains are 1.5 ms apart, rounded up to 2 ms.
func Restrepo() Deployment {
	return Deployment{
		Name:        "restrepo",
		Domains:     domains(),
		DomainDelay: 2,
		CallerDelay: 3,
		Collections: []CollectionSpec{
			{Collection: "certificates", Services: 20, Searchers: 2, Slots: 2, ConnLimit: 25, ConnectDelay: 6},
			{Collection: "accounts", Services: 30, Searchers: 2, Slots: 2, ConnLimit: 25, ConnectDelay: 6},
			{Collection: "repairs", Services: 1, Searchers: 4, Slots: 4, ConnLimit: 40, ConnectDelay: 1},
			{Collection: "invoicing", Services: 1, Searchers: 4, Slots: 4, ConnLimit: 40, ConnectDelay: 1},
		},
	}
}

// ByName returns the deployment with the name; the result is false if there is
// none.
func ByName(name string) (Deployment, bool) {
	for _, d := range []Deployment{Kinoko(), Restrepo()} {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

func domains() []grident.FailureDomain { return []grident.FailureDomain{"d1", "d2", "d3", "d4"} }

// Service returns the name of the i-th service, counted from 0.
func (c *CollectionSpec) Service(i int) grident.Service {
	if c.Services == 1 {
		return grident.Service(c.Collection)
	}
	return grident.Service(fmt.Sprintf("%s-%02d", c.Collection, i+1))
}

// Map returns a shard map of the collection with the given versions. It divides
// the key space evenly among the services; the first shard belongs to the
// service with the number firstService, and the others follow in turn.
func (c *CollectionSpec) Map(index, mapVersion grsnapshot.Version, firstService int) *grsnapshot.ShardMap {
	m := &grsnapshot.ShardMap{Collection: c.Collection, Snapshot: grsnapshot.Snapshot{IndexVersion: index, MapVersion: mapVersion}}
	width := KeySpace.Width()
	for i := range c.Services {
		m.Shards = append(m.Shards, grsnapshot.Shard{
			Range: grsnapshot.Range{
				From: grsnapshot.Key(width * uint64(i) / uint64(c.Services)),
				To:   grsnapshot.Key(width * uint64(i+1) / uint64(c.Services)),
			},
			Service: c.Service((i + firstService) % c.Services),
		})
	}
	return m
}

// Searchers returns all searchers of the deployment as the platform lists them.
// The searchers of a service are in different failure domains; the ports are
// consecutive from firstPort.
func (d *Deployment) Searchers(host string, firstPort int) []grwire.InstanceWire {
	var list []grwire.InstanceWire
	for _, c := range d.Collections {
		for s := range c.Services {
			for r := range c.Searchers {
				list = append(list, grwire.InstanceWire{
					ID:        fmt.Sprintf("%s/%d", c.Service(s), r+1),
					Kind:      grwire.KindSearcher,
					Service:   string(c.Service(s)),
					Address:   fmt.Sprintf("%s:%d", host, firstPort+len(list)),
					Domain:    string(d.Domains[(s+r)%len(d.Domains)]),
					State:     grwire.StateLive,
					Run:       1,
					Slots:     c.Slots,
					ConnLimit: c.ConnLimit,
				})
			}
		}
	}
	return list
}

// CollectionOf returns the collection to which the service belongs, or nil if no
// collection has it.
func (d *Deployment) CollectionOf(service grident.Service) *CollectionSpec {
	for i := range d.Collections {
		c := &d.Collections[i]
		for s := range c.Services {
			if c.Service(s) == service {
				return c
			}
		}
	}
	return nil
}
