package grwire

import (
	"encoding/json"

	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsnapshot"
)

// Paths of the platform's HTTP interface.
const (
	ObjectsPath   = "/objects"
	WatchPath     = "/watch"
	InstancesPath = "/instances"
)

// Keys and prefixes of the objects on the platform.
const (
	ShardMapPrefix  = "shard_map/"
	PresetPrefix    = "preset/"
	ActivePresetKey = "active_preset"
	MembersKey      = "members"
	ClaimsPrefix    = "claims/"
)

// ObjectWire is an object of the platform. Version counts the platform's writes; 0
// means that the object does not exist.
type ObjectWire struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// ListReply is the response to a list or watch request.
type ListReply struct {
	Version uint64       `json:"version"`
	Objects []ObjectWire `json:"objects"`
}

// InstanceWire is one instance in the platform's service registry.
type InstanceWire struct {
	ID        string `json:"id"`
	Kind      string `json:"kind"` // "searcher" or "entry"
	Service   string `json:"service,omitempty"`
	Address   string `json:"address"`
	Domain    string `json:"failure_domain"`
	State     string `json:"state"` // "live" or "leaving"
	Run       uint64 `json:"run"`
	Slots     int    `json:"slots,omitempty"`
	ConnLimit int    `json:"conn_limit,omitempty"`
}

// Kinds and states of instances.
const (
	KindSearcher = "searcher"
	KindEntry    = "entry"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// InstancesReply is the content of the platform's service registry.
type InstancesReply struct {
	Instances []InstanceWire `json:"instances"`
}

// MapWire is the platform object of a shard map.
type MapWire struct {
	Collection string      `json:"collection" cbor:"1,keyasint,omitempty"`
	Index      uint64      `json:"index" cbor:"2,keyasint,omitempty"`
	Map        uint64      `json:"map" cbor:"3,keyasint,omitempty"`
	Shards     []ShardWire `json:"shards" cbor:"4,keyasint,omitempty"`
}

// ShardWire is one shard of a map: its key range and the service that holds it.
type ShardWire struct {
	From    uint64 `json:"from" cbor:"1,keyasint,omitempty"`
	To      uint64 `json:"to" cbor:"2,keyasint,omitempty"`
	Service string `json:"service" cbor:"3,keyasint,omitempty"`
}

// ShardMapFrom converts a shard map from its wire form and validates it.
func ShardMapFrom(w *MapWire) (*grsnapshot.ShardMap, error) {
	m := &grsnapshot.ShardMap{
		Collection: grident.Collection(w.Collection),
		Snapshot:   grsnapshot.Snapshot{IndexVersion: grsnapshot.Version(w.Index), MapVersion: grsnapshot.Version(w.Map)},
	}
	for _, s := range w.Shards {
		m.Shards = append(m.Shards, grsnapshot.Shard{
			Range:   grsnapshot.Range{From: grsnapshot.Key(s.From), To: grsnapshot.Key(s.To)},
			Service: grident.Service(s.Service),
		})
	}
	return m, m.Validate()
}

// ShardMapTo converts a shard map to its wire form.
func ShardMapTo(m *grsnapshot.ShardMap) MapWire {
	w := MapWire{Collection: string(m.Collection), Index: uint64(m.Snapshot.IndexVersion), Map: uint64(m.Snapshot.MapVersion)}
	for _, s := range m.Shards {
		w.Shards = append(w.Shards, ShardWire{uint64(s.Range.From), uint64(s.Range.To), string(s.Service)})
	}
	return w
}
