// Package grnode runs an entry instance: its event loops, servers and connections, and
// the input and output of the state machines that decide how it routes requests.
//
//	node := &grnode.Node{Settings: settings, Log: log, Clock: grclock.System()}
//	err := node.Run(ctx)
package grnode

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grqueue"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/state/grsettings"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grhttp"
	"geraniumrouter/transport/grlisten"
	"geraniumrouter/transport/grmetric"
	"geraniumrouter/transport/grpeer"
	"geraniumrouter/transport/grplatform"
	"geraniumrouter/transport/grupstream"
)

// Node is one entry instance. Set the exported fields before Run.
type Node struct {
	Settings      grsettings.Settings
	Log           *zap.Logger
	Clock         grclock.Clock
	Metrics       metrics.Registry // created by Run if nil
	Terminate     chan os.Signal   // a signal on it starts a graceful shutdown
	Adapter       Adapter          // nil for the native interface
	RouteSettings RouteSettings    // used with an Adapter only
	Bounds        grlisten.Bounds  // of all listeners; Run sets its Metrics
	MaxPeerConns  int              // connections that other instances may hold to this one; 0 selects the default

	group       *grgroup.Group
	platform    *grplatform.Client
	pool        *grupstream.Pool
	events      *grqueue.Queue[event]
	peerClient  *grpeer.Client
	groupClient *grpeer.GroupClient
	routerLoop  routerLoop
	controlLoop controlLoop
	view        viewGate
	claimLoop   claimLoop
	incarnation grident.Incarnation

	inFlight     atomic.Int64  // queries and requests being processed
	lastNumber   atomic.Uint64 // last number given to a request or claim token
	activationMS atomic.Int64  // from the acceptance of the preset until its activation here
	table        atomic.Pointer[grroutes.Table]
	ready        atomic.Bool // with an Adapter: a table and a searcher are available
	started      atomic.Bool // without one: requests of callers are accepted from then on

	tableActivatedMS atomic.Int64 // when the table was activated

	groupsMu   sync.Mutex
	groups     map[groupKey]*delegatedGroup     // delegated by other instances
	delays     map[string]*grstat.RelativeDelay // delivery delay of group calls, by sender and its run
	platformUp atomic.Bool

	platformEra atomic.Uint64 // newest era of the platform that is known
}

// eventQueueSize is the number of events that can wait for the router's event loop.
const eventQueueSize = 65536

// Run serves until ctx ends or an event loop or server fails.
func (n *Node) Run(ctx context.Context) error {
	n.prepare(ctx)
	tlsConfigs, err := n.loadTLS()
	if err != nil {
		return err
	}
	n.peerClient.TLS = tlsConfigs.peerClient
	listener, err := net.Listen("tcp", string(n.Settings.PeerAddress))
	if err != nil {
		return err
	}
	listener = n.Bounds.ListenCalls(listener, "peers", n.MaxPeerConns)
	if tlsConfigs.peers != nil {
		listener = tls.NewListener(listener, tlsConfigs.peers)
	}
	peers := &grpeer.Service{OnMessage: n.onMessage, OnStatus: n.ownStatus, OnGather: n.onGather, OnRateLimit: n.onRateLimit, OnPanic: n.ReportPanic}
	n.group.Start(func(ctx context.Context) error { return peers.Serve(ctx, listener) })
	n.group.Start(n.routerLoop.run)
	n.group.Start(n.controlLoop.run)
	n.group.Start(n.awaitTermination)
	if n.Adapter != nil {
		for _, run := range n.Adapter.Goroutines(n) {
			n.group.Start(run)
		}
	} else {
		n.serveNative(tlsConfigs)
	}
	n.Log.Info("instance started", zap.Uint64("run", uint64(n.incarnation)))
	err = n.group.Wait()
	n.Log.Info("instance stopped", zap.Error(err))
	return err
}

// serveNative starts the servers and event loops of the native interface.
func (n *Node) serveNative(configs tlsConfigs) {
	n.group.Start(n.controlLoop.watchObjects)
	n.group.Start(n.controlLoop.watchInstances)
	n.group.Start(n.controlLoop.register)
	n.group.Start(n.claimLoop.run)
	callers := &grhttp.Server{Address: n.Settings.CallerAddress, Handler: grhttp.CallerHandler(callerHandler{n}), TLS: configs.callers, Bounds: &n.Bounds, Name: "callers"}
	operators := &grhttp.Server{
		Address: n.Settings.OperatorAddress,
		Handler: grhttp.OperatorHandler(operatorHandler{n}, n.Settings.OperatorToken, n.Metrics),
		TLS:     configs.operators,
		Bounds:  &n.Bounds,
		Name:    "operators",
	}
	n.group.Start(callers.Run)
	n.group.Start(operators.Run)
}

