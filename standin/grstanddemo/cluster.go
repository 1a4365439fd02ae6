// Package grstanddemo runs a whole deployment inside one process: platform,
// searchers and entry instances as groups of goroutines on loopback ports.
//
//	cluster := &grstanddemo.Cluster{Deployment: grstanddata.Kinoko(), Port: 23000}
//	cluster.Start(ctx)
//	defer cluster.Stop()
package grstanddemo

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/standin/grstandplatform"
	"geraniumrouter/standin/grstandupstream"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grsettings"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grhttp"
	"geraniumrouter/transport/grnode"
)

// Entries is the number of entry instances.
const Entries = 5

// host is the only address that the stand-ins use.
const host = "127.0.0.1"

// Offsets of the ports of a cluster from its first one.
const (
	platformOffset = 0
	controlOffset  = 1
	callersOffset  = 10
	peersOffset    = 20
	operatorOffset = 30
	searcherOffset = 100
)

// Cluster is a deployment in one process. Set the exported fields before
// Start.
type Cluster struct {
	Deployment grstanddata.Deployment
	Port       int // first of the ports used
	Service50  grclock.Millis
	Patience   grclock.Millis // longest time of a query in place of the presets'; 0 for theirs
	Log        *zap.Logger
	Clock      grclock.Clock
	Platform   *grstandplatform.Platform
	Upstream   *grstandupstream.Process

	group *grgroup.Group
	nodes []*grgroup.Group
}

// Layout names the addresses of a cluster.
type Layout struct{ Port int }

// Platform is the address of the platform.
func (l Layout) Platform() grid.Address { return l.at(platformOffset) }

// Control is the address of the searchers' controls.
func (l Layout) Control() grid.Address { return l.at(controlOffset) }

// ControlOf is the address of the controls of one failure domain's searchers,
// where each failure domain is a process of its own.
func (l Layout) ControlOf(d grstanddata.Deployment, domain string) grid.Address {
	for i, name := range d.Domains {
		if string(name) == domain {
			return l.at(controlOffset + 1 + i)
		}
	}
	return l.Control()
}

// Callers is the callers' address of an entry instance, counted from 0.
func (l Layout) Callers(i int) grid.Address { return l.at(callersOffset + i) }

// Operators is the operators' address of an entry instance.
func (l Layout) Operators(i int) grid.Address { return l.at(operatorOffset + i) }

// Peers is the peers' address of an entry instance.
func (l Layout) Peers(i int) grid.Address { return l.at(peersOffset + i) }

// Searchers lists the searchers of the deployment.
func (l Layout) Searchers(d grstanddata.Deployment) []grwire.InstanceWire {
	return d.Searchers(host, l.Port+searcherOffset)
}

// Instances lists the searchers and the entry instances.
func (l Layout) Instances(d grstanddata.Deployment) []grwire.InstanceWire {
	list := l.Searchers(d)
	for i := range Entries {
		list = append(list, grwire.InstanceWire{
			ID:      string(EntryID(i)),
			Kind:    grwire.KindEntry,
			Address: string(l.Peers(i)),
			Domain:  string(d.Domains[i%len(d.Domains)]),
			State:   grwire.StateLive,
			Run:     1,
		})
	}
	return list
}

// Settings returns the settings of an entry instance.
func (l Layout) Settings(d grstanddata.Deployment, i int) grsettings.Settings {
	s := grsettings.Settings{
		Instance:      EntryID(i),
		FailureDomain: d.Domains[i%len(d.Domains)],
		Callers:       l.Callers(i),
		Peers:         l.Peers(i),
		Operators:     l.Operators(i),
		Platform:      []grid.Address{l.Platform()},
		EntryTTL:      2 * grclock.Second,
		LogLevel:      "info",
		TraceExporter: "none",
	}
	for peer := range Entries {
		if peer != i {
			s.Seeds = append(s.Seeds, l.Peers(peer))
		}
	}
	return s
}

// EntryID names an entry instance, counted from 0.
func EntryID(i int) grid.InstanceID { return grid.InstanceID(fmt.Sprintf("entry-%d", i+1)) }

func (l Layout) at(offset int) grid.Address {
	return grid.Address(fmt.Sprintf("%s:%d", host, l.Port+offset))
}

// Layout returns the addresses of the cluster.
func (c *Cluster) Layout() Layout { return Layout{Port: c.Port} }

// Start starts every part.
func (c *Cluster) Start(ctx context.Context) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	l := c.Layout()
	c.group = grgroup.New(ctx)
	c.Platform = grstandplatform.New(c.Clock)
	c.Platform.SetInstances(l.Instances(c.Deployment))
	for _, g := range c.Deployment.Groups {
		c.Platform.Put(grwire.MapPrefix+string(g.Collection), grwire.MapTo(g.Map(1, 1, 0)))
	}
	platform := &grhttp.Server{Address: l.Platform(), Handler: c.Platform.Handler()}
	c.group.Start(platform.Run)
	c.Upstream = &grstandupstream.Process{
		Deployment: c.Deployment, Instances: l.Searchers(c.Deployment), Control: l.Control(),
		Service50: c.Service50, Clock: c.Clock, Seed: 1,
	}
	c.Upstream.Init()
	c.group.Start(c.Upstream.Run)
	c.nodes = make([]*grgroup.Group, Entries)
	for i := range Entries {
		c.StartEntry(i)
	}
}

// StartEntry starts an entry instance, counted from 0.
func (c *Cluster) StartEntry(i int) {
	node := &grnode.Node{Settings: c.Layout().Settings(c.Deployment, i), Log: c.Log, Clock: c.Clock}
	c.nodes[i] = grgroup.New(c.group.Context())
	c.nodes[i].Start(node.Run)
}

// StopEntry ends an entry instance at once.
func (c *Cluster) StopEntry(i int) error {
	c.nodes[i].Stop()
	return c.nodes[i].Wait()
}

// Stop ends every part.
func (c *Cluster) Stop() error {
	for i := range c.nodes {
		if err := c.StopEntry(i); err != nil {
			return err
		}
	}
	c.group.Stop()
	return c.group.Wait()
}
