package grwire

// Paths of the operators' HTTP interface, in addition to those in caller.go.
const (
	SwitchPath       = "/v1/preset/switch"
	PresetStatusPath = "/v1/preset/status"
)

// PresetsReply lists the stored presets and the active one.
type PresetsReply struct {
	Presets []PresetSummary `json:"presets"`
	Active  *ActiveWire     `json:"active,omitempty"`
}

// PresetSummary is one preset of a PresetsReply, with its newest revision.
type PresetSummary struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// RevisionWire is a stored revision of a preset and the operation that stored it.
type RevisionWire struct {
	Operation string     `json:"operation_id"`
	Preset    PresetWire `json:"preset"`
}

// PresetHistory is the platform object of a preset: its revisions, oldest first.
type PresetHistory struct {
	Revisions []RevisionWire `json:"revisions"`
}

// PutPresetRequest stores a new revision of a preset. With IfRevision set, the request
// succeeds only if that is the newest stored revision; nil means the newest at the time
// of the call.
type PutPresetRequest struct {
	Operation  string     `json:"operation_id"`
	IfRevision *uint64    `json:"if_revision,omitempty"`
	Preset     PresetWire `json:"preset"`
}

// PutPresetReply identifies the stored revision.
type PutPresetReply struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// SwitchRequest makes a revision of a preset active; revision 0 means the newest. With
// IfGeneration set, the request succeeds only if that is the current generation; nil
// means the current one at the time of the call. To roll back, name an earlier revision.
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

// PointerWire is the platform object that holds the active preset and the history of
// switches.
type PointerWire struct {
	Active  *ActiveWire  `json:"active,omitempty"`
	History []SwitchWire `json:"history,omitempty"`
}

// PresetStatus reports the current generation and the one each instance applies.
type PresetStatus struct {
	Generation uint64           `json:"generation"`
	Instances  []InstanceStatus `json:"instances"`
}

// InstanceStatus is the status that one instance reports. For an instance that is not
// reachable, only Instance, Domain and State are set.
type InstanceStatus struct {
	Instance   string `json:"instance"`
	Domain     string `json:"failure_domain"`
	State      string `json:"state"`
	Generation uint64 `json:"generation"`
	TookMS     int64  `json:"took_ms"` // from the accepted switch until the instance applied it
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
	Watching     bool             `json:"watching"`      // watches the platform for its peers too
	TableVersion uint64           `json:"table_version"` // 0 if no routing table is loaded
	Collections  []CollectionWire `json:"collections"`
	Services     []ServiceStatus  `json:"services"`
	Peers        []InstanceStatus `json:"peers"`
}

// CollectionWire is the snapshot of a collection that is in use.
type CollectionWire struct {
	Collection string `json:"collection"`
	Index      uint64 `json:"index"`
	Map        uint64 `json:"map"`
	Shards     int    `json:"shards"`
}

// ServiceStatus is the state of one service as an instance sees it.
type ServiceStatus struct {
	Service   string           `json:"service"`
	Waiting   int              `json:"waiting"`
	Searchers []SearcherStatus `json:"searchers"`
}

// SearcherStatus is the state of one searcher as an instance sees it.
type SearcherStatus struct {
	Searcher    string `json:"searcher"`
	Leaving     bool   `json:"leaving"`
	Connections int    `json:"connections"`
	Share       int    `json:"share"` // connections that this instance may use for searches
}
