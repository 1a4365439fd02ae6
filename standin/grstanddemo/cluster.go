// Package grstanddemo runs a complete deployment in one process for
// demonstrations and tests: the stand-ins for platform and searchers, and entry
// instances, on loopback ports.
//
//	cluster := &grstanddemo.Cluster{Deployment: grstanddata.Kinoko(), Port: 23000, Clock: clock}
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
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsettings"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grhttp"
	"geraniumrouter/transport/grnode"
)

// EntryCount is the number of entry instances of a cluster.
const EntryCount = 5

// host is the address on which everything listens.
const host = "127.0.0.1"

// Offsets of the ports of a cluster from its first one.
const (
	platformOffset = 0
	controlOffset  = 1 // followed by one port for each failure domain
	callerOffset   = 10
	peerOffset     = 20
	operatorOffset = 30
	searcherOffset = 100
)

// Cluster is a deployment in one process. Set the exported fields before Start,
// except for Platform and Upstream, which Start sets.
type Cluster struct {
	Deployment       grstanddata.Deployment
	Port             int            // first port; see Layout
	MedianSearchTime grclock.Millis // median time of a search
	QueryTimeout     grclock.Millis // query timeout in place of those of the presets; 0 keeps theirs
	Log              *zap.Logger    // nil for none
	Clock            grclock.Clock
	Platform         *grstandplatform.Platform
	Upstream         *grstandupstream.Process

	group *grgroup.Group
	nodes []*grgroup.Group
}

// Layout assigns the addresses of a cluster, starting at Port.
type Layout struct{ Port int }

// PlatformAddress returns the address of the platform.
func (l Layout) PlatformAddress() grident.Address { return l.at(platformOffset) }

// ControlAddress returns the address of the HTTP paths that control all searchers.
func (l Layout) ControlAddress() grident.Address { return l.at(controlOffset) }

// DomainControlAddress returns the address of the HTTP paths that control the searchers of
// one failure domain, for deployments with one searcher process for each
// failure domain. For an unknown domain it returns ControlAddress.
func (l Layout) DomainControlAddress(d grstanddata.Deployment, domain string) grident.Address {
	for i, name := range d.Domains {
		if string(name) == domain {
			return l.at(controlOffset + 1 + i)
		}
	}
	return l.ControlAddress()
}

// CallerAddress returns the address for callers of an entry instance, counted from 0.
func (l Layout) CallerAddress(i int) grident.Address { return l.at(callerOffset + i) }

// OperatorAddress returns the address for operators of an entry instance, counted
// from 0.
func (l Layout) OperatorAddress(i int) grident.Address { return l.at(operatorOffset + i) }

// PeerAddress returns the address for peers of an entry instance, counted from 0.
func (l Layout) PeerAddress(i int) grident.Address { return l.at(peerOffset + i) }

// Searchers returns the searchers of the deployment.
func (l Layout) Searchers(d grstanddata.Deployment) []grwire.InstanceWire {
	return d.Searchers(host, l.Port+searcherOffset)
}

// Instances returns the searchers and the entry instances of the deployment, as
// the platform lists them.
func (l Layout) Instances(d grstanddata.Deployment) []grwire.InstanceWire {
	list := l.Searchers(d)
	for i := range EntryCount {
		list = append(list, grwire.InstanceWire{
			ID:      string(EntryID(i)),
			Kind:    grwire.KindEntry,
			Address: string(l.PeerAddress(i)),
			Domain:  string(d.Domains[i%len(d.Domains)]),
			State:   grwire.StateLive,
			Run:     1,
		})
	}
	return list
}

// Settings returns the settings of an entry instance, counted from 0.
func (l Layout) Settings(d grstanddata.Deployment, i int) grsettings.Settings {
	s := grsettings.Settings{
		Instance:          EntryID(i),
		FailureDomain:     d.Domains[i%len(d.Domains)],
		CallerAddress:     l.CallerAddress(i),
		PeerAddress:       l.PeerAddress(i),
		OperatorAddress:   l.OperatorAddress(i),
		PlatformAddresses: []grident.Address{l.PlatformAddress()},
		EntryListTTL:      2 * grclock.Second,
		LogLevel:          "info",
		TraceExporter:     "none",
	}
	for peer := range EntryCount {
		if peer != i {
			s.PeerSeeds = append(s.PeerSeeds, l.PeerAddress(peer))
		}
	}
	return s
}

// EntryID returns the ID of an entry instance, counted from 0.
func EntryID(i int) grident.InstanceID { return grident.InstanceID(fmt.Sprintf("entry-%d", i+1)) }

func (l Layout) at(offset int) grident.Address {
	return grident.Address(fmt.Sprintf("%s:%d", host, l.Port+offset))
}

// Layout returns the addresses of the cluster.
func (c *Cluster) Layout() Layout { return Layout{Port: c.Port} }

// Start starts the platform, the searchers and all entry instances. It returns
// before they are ready.
func (c *Cluster) Start(ctx context.Context) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	l := c.Layout()
	c.group = grgroup.New(ctx)
	c.Platform = grstandplatform.New(c.Clock)
	c.Platform.SetInstances(l.Instances(c.Deployment))
	for _, spec := range c.Deployment.Collections {
		c.Platform.Put(grwire.ShardMapPrefix+string(spec.Collection), grwire.ShardMapTo(spec.Map(1, 1, 0)))
	}
	platform := &grhttp.Server{Address: l.PlatformAddress(), Handler: c.Platform.Handler()}
	c.group.Start(platform.Run)
	c.Upstream = &grstandupstream.Process{
		Deployment: c.Deployment, Instances: l.Searchers(c.Deployment), ControlAddress: l.ControlAddress(),
		MedianSearchTime: c.MedianSearchTime, Clock: c.Clock, Seed: 1,
	}
	c.Upstream.Init()
	c.group.Start(c.Upstream.Run)
	c.nodes = make([]*grgroup.Group, EntryCount)
	for i := range EntryCount {
		c.StartEntry(i)
	}
}

// StartEntry starts an entry instance, counted from 0.
func (c *Cluster) StartEntry(i int) {
	node := &grnode.Node{Settings: c.Layout().Settings(c.Deployment, i), Log: c.Log, Clock: c.Clock}
	c.nodes[i] = grgroup.New(c.group.Context())
	c.nodes[i].Start(node.Run)
}

// StopEntry stops an entry instance without draining it, waits until it has
// ended and returns its error.
func (c *Cluster) StopEntry(i int) error {
	c.nodes[i].Stop()
	return c.nodes[i].Wait()
}

// Stop stops the entry instances, then the platform and the searchers. It returns at the
// first error and leaves the rest running.
func (c *Cluster) Stop() error {
	for i := range c.nodes {
		if err := c.StopEntry(i); err != nil {
			return err
		}
	}
	c.group.Stop()
	return c.group.Wait()
}
