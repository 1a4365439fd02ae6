// Package grnode joins the parts into an entry instance: it runs the duties,
// passes their events and carries out what the pure parts decide.
//
//	node := &grnode.Node{Settings: settings, Log: log, Clock: grclock.System()}
//	err := node.Run(ctx)
package grnode

import (
	"context"
	"fmt"
	"os"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grring"
	"geraniumrouter/state/grsettings"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grhttp"
	"geraniumrouter/transport/grplatform"
	"geraniumrouter/transport/grupstream"
)

// Node is one entry instance. Set the exported fields before Run.
type Node struct {
	Settings  grsettings.Settings
	Log       *zap.Logger
	Clock     grclock.Clock
	Metrics   metrics.Registry // made by Run when nil
	Terminate chan os.Signal   // a signal here starts a graceful shutdown

	group    *grgroup.Group
	platform *grplatform.Client
	pool     *grupstream.Pool
	events   *grring.Ring[event]
	loop     loop
	control  control
	run      grid.Incarnation
}

// eventRing is the number of events that wait for the router's duty.
const eventRing = 65536

// Run serves until ctx ends or a duty fails.
func (n *Node) Run(ctx context.Context) error {
	n.prepare(ctx)
	n.group.Start(n.loop.run)
	n.group.Start(n.control.run)
	n.group.Start(n.control.watchObjects)
	n.group.Start(n.control.watchInstances)
	callers := &grhttp.Server{Address: n.Settings.Callers, Handler: grhttp.Callers(callerDesk{n})}
	operators := &grhttp.Server{
		Address: n.Settings.Operators,
		Handler: grhttp.Operators(operatorDesk{n}, n.Settings.OperatorToken, n.Metrics),
	}
	n.group.Start(n.awaitTermination)
	n.group.Start(callers.Run)
	n.group.Start(operators.Run)
	n.Log.Info("instance started", zap.String("instance", string(n.Settings.Instance)))
	return n.group.Wait()
}

// awaitTermination ends the instance when it is asked to.
func (n *Node) awaitTermination(ctx context.Context) error {
	select {
	case <-n.Terminate:
		n.group.Stop()
	case <-ctx.Done():
	}
	return nil
}

func (n *Node) prepare(ctx context.Context) {
	if n.Metrics == nil {
		n.Metrics = metrics.NewRegistry()
	}
	n.run = grid.Incarnation(n.Clock.Now())
	n.group = grgroup.New(ctx)
	n.events = grring.New[event](eventRing)
	n.platform = &grplatform.Client{Addresses: n.Settings.Platform, Clock: n.Clock, Metrics: n.Metrics}
	router := &grrouter.Router{Seed: grid.Hash(n.Settings.Instance) ^ uint64(n.run)}
	router.Init()
	n.pool = &grupstream.Pool{
		Group:  n.group,
		Clock:  n.Clock,
		Silent: router.Policy.SilentLimit,
		Caller: fmt.Sprintf("%s/%d", n.Settings.Instance, n.run),
		Report: func(e grupstream.Event) { n.post(event{kind: upstreamEvent, upstream: e}) },
	}
	n.loop = loop{node: n, router: router}
	n.loop.init()
	n.control = control{node: n}
	n.control.init()
}

// post hands an event to the router's duty.
func (n *Node) post(e event) { n.events.Put(n.group.Context().Done(), e) }
