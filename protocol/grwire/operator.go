package grwire

// Paths of operators beside those in caller.go.
const (
	SwitchPath       = "/v1/preset/switch"
	PresetStatusPath = "/v1/preset/status"
)

// PresetsReply lists the stored presets and the switch in force.
type PresetsReply struct {
	Presets []PresetSummary `json:"presets"`
	Active  *ActiveWire     `json:"active,omitempty"`
}

// PresetSummary is one line of a listing.
type PresetSummary struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// RevisionWire is a stored revision and the operation that stored it.
type RevisionWire struct {
	Operation string     `json:"operation_id"`
	Preset    PresetWire `json:"preset"`
}

// PresetHistory is the object of a preset: its revisions, oldest first.
type PresetHistory struct {
	Revisions []RevisionWire `json:"revisions"`
}

// PutPresetRequest stores a new revision. IfRevision is the revision that it
// follows; nil takes the newest at the time of the call.
type PutPresetRequest struct {
	Operation  string     `json:"operation_id"`
	IfRevision *uint64    `json:"if_revision,omitempty"`
	Preset     PresetWire `json:"preset"`
}

// PutPresetReply names the stored revision.
type PutPresetReply struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// SwitchRequest puts a revision in force; revision 0 stands for the newest.
// IfGeneration is the generation that it follows; nil takes the newest at the
// time of the call. To roll back, name an earlier revision.
type SwitchRequest struct {
	Operation    string  `json:"operation_id"`
	Name         string  `json:"name"`
	Revision     uint64  `json:"revision"`
	IfGeneration *uint64 `json:"if_generation,omitempty"`
}

// SwitchWire is one entry of the history of switches.
type SwitchWire struct {
	Generation uint64 `json:"generation"`
	Operation  string `json:"operation_id"`
	Name       string `json:"name"`
	Revision   uint64 `json:"revision"`
	SwitchedAt int64  `json:"switched_at_ms"`
}

// PointerWire is the object that holds the switch in force and the history.
type PointerWire struct {
	Active  *ActiveWire  `json:"active,omitempty"`
	History []SwitchWire `json:"history,omitempty"`
}

// PresetStatus tells which generation is in force where.
type PresetStatus struct {
	Generation uint64           `json:"generation"`
	Instances  []InstanceStatus `json:"instances"`
}

// InstanceStatus is what one instance says of itself, or what is known of it.
type InstanceStatus struct {
	Instance   string `json:"instance"`
	Domain     string `json:"failure_domain"`
	State      string `json:"state"`
	Generation uint64 `json:"generation"`
	TookMS     int64  `json:"took_ms"` // from acceptance until in force there
	Reachable  bool   `json:"reachable"`
}

// StatusReply describes an instance to operators.
type StatusReply struct {
	Instance     string           `json:"instance"`
	Domain       string           `json:"failure_domain"`
	Phase        string           `json:"phase"`
	Generation   uint64           `json:"generation"`
	Preset       string           `json:"preset"`
	InFlight     int              `json:"queries_in_flight"`
	PlatformUp   bool             `json:"platform_up"`
	Ready        bool             `json:"ready"`
	Watching     bool             `json:"watching"`      // the platform, for the others as well
	TableVersion uint64           `json:"table_version"` // 0 where no routing table is in force
	Collections  []CollectionWire `json:"collections"`
	Services     []ServiceStatus  `json:"services"`
	Peers        []InstanceStatus `json:"peers"`
}

// CollectionWire is the snapshot in use of a collection.
type CollectionWire struct {
	Collection string `json:"collection"`
	Index      uint64 `json:"index"`
	Map        uint64 `json:"map"`
	Shards     int    `json:"shards"`
}

// ServiceStatus is the state of one service on an instance.
type ServiceStatus struct {
	Service   string           `json:"service"`
	Waiting   int              `json:"waiting"`
	Searchers []SearcherStatus `json:"searchers"`
}

// SearcherStatus is the state of one searcher on an instance.
type SearcherStatus struct {
	Searcher    string `json:"searcher"`
	Leaving     bool   `json:"leaving"`
	Connections int    `json:"connections"`
	Share       int    `json:"share"`
}
