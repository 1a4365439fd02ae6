package grnode

import (
	"context"
	"encoding/json"
	"strings"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grring"
)

// control is the duty that follows the platform and the other instances, and
// tells the router what is in force.
type control struct {
	node     *Node
	events   *grring.Ring[controlEvent]
	register grpreset.Register
	list     []grwire.InstanceWire
	sent     map[grid.Service]string // last list of searchers given to the router
}

// controlEvent is what the control duty is told.
type controlEvent struct {
	objects   []grwire.ObjectWire
	instances []grwire.InstanceWire
	active    *grpreset.Active
}

// Intervals and sizes of the control duty.
const (
	controlRing      = 4096
	instanceInterval = 500 * grclock.Millisecond
	watchPause       = 200 * grclock.Millisecond
)

func (c *control) init() {
	c.events = grring.New[controlEvent](controlRing)
	c.sent = make(map[grid.Service]string)
}

func (c *control) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events.Out():
			c.handle(&e)
		}
	}
}

func (c *control) post(e controlEvent) { c.events.Put(c.node.group.Context().Done(), e) }

func (c *control) handle(e *controlEvent) {
	for i := range e.objects {
		c.takeObject(&e.objects[i])
	}
	if e.active != nil {
		c.adopt(*e.active)
	}
	if e.instances != nil {
		c.list = e.instances
		c.refreshServices()
	}
}

func (c *control) takeObject(o *grwire.ObjectWire) {
	switch {
	case strings.HasPrefix(o.Key, grwire.MapPrefix):
		var w grwire.MapWire
		if json.Unmarshal(o.Value, &w) != nil {
			return
		}
		if m, err := grwire.MapFrom(&w); err == nil {
			c.node.post(event{kind: mapEvent, shardMap: m})
		}
	case o.Key == grwire.ActiveKey:
		if p, err := grwire.DecodePointer(o.Value); err == nil && p.Active != nil {
			c.adopt(*p.Active)
		}
	}
}

func (c *control) adopt(a grpreset.Active) {
	if !c.register.Adopt(a) {
		return
	}
	c.node.Log.Info("preset in force",
		zap.Uint64("generation", uint64(a.Generation)), zap.String("preset", string(a.Preset.Name)))
	c.node.post(event{kind: presetEvent, active: a})
	c.refreshServices()
}

// refreshServices gives the router the searchers that may get work.
func (c *control) refreshServices() {
	entries := 0
	services := make(map[grid.Service][]grwire.InstanceWire)
	for _, i := range c.list {
		switch i.Kind {
		case grwire.KindEntry:
			entries++
		case grwire.KindSearcher:
			services[grid.Service(i.Service)] = append(services[grid.Service(i.Service)], i)
		}
	}
	for name, list := range services {
		c.refreshService(name, list, max(entries, 1))
	}
}

func (c *control) refreshService(name grid.Service, list []grwire.InstanceWire, divisor int) {
	e := event{kind: serviceEvent, service: name, addresses: make(map[grid.SearcherID]grid.Address)}
	for _, i := range list {
		id := grid.SearcherID(i.ID)
		e.addresses[id] = grid.Address(i.Address)
		e.searchers = append(e.searchers, grleaf.Searcher{
			ID:      id,
			Domain:  grid.FailureDomain(i.Domain),
			Slots:   i.Slots,
			Share:   max(i.ConnLimit/divisor-1, 0),
			Leaving: i.State != grwire.StateLive,
			Run:     grid.Incarnation(i.Run),
		})
	}
	key := string(grwire.Encode(e.searchers))
	if c.sent[name] != key {
		c.sent[name] = key
		c.node.post(e)
	}
}

// watchObjects follows the objects of the platform; after a failure or a
// compaction it lists them again.
func (c *control) watchObjects(ctx context.Context) error {
	version := uint64(0)
	for ctx.Err() == nil {
		var list grwire.ListReply
		var err error
		if version == 0 {
			list, err = c.node.platform.List(ctx, "")
		} else {
			list, err = c.node.platform.Watch(ctx, version)
		}
		if err != nil {
			version = 0
			c.node.Clock.Sleep(ctx, watchPause)
			continue
		}
		version = list.Version
		c.post(controlEvent{objects: list.Objects})
	}
	return nil
}

// watchInstances follows the platform's list of instances.
func (c *control) watchInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		if list, err := c.node.platform.Instances(ctx); err == nil {
			c.post(controlEvent{instances: list.Instances})
		}
		c.node.Clock.Sleep(ctx, instanceInterval)
	}
	return nil
}
