package grnode

import (
	"context"
	"io"
	"strings"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/coordination/grcontrol"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/transport/grplatform"
)

// operatorDesk answers operators.
type operatorDesk struct{ node *Node }

// operatorTimeout bounds the time in which a change is settled.
const operatorTimeout = 5 * grclock.Second

var historyCodec = grplatform.Codec[grpreset.History]{Decode: grwire.DecodeHistory, Encode: grwire.EncodeHistory}

var pointerCodec = grplatform.Codec[grpreset.Pointer]{Decode: grwire.DecodePointer, Encode: grwire.EncodePointer}

// Presets lists the stored presets.
func (d operatorDesk) Presets(ctx context.Context) (grwire.PresetsReply, *grfault.Fault) {
	var reply grwire.PresetsReply
	list, err := d.node.platform.List(ctx, grwire.PresetPrefix)
	if err != nil {
		return reply, platformFault(err)
	}
	for _, o := range list.Objects {
		h, err := grwire.DecodeHistory(o.Value)
		if err != nil || h.Latest() == nil {
			continue
		}
		latest := h.Latest().Preset
		reply.Presets = append(reply.Presets, grwire.PresetSummary{Name: string(latest.Name), Revision: uint64(latest.Revision)})
	}
	d.node.inspect(func(r *grrouter.Router) {
		if a, ok := r.Preset(); ok {
			active := grwire.ActiveTo(a)
			reply.Active = &active
		}
	})
	return reply, nil
}

// Preset returns the revisions of one preset.
func (d operatorDesk) Preset(ctx context.Context, name string) (grwire.PresetHistory, *grfault.Fault) {
	h, fault := d.history(ctx, name)
	if fault != nil {
		return grwire.PresetHistory{}, fault
	}
	return grwire.HistoryTo(h), nil
}

func (d operatorDesk) history(ctx context.Context, name string) (grpreset.History, *grfault.Fault) {
	if !grpreset.ValidName(name) {
		return grpreset.History{}, grfault.New(grfault.UnknownPreset, "%q cannot name a preset", name)
	}
	o, err := d.node.platform.Get(ctx, grwire.PresetPrefix+name)
	if err != nil {
		return grpreset.History{}, platformFault(err)
	}
	h, err := grwire.DecodeHistory(o.Value)
	if err != nil {
		return h, grfault.New(grfault.Internal, "preset %s on the platform cannot be read: %v", name, err)
	}
	if h.Latest() == nil {
		return h, grfault.New(grfault.UnknownPreset, "there is no preset %s", name)
	}
	return h, nil
}

// PutPreset stores a new revision of a preset.
func (d operatorDesk) PutPreset(ctx context.Context, ask grwire.PutPresetRequest) (grwire.PutPresetReply, *grfault.Fault) {
	preset, err := grwire.PresetFrom(&ask.Preset)
	if err != nil {
		return grwire.PutPresetReply{}, grfault.New(grfault.BadPreset, "%v", err)
	}
	if fault := checkOperation(ask.Operation); fault != nil {
		return grwire.PutPresetReply{}, fault
	}
	put := &grpreset.Put{Operation: grid.OperationID(ask.Operation), Preset: preset}
	if ask.IfRevision != nil {
		base := grid.Revision(*ask.IfRevision)
		put.Base = &base
	}
	change := newChange(d.node, put.Apply)
	step := grplatform.Run(ctx, d.node.platform, grwire.PresetPrefix+string(preset.Name), historyCodec, change)
	if fault := endFault(step.End, step.Fault); fault != nil {
		return grwire.PutPresetReply{}, fault
	}
	return grwire.PutPresetReply{Name: string(preset.Name), Revision: uint64(put.Stored)}, nil
}

// Switch puts a stored revision in force.
func (d operatorDesk) Switch(ctx context.Context, ask grwire.SwitchRequest) (grwire.ActiveWire, *grfault.Fault) {
	if fault := checkOperation(ask.Operation); fault != nil {
		return grwire.ActiveWire{}, fault
	}
	h, fault := d.history(ctx, ask.Name)
	if fault != nil {
		return grwire.ActiveWire{}, fault
	}
	stored := h.Find(grid.Revision(ask.Revision))
	if stored == nil {
		return grwire.ActiveWire{}, grfault.New(grfault.UnknownPreset, "preset %s has no revision %d", ask.Name, ask.Revision)
	}
	wish := &grpreset.Switch{Operation: grid.OperationID(ask.Operation), Preset: stored.Preset, Now: d.node.Clock.Now()}
	if ask.IfGeneration != nil {
		base := grid.Generation(*ask.IfGeneration)
		wish.Base = &base
	}
	change := newChange(d.node, wish.Apply)
	step := grplatform.Run(ctx, d.node.platform, grwire.ActiveKey, pointerCodec, change)
	if fault := endFault(step.End, step.Fault); fault != nil {
		return grwire.ActiveWire{}, fault
	}
	d.node.control.post(controlEvent{active: wish.Accepted})
	return grwire.ActiveTo(wish.Accepted), nil
}

