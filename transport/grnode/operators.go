package grnode

import (
	"context"
	"io"
	"strings"

	"geraniumrouter/coordination/grcas"
	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grlease"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/transport/grplatform"
)

// operatorHandler answers the requests of operators.
type operatorHandler struct{ node *Node }

// operatorTimeout bounds the time for a conditional update of a platform object.
const operatorTimeout = 5 * grclock.Second

var historyCodec = grplatform.Codec[grpreset.History]{Decode: grwire.DecodeHistory, Encode: grwire.EncodeHistory}

var pointerCodec = grplatform.Codec[grpreset.ActivePointer]{Decode: grwire.DecodePointer, Encode: grwire.EncodePointer}

// Presets lists the stored presets with their latest revisions, and the preset in force.
func (h operatorHandler) Presets(ctx context.Context) (grwire.PresetsReply, *grerror.Error) {
	var reply grwire.PresetsReply
	list, err := h.node.platform.List(ctx, grwire.PresetPrefix)
	if err != nil {
		return reply, platformFault(err)
	}
	for _, o := range list.Objects {
		history, err := grwire.DecodeHistory(o.Value)
		if err != nil || history.Latest() == nil {
			continue
		}
		latest := history.Latest().Preset
		reply.Presets = append(reply.Presets, grwire.PresetSummary{Name: string(latest.Name), Revision: uint64(latest.Revision)})
	}
	h.node.inspect(func(r *grrouter.Router) {
		if a, ok := r.ActivePreset(); ok {
			active := grwire.ActivePresetTo(a)
			reply.Active = &active
		}
	})
	return reply, nil
}

// Preset returns all revisions of one preset.
func (h operatorHandler) Preset(ctx context.Context, name string) (grwire.PresetHistory, *grerror.Error) {
	history, fault := h.history(ctx, name)
	if fault != nil {
		return grwire.PresetHistory{}, fault
	}
	return grwire.HistoryTo(history), nil
}

func (h operatorHandler) history(ctx context.Context, name string) (grpreset.History, *grerror.Error) {
	if !grpreset.ValidName(name) {
		return grpreset.History{}, grerror.New(grerror.UnknownPreset, "%q cannot name a preset", name)
	}
	o, err := h.node.platform.Get(ctx, grwire.PresetPrefix+name)
	if err != nil {
		return grpreset.History{}, platformFault(err)
	}
	history, err := grwire.DecodeHistory(o.Value)
	if err != nil {
		return history, grerror.New(grerror.Internal, "preset %s on the platform cannot be read: %v", name, err)
	}
	if history.Latest() == nil {
		return history, grerror.New(grerror.UnknownPreset, "there is no preset %s", name)
	}
	return history, nil
}

// PutPreset stores a new revision of a preset.
func (h operatorHandler) PutPreset(ctx context.Context, request grwire.PutPresetRequest) (grwire.PutPresetReply, *grerror.Error) {
	preset, err := grwire.PresetFrom(&request.Preset)
	if err != nil {
		return grwire.PutPresetReply{}, grerror.New(grerror.BadPreset, "%v", err)
	}
	if fault := validateOperationID(request.Operation); fault != nil {
		return grwire.PutPresetReply{}, fault
	}
	put := &grpreset.PutOperation{Operation: grident.OperationID(request.Operation), Preset: preset}
	if request.IfRevision != nil {
		base := grident.Revision(*request.IfRevision)
		put.BaseRevision = &base
	}
	update := newUpdate(h.node, put.Apply)
	step := grplatform.Update(ctx, h.node.platform, grwire.PresetPrefix+string(preset.Name), historyCodec, update)
	if fault := updateFault(step.Outcome, step.Err); fault != nil {
		return grwire.PutPresetReply{}, fault
	}
	return grwire.PutPresetReply{Name: string(preset.Name), Revision: uint64(put.StoredRevision)}, nil
}

// Switch activates a stored revision of a preset.
func (h operatorHandler) Switch(ctx context.Context, request grwire.SwitchRequest) (grwire.ActiveWire, *grerror.Error) {
	if fault := validateOperationID(request.Operation); fault != nil {
		return grwire.ActiveWire{}, fault
	}
	history, fault := h.history(ctx, request.Name)
	if fault != nil {
		return grwire.ActiveWire{}, fault
	}
	stored := history.Find(grident.Revision(request.Revision))
	if stored == nil {
		return grwire.ActiveWire{}, grerror.New(grerror.UnknownPreset, "preset %s has no revision %d", request.Name, request.Revision)
	}
	operation := &grpreset.SwitchOperation{Operation: grident.OperationID(request.Operation), Preset: stored.Preset, Now: h.node.Clock.Now()}
	if request.IfGeneration != nil {
		base := grident.Generation(*request.IfGeneration)
		operation.BaseGeneration = &base
	}
	update := newUpdate(h.node, operation.Apply)
	step := grplatform.Update(ctx, h.node.platform, grwire.ActivePresetKey, pointerCodec, update)
	if fault := updateFault(step.Outcome, step.Err); fault != nil {
		return grwire.ActiveWire{}, fault
	}
	h.node.controlLoop.post(controlEvent{active: operation.Accepted})
	return grwire.ActivePresetTo(operation.Accepted), nil
}