func (n *Node) prepare(ctx context.Context) {
	if n.Metrics == nil {
		n.Metrics = metrics.NewRegistry()
	}
	n.Bounds.Metrics = n.Metrics
	n.Log = n.Log.With(zap.String("instance", string(n.Settings.Instance)))
	n.incarnation = grident.Incarnation(n.Clock.Now())
	n.group = grgroup.New(ctx)
	n.events = grqueue.New[event](eventQueueSize)
	n.platform = &grplatform.Client{Addresses: n.Settings.PlatformAddresses, Clock: n.Clock, Metrics: n.Metrics}
	router := n.newRouter()
	responseTimeout := router.Policy.UnresponsiveTimeout
	if n.Adapter != nil {
		responseTimeout = 0
	}
	n.pool = &grupstream.Pool{
		Group:           n.group,
		Clock:           n.Clock,
		ResponseTimeout: responseTimeout,
		Instance:        fmt.Sprintf("%s/%d", n.Settings.Instance, n.incarnation),
		OnEvent:         n.onUpstream,
		OnError:         n.onUpstreamError,
	}
	n.peerClient = &grpeer.Client{
		Group:   n.group,
		Clock:   n.Clock,
		OnEvent: func(e grpeer.Event) { n.controlLoop.post(controlEvent{peerEvent: &e}) },

		Traffic: n.byteCounters("member", ""),
	}
	n.groupClient = &grpeer.GroupClient{
		Group:       n.group,
		OnEvent:     func(e grpeer.GroupEvent) { n.post(&groupCallEnded{e}) },
		OnRateLimit: func(e grpeer.RateLimitEvent) { n.post(&rateLimitCallEnded{e}) },
	}
	n.view.init(n.leasesView())
	n.claimLoop.node = n
	n.claimLoop.init()
	n.routerLoop = routerLoop{node: n, router: router}
	n.routerLoop.init()
	n.controlLoop.node = n
	n.controlLoop.init()
}

func (n *Node) newRouter() *grrouter.Router {
	router := &grrouter.Router{Seed: grident.Hash(n.Settings.Instance) ^ uint64(n.incarnation), Self: n.Settings.Instance, Domain: n.Settings.FailureDomain, Capacity: n.RouteSettings.Capacity}
	if n.Adapter != nil {
		router.Policy = grdispatch.RoutePolicy()
		router.QuotaBound, router.ColdBound = n.RouteSettings.QuotaBound, n.RouteSettings.ColdBound
		router.ExtraLimit, router.PartProcessingTime = n.RouteSettings.ExtraAttempts, n.RouteSettings.PartProcessingTime
	}
	if n.leasesView() {
		router.View = &grdispatch.ViewLease{}
	}
	router.Init()
	return router
}

// leasesView reports whether the searchers and the routing table may be used for a limited
// time without a proof that they are up to date.
func (n *Node) leasesView() bool { return n.Adapter != nil && n.RouteSettings.ViewBound > 0 }

// post queues an event for the router's event loop.
func (n *Node) post(e event) { n.events.Put(n.group.Context().Done(), e) }

// onUpstream passes a connection event to the event loop that handles it.
func (n *Node) onUpstream(e grupstream.Event) {
	if e.Kind != grupstream.LoadReported {
		n.post(&upstreamEvent{e})
		return
	}
	if e.Load.Leaving {
		n.controlLoop.post(controlEvent{departure: &grcluster.Departure{Searcher: e.Searcher, Incarnation: e.Incarnation, Address: e.Address}})
	}
}

// ReportPanic counts and logs a recovered panic. It ended the work on one message, call
// or connection only, or its goroutine was restarted.
func (n *Node) ReportPanic(p *grgroup.PanicError) {
	grmetric.Count(n.Metrics, "panics_total")
	n.Log.Error("unexpected failure", zap.Error(p), zap.String("stack", p.Stack))
}

// onUpstreamError counts and logs the errors that the pool reports: a recovered panic of an
// Exchange as a panic, everything else as invalid data from a searcher.
func (n *Node) onUpstreamError(address grident.Address, err error) {
	var p *grgroup.PanicError
	if errors.As(err, &p) {
		n.ReportPanic(p)
		return
	}
	grmetric.Count(n.Metrics, "answers_wrong_total")
	n.Log.Warn("connection closed for what came on it", zap.String("address", string(address)), zap.Error(err))
}

// onMessage passes a message of a peer to the control loop and waits for the answer.
func (n *Node) onMessage(message grwire.PeerMessage) grwire.PeerMessage {
	answer := make(chan grwire.PeerMessage, 1)
	n.controlLoop.post(controlEvent{message: &messageEvent{message, answer}})
	select {
	case a := <-answer:
		return a
	case <-n.group.Context().Done():
		return grwire.PeerMessage{Empty: true}
	}
}

// ownStatus returns the status of this instance as peers see it.
func (n *Node) ownStatus() grwire.InstanceStatus {
	s := grwire.InstanceStatus{
		Instance:  string(n.Settings.Instance),
		Domain:    string(n.Settings.FailureDomain),
		State:     n.controlLoop.currentPhase().String(),
		TookMS:    n.activationMS.Load(),
		Reachable: true,
	}
	n.inspect(func(r *grrouter.Router) {
		if a, ok := r.ActivePreset(); ok {
			s.Generation = uint64(a.Generation)
		}
	})
	return s
}