// PresetStatus tells which generation is in force where.
func (d operatorDesk) PresetStatus(ctx context.Context) grwire.PresetStatus {
	own := d.node.ownStatus()
	status := grwire.PresetStatus{Generation: own.Generation, Instances: []grwire.InstanceStatus{own}}
	for _, m := range d.node.members() {
		if m.ID == d.node.Settings.Instance {
			continue
		}
		s, err := d.node.links.Status(ctx, m.Peers)
		if err != nil {
			s = grwire.InstanceStatus{Instance: string(m.ID), Domain: string(m.Domain), State: m.State.String()}
		}
		status.Generation = max(status.Generation, s.Generation)
		status.Instances = append(status.Instances, s)
	}
	return status
}

// members returns what is known of the entry instances.
func (n *Node) members() []grcontrol.MemberStatus {
	var list []grcontrol.MemberStatus
	n.control.inspect(func(c *grcontrol.Control) { list = c.Status() })
	return list
}

// Status describes the instance.
func (d operatorDesk) Status() grwire.StatusReply {
	status := grwire.StatusReply{
		Instance: string(d.node.Settings.Instance),
		Domain:   string(d.node.Settings.FailureDomain),
		Phase:    d.node.control.currentPhase().String(),
	}
	status.PlatformUp = d.node.platformUp.Load()
	if t := d.node.table.Load(); t != nil {
		status.TableVersion = uint64(t.Version)
	}
	status.Ready, status.Watching = d.node.Ready(), d.node.Watching()
	for _, m := range d.node.members() {
		if m.ID != d.node.Settings.Instance {
			status.Peers = append(status.Peers, grwire.InstanceStatus{
				Instance: string(m.ID), Domain: string(m.Domain), State: m.State.String(),
			})
		}
	}
	d.node.inspect(func(r *grrouter.Router) { describe(r, &status) })
	return status
}

// WriteMetrics writes the metrics as text.
func (d operatorDesk) WriteMetrics(w io.Writer) error { return d.node.WriteMetrics(w) }

// Drain starts a graceful shutdown.
func (d operatorDesk) Drain() grwire.StatusReply {
	d.node.control.post(controlEvent{drain: true})
	return d.Status()
}

func describe(r *grrouter.Router, status *grwire.StatusReply) {
	if a, ok := r.Preset(); ok {
		status.Generation = uint64(a.Generation)
		status.Preset = string(a.Preset.Name)
	}
	status.InFlight = r.InFlight()
	for _, m := range r.Maps() {
		status.Collections = append(status.Collections, grwire.CollectionWire{
			Collection: string(m.Collection), Index: uint64(m.Snapshot.Index), Map: uint64(m.Snapshot.Map), Shards: len(m.Shards),
		})
	}
	for i := range r.Services() {
		leaf := r.Leaf(int32(i))
		s := grwire.ServiceStatus{Service: string(r.Service(int32(i))), Waiting: leaf.Waiting()}
		for index, searcher := range leaf.Searchers() {
			s.Searchers = append(s.Searchers, grwire.SearcherStatus{
				Searcher:    string(searcher.ID),
				Leaving:     searcher.Leaving,
				Connections: leaf.Conns(int32(index)),
				Share:       searcher.Share,
			})
		}
		status.Services = append(status.Services, s)
	}
}

// newChange wraps an operator's wish as a conditional change of an object.
func newChange[T any](n *Node, apply func(T) (T, bool, *grfault.Fault)) *grchange.Change[T] {
	return &grchange.Change[T]{
		Deadline: n.Clock.Now() + operatorTimeout,
		Random:   grid.Random{State: uint64(n.Clock.Now())},
		Apply: func(current T, _ grid.Revision) grchange.Verdict[T] {
			next, settled, fault := apply(current)
			return grchange.Verdict[T]{Settled: settled, Fault: fault, Next: next}
		},
	}
}

func checkOperation(id string) *grfault.Fault {
	if grpreset.ValidName(strings.ToLower(id)) {
		return nil
	}
	return grfault.New(grfault.MalformedBody, "operation_id is %q, allowed: 1 to 64 of a-z, 0-9, _ and -", id)
}

func endFault(end grchange.End, fault *grfault.Fault) *grfault.Fault {
	if end == grchange.Uncertain {
		return grfault.New(grfault.Lost, "the platform did not say whether the change applied; repeat it with the same operation_id")
	}
	return fault
}

func platformFault(err error) *grfault.Fault {
	return grfault.New(grfault.PlatformDown, "%v", err)
}
