package grwire

import (
	"github.com/fxamacker/cbor/v2"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// PeerMessage is a gossip message between entry instances, sent over net/rpc. It is
// encoded as CBOR with integer keys: the gob codec of net/rpc sends a description of
// every type on each new connection, which would be larger than most messages.
type PeerMessage struct {
	From  InstanceRunWire `cbor:"1,keyasint,omitempty"`
	Load  int             `cbor:"2,keyasint,omitempty"` // queries in flight at the sender
	Items GossipWire      `cbor:"3,keyasint,omitempty"` // items replicated to all instances
	// GroupItems holds the published connection divisors of the sender's group; nil if
	// the receiver is in another group or there is nothing to send.
	GroupItems *GossipWire `cbor:"4,keyasint,omitempty"`
	Empty      bool        `cbor:"5,keyasint,omitempty"` // a reply without content
	// PlatformAway tells that the sender cannot read the list of searchers, or could not until
	// just now.
	PlatformAway bool `cbor:"6,keyasint,omitempty"`

	ViewDigest uint64 `cbor:"7,keyasint,omitempty"`
	ViewProven bool   `cbor:"8,keyasint,omitempty"`
	ViewAgeMS  int64  `cbor:"9,keyasint,omitempty"`
	AsksView   bool   `cbor:"10,keyasint,omitempty"` // asks for a proof of the sender's view
	Millicores int32  `cbor:"11,keyasint,omitempty"` // processor capacity of the sender; 0: unknown
	// Introduction is 1 in a message that describes the sender to an instance that may not know
	// it, 2 in its answer. Older builds pass the description on.
	Introduction uint8 `cbor:"12,keyasint,omitempty"`
}

// GossipWire is an anti-entropy message about one replicated map of items.
type GossipWire struct {
	Digest        uint64           `cbor:"1,keyasint,omitempty"` // of the whole map
	BucketDigests []uint64         `cbor:"2,keyasint,omitempty"` // digests of the buckets of the map
	BucketIndexes []uint8          `cbor:"3,keyasint,omitempty"` // buckets that Listed covers
	Listed        []KeyVersionWire `cbor:"4,keyasint,omitempty"` // all keys of those buckets
	Requested     []string         `cbor:"5,keyasint,omitempty"` // keys of requested items
	Advertised    []KeyVersionWire `cbor:"6,keyasint,omitempty"` // changed items, sent on request
	Items         []ItemWire       `cbor:"7,keyasint,omitempty"`
}

// StatusAsk requests the status of a peer.
type StatusAsk struct {
	Trace map[string]string // trace context of the call
}

// InstanceRunWire identifies one run of an instance, from its start to its stop.
type InstanceRunWire struct {
	ID  string `json:"id" cbor:"1,keyasint,omitempty"`
	Run uint64 `json:"run" cbor:"2,keyasint,omitempty"`
}

// KeyVersionWire is the key of an item with its version, without its value.
type KeyVersionWire struct {
	Key     string `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
}

// ItemWire is an item of a replicated map. Only the field that matches Kind is set.
type ItemWire struct {
	Key      string        `cbor:"1,keyasint,omitempty"`
	Version  uint64        `cbor:"2,keyasint,omitempty"`
	Kind     uint8         `cbor:"3,keyasint,omitempty"`
	Member   *MemberWire   `cbor:"4,keyasint,omitempty"`
	Searcher *SearcherWire `cbor:"5,keyasint,omitempty"`
	// PublishedDivisor is also set for a registered instance, then with Publisher only.
	PublishedDivisor *PublishedDivisorWire `cbor:"6,keyasint,omitempty"`
	Active           *ActiveWire           `cbor:"7,keyasint,omitempty"`
	Map              *MapWire              `cbor:"8,keyasint,omitempty"`
	Table            *TableWire            `cbor:"9,keyasint,omitempty"`
	RateLimit        *RateLimitWire        `cbor:"10,keyasint,omitempty"`
	EvacuatedDomain  string                `cbor:"11,keyasint,omitempty"`
	Departure        *DepartureWire        `cbor:"12,keyasint,omitempty"`
}

// DepartureWire is a searcher's announcement that it leaves.
type DepartureWire struct {
	Searcher string `cbor:"1,keyasint,omitempty"`
	Run      uint64 `cbor:"2,keyasint,omitempty"`
	Address  string `cbor:"3,keyasint,omitempty"`
}

// MemberWire describes an entry instance.
type MemberWire struct {
	InstanceRunWire
	Peers               string `json:"peers" cbor:"3,keyasint,omitempty"`   // address for peers
	Callers             string `json:"callers" cbor:"4,keyasint,omitempty"` // address for callers
	Domain              string `json:"failure_domain" cbor:"5,keyasint,omitempty"`
	PlatformUnreachable bool   `json:"blind,omitempty" cbor:"6,keyasint,omitempty"`
	Millicores          int32  `json:"millicores,omitempty" cbor:"7,keyasint,omitempty"` // processor capacity; 0: unknown
}

// SearcherWire describes a searcher as the platform lists it.
type SearcherWire struct {
	ID              string `cbor:"1,keyasint,omitempty"`
	Run             uint64 `cbor:"2,keyasint,omitempty"`
	Service         string `cbor:"3,keyasint,omitempty"`
	Address         string `cbor:"4,keyasint,omitempty"`
	Domain          string `cbor:"5,keyasint,omitempty"`
	Slots           int    `cbor:"6,keyasint,omitempty"`
	ConnLimit       int    `cbor:"7,keyasint,omitempty"`
	CreatedRevision uint64 `cbor:"8,keyasint,omitempty"`
	Copied          bool   `cbor:"9,keyasint,omitempty"`
	ColdRemainingMS *int64 `cbor:"10,keyasint,omitempty"` // nil: its entry does not tell
}

// PublishedDivisorWire is the connection divisor that an instance publishes.
type PublishedDivisorWire struct {
	Publisher InstanceRunWire   `cbor:"1,keyasint,omitempty"`
	Divisor   int               `cbor:"2,keyasint,omitempty"`
	Counted   []InstanceRunWire `cbor:"3,keyasint,omitempty"` // instances that Divisor accounts for
}

// PeerMessageError reports that a message of a peer could not be encoded or decoded.
type PeerMessageError struct{ Err error }

// Error implements error.
func (e *PeerMessageError) Error() string {
	if e.Err == nil {
		return "message of a peer: nothing in it"
	}
	return "message of a peer: " + e.Err.Error()
}

// Unwrap returns the error of the codec.
func (e *PeerMessageError) Unwrap() error { return e.Err }

// EncodePeer encodes a message as CBOR.
func EncodePeer(w *PeerMessage) ([]byte, error) {
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, &PeerMessageError{err}
	}
	return data, nil
}

// DecodePeer decodes a message from CBOR. Unknown fields are ignored.
func DecodePeer(data []byte) (PeerMessage, error) {
	var w PeerMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return w, &PeerMessageError{err}
	}
	return w, nil
}

// PeerMessageTo converts a message to its wire form.
func PeerMessageTo(m *grcluster.Message) PeerMessage {
	w := PeerMessage{
		From: runTo(m.From), Load: m.Load, PlatformAway: m.PlatformAway, Items: gossipTo(&m.Items),
		ViewDigest: uint64(m.View.Digest), ViewProven: m.View.Proven, ViewAgeMS: int64(m.View.Age), AsksView: m.AsksView,
		Millicores: int32(m.Capacity), Introduction: uint8(m.Introduction),
	}
	if m.GroupItems != nil {
		group := gossipTo(m.GroupItems)
		w.GroupItems = &group
	}
	return w
}

// PeerMessageFrom converts a message from its wire form. Items that cannot be decoded
// are skipped; the next comparison of digests shows that they are missing.
func PeerMessageFrom(w *PeerMessage) grcluster.Message {
	m := grcluster.Message{
		From: runFrom(w.From), Load: w.Load, PlatformAway: w.PlatformAway, Items: gossipFrom(&w.Items),
		View:     grcluster.View{Digest: grgossip.Digest(w.ViewDigest), Proven: w.ViewProven, Age: grclock.Millis(max(w.ViewAgeMS, 0))},
		AsksView: w.AsksView, Introduction: grcluster.Introduction(w.Introduction), Capacity: grident.Millicores(max(w.Millicores, 0)),
	}
	if w.GroupItems != nil {
		group := gossipFrom(w.GroupItems)
		m.GroupItems = &group
	}
	return m
}

func gossipTo(m *grgossip.Message[grcluster.Value]) GossipWire {
	w := GossipWire{Digest: uint64(m.Digest), BucketIndexes: m.BucketIndexes}
	for _, d := range m.BucketDigests {
		w.BucketDigests = append(w.BucketDigests, uint64(d))
	}
	for _, l := range m.Listed {
		w.Listed = append(w.Listed, KeyVersionWire{string(l.Key), uint64(l.Version)})
	}
	for _, k := range m.Requested {
		w.Requested = append(w.Requested, string(k))
	}
	for _, l := range m.Advertised {
		w.Advertised = append(w.Advertised, KeyVersionWire{string(l.Key), uint64(l.Version)})
	}
	for i := range m.Items {
		w.Items = append(w.Items, itemTo(&m.Items[i]))
	}
	return w
}

func gossipFrom(w *GossipWire) grgossip.Message[grcluster.Value] {
	m := grgossip.Message[grcluster.Value]{Digest: grgossip.Digest(w.Digest), BucketIndexes: w.BucketIndexes}
	for _, d := range w.BucketDigests {
		m.BucketDigests = append(m.BucketDigests, grgossip.Digest(d))
	}
	for _, l := range w.Listed {
		m.Listed = append(m.Listed, grgossip.KeyVersion{Key: grgossip.Key(l.Key), Version: grgossip.Version(l.Version)})
	}
	for _, k := range w.Requested {
		m.Requested = append(m.Requested, grgossip.Key(k))
	}
	for _, l := range w.Advertised {
		m.Advertised = append(m.Advertised, grgossip.KeyVersion{Key: grgossip.Key(l.Key), Version: grgossip.Version(l.Version)})
	}
	for i := range w.Items {
		if item, ok := itemFrom(&w.Items[i]); ok {
			m.Items = append(m.Items, item)
		}
	}
	return m
}

func runTo(m grconnlimit.Member) InstanceRunWire {
	return InstanceRunWire{string(m.ID), uint64(m.Incarnation)}
}

func runFrom(w InstanceRunWire) grconnlimit.Member {
	return grconnlimit.Member{ID: grident.InstanceID(w.ID), Incarnation: grident.Incarnation(w.Run)}
}

func itemTo(item *grcluster.Item) ItemWire {
	v := &item.Value
	w := ItemWire{Key: string(item.Key), Version: uint64(item.Version), Kind: uint8(v.Kind)}
	switch v.Kind {
	case grcluster.MemberKind:
		member := MemberTo(&v.Member)
		w.Member = &member
	case grcluster.SearcherKind:
		s := &v.Searcher
		w.Searcher = &SearcherWire{
			ID: string(s.ID), Run: uint64(s.Incarnation), Service: string(s.Service), Address: string(s.Address),
			Domain: string(s.Domain), Slots: s.Slots, ConnLimit: s.ConnLimit,
			CreatedRevision: uint64(s.CreatedRevision), Copied: v.Copied, ColdRemainingMS: coldRemainingTo(s.Cold),
		}
	case grcluster.DivisorKind:
		w.PublishedDivisor = &PublishedDivisorWire{Publisher: runTo(v.Publisher), Divisor: v.PublishedDivisor.Divisor}
		for _, m := range v.PublishedDivisor.CountedMembers {
			w.PublishedDivisor.Counted = append(w.PublishedDivisor.Counted, runTo(m))
		}
	case grcluster.RegisteredMemberKind:
		w.PublishedDivisor = &PublishedDivisorWire{Publisher: runTo(v.Publisher)}
	case grcluster.PresetKind:
		active := ActivePresetTo(v.Preset)
		w.Active = &active
	case grcluster.ShardMapKind:
		m := ShardMapTo(v.ShardMap)
		w.Map = &m
	case grcluster.RoutingTableKind:
		w.Table = TableTo(v.RoutingTable)
	case grcluster.RateLimitKind:
		w.RateLimit = rateLimitTo(&v.RateLimit)
	case grcluster.EvacuationKind:
		w.EvacuatedDomain = string(v.EvacuatedDomain)
	case grcluster.DepartureKind:
		d := &v.Departure
		w.Departure = &DepartureWire{Searcher: string(d.Searcher), Run: uint64(d.Incarnation), Address: string(d.Address)}
	}
	return w
}

func itemFrom(w *ItemWire) (item grcluster.Item, ok bool) {
	v := &item.Value
	item.Key, item.Version, v.Kind = grgossip.Key(w.Key), grgossip.Version(w.Version), grcluster.ValueKind(w.Kind)
	switch {
	case v.Kind == grcluster.MemberKind && w.Member != nil:
		v.Member = MemberFrom(w.Member)
	case v.Kind == grcluster.SearcherKind && w.Searcher != nil:
		v.Searcher, v.Copied = searcherFrom(w.Searcher), w.Searcher.Copied
	case v.Kind == grcluster.DivisorKind && w.PublishedDivisor != nil:
		v.Publisher, v.PublishedDivisor.Divisor = runFrom(w.PublishedDivisor.Publisher), w.PublishedDivisor.Divisor
		for _, m := range w.PublishedDivisor.Counted {
			v.PublishedDivisor.CountedMembers = append(v.PublishedDivisor.CountedMembers, runFrom(m))
		}
	case v.Kind == grcluster.RegisteredMemberKind && w.PublishedDivisor != nil:
		v.Publisher = runFrom(w.PublishedDivisor.Publisher)
	case v.Kind == grcluster.PresetKind && w.Active != nil:
		active, err := ActivePresetFrom(w.Active)
		if err != nil {
			return item, false
		}
		v.Preset = &active
	case v.Kind == grcluster.ShardMapKind && w.Map != nil:
		m, err := ShardMapFrom(w.Map)
		if err != nil {
			return item, false
		}
		v.ShardMap = m
	case v.Kind == grcluster.RoutingTableKind && w.Table != nil:
		v.RoutingTable = TableFrom(w.Table)
	case v.Kind == grcluster.RateLimitKind && w.RateLimit != nil:
		v.RateLimit = rateLimitFrom(w.RateLimit)
	case v.Kind == grcluster.EvacuationKind && w.EvacuatedDomain != "":
		v.EvacuatedDomain = grident.FailureDomain(w.EvacuatedDomain)
	case v.Kind == grcluster.DepartureKind && w.Departure != nil:
		d := w.Departure
		v.Departure = grcluster.Departure{
			Searcher: grident.SearcherID(d.Searcher), Incarnation: grident.Incarnation(d.Run), Address: grident.Address(d.Address),
		}
	default:
		return item, false
	}
	return item, true
}

// MemberTo converts an entry instance to its wire form.
func MemberTo(m *grcluster.Member) MemberWire {
	return MemberWire{
		runTo(m.Member), string(m.PeerAddress), string(m.CallerAddress), string(m.Domain), m.PlatformUnreachable, int32(m.Capacity),
	}
}

// MemberFrom converts an entry instance from its wire form.
func MemberFrom(w *MemberWire) grcluster.Member {
	return grcluster.Member{
		Member: runFrom(w.InstanceRunWire), PeerAddress: grident.Address(w.Peers), CallerAddress: grident.Address(w.Callers),
		Domain: grident.FailureDomain(w.Domain), PlatformUnreachable: w.PlatformUnreachable, Capacity: grident.Millicores(max(w.Millicores, 0)),
	}
}

func searcherFrom(w *SearcherWire) grcluster.Searcher {
	return grcluster.Searcher{
		ID: grident.SearcherID(w.ID), Incarnation: grident.Incarnation(w.Run), Service: grident.Service(w.Service),
		Address: grident.Address(w.Address), Domain: grident.FailureDomain(w.Domain), Slots: w.Slots, ConnLimit: w.ConnLimit,
		CreatedRevision: grident.Revision(w.CreatedRevision), Cold: coldRemainingFrom(w.ColdRemainingMS),
	}
}