// PresetStatus returns the preset generation in force on each instance. An instance that
// does not answer is listed as unreachable.
func (h operatorHandler) PresetStatus(ctx context.Context) grwire.PresetStatus {
	own := h.node.ownStatus()
	status := grwire.PresetStatus{Generation: own.Generation, Instances: []grwire.InstanceStatus{own}}
	for _, m := range h.node.members() {
		if m.ID == h.node.Settings.Instance {
			continue
		}
		s, err := h.node.peerClient.Status(ctx, m.PeerAddress)
		if err != nil {
			s = grwire.InstanceStatus{Instance: string(m.ID), Domain: string(m.Domain), State: m.State.String()}
		}
		status.Generation = max(status.Generation, s.Generation)
		status.Instances = append(status.Instances, s)
	}
	return status
}

// members returns the known entry instances with their states.
func (n *Node) members() []grcluster.MemberStatus {
	var list []grcluster.MemberStatus
	n.controlLoop.inspect(func(c *grcluster.Cluster) { list = c.Status() })
	return list
}

// Status returns the state of this instance.
func (h operatorHandler) Status() grwire.StatusReply {
	status := grwire.StatusReply{
		Instance: string(h.node.Settings.Instance),
		Domain:   string(h.node.Settings.FailureDomain),
		Phase:    h.node.controlLoop.currentPhase().String(),
	}
	status.PlatformUp = h.node.platformUp.Load()
	if t := h.node.table.Load(); t != nil {
		status.TableVersion = uint64(t.Version)
	}
	status.Ready, status.Watching = h.node.Ready(), h.node.ShouldRead(grlease.Searchers)
	for _, m := range h.node.members() {
		if m.ID != h.node.Settings.Instance {
			status.Peers = append(status.Peers, grwire.InstanceStatus{
				Instance: string(m.ID), Domain: string(m.Domain), State: m.State.String(),
			})
		}
	}
	h.node.inspect(func(r *grrouter.Router) { describeRouter(r, &status) })
	return status
}

// WriteMetrics writes the metrics as text.
func (h operatorHandler) WriteMetrics(w io.Writer) error { return h.node.WriteMetrics(w) }

// Drain starts a graceful shutdown.
func (h operatorHandler) Drain() grwire.StatusReply {
	h.node.controlLoop.post(controlEvent{drain: true})
	return h.Status()
}

func describeRouter(r *grrouter.Router, status *grwire.StatusReply) {
	if a, ok := r.ActivePreset(); ok {
		status.Generation = uint64(a.Generation)
		status.Preset = string(a.Preset.Name)
	}
	status.InFlight = r.InFlight()
	for _, m := range r.ShardMaps() {
		status.Collections = append(status.Collections, grwire.CollectionWire{
			Collection: string(m.Collection), Index: uint64(m.Snapshot.IndexVersion), Map: uint64(m.Snapshot.MapVersion), Shards: len(m.Shards),
		})
	}
	for i := range r.ServiceCount() {
		dispatcher := r.Dispatcher(int32(i))
		s := grwire.ServiceStatus{Service: string(r.ServiceName(int32(i))), Waiting: dispatcher.QueueLen()}
		for index, searcher := range dispatcher.Searchers() {
			s.Searchers = append(s.Searchers, grwire.SearcherStatus{
				Searcher:    string(searcher.ID),
				Leaving:     searcher.Leaving,
				Connections: dispatcher.ConnCount(int32(index)),
				Share:       searcher.ConnLimit,
			})
		}
		status.Services = append(status.Services, s)
	}
}

// newUpdate wraps an operator's change as a conditional update of a platform object.
func newUpdate[T any](n *Node, apply func(T) (T, bool, *grerror.Error)) *grcas.Update[T] {
	return &grcas.Update[T]{
		Deadline: n.Clock.Now() + operatorTimeout,
		Random:   grident.Random{State: uint64(n.Clock.Now())},
		Apply: func(current T, _ grident.Revision) grcas.ApplyResult[T] {
			next, alreadyApplied, fault := apply(current)
			return grcas.ApplyResult[T]{AlreadyApplied: alreadyApplied, Err: fault, Next: next}
		},
	}
}

func validateOperationID(id string) *grerror.Error {
	if grpreset.ValidName(strings.ToLower(id)) {
		return nil
	}
	return grerror.New(grerror.MalformedBody, "operation_id is %q, allowed: 1 to 64 of a-z, 0-9, _ and -", id)
}

func updateFault(outcome grcas.Outcome, fault *grerror.Error) *grerror.Error {
	if outcome == grcas.Uncertain {
		return grerror.New(grerror.Lost, "the platform did not say whether the change applied; repeat it with the same operation_id")
	}
	return fault
}

func platformFault(err error) *grerror.Error {
	return grerror.New(grerror.PlatformDown, "%v", err)
}
