package grnode

import (
	"io"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grlease"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grdial"
	"geraniumrouter/transport/grmetric"
)

// WriteMetrics writes the metrics collected since the start and a snapshot of the
// current state as text.
func (n *Node) WriteMetrics(w io.Writer) error {
	if err := grmetric.Write(w, n.Metrics); err != nil {
		return err
	}
	state := metrics.NewRegistry()
	n.collectInstance(state)
	n.inspect(func(r *grrouter.Router) {
		grmetric.Set(state, int64(r.RefusedOrganisations(n.Clock.Now())), "quota_organisations_refused")
		grmetric.Set(state, int64(r.OwnedBlocks()), "blocks_owned")
		grmetric.Set(state, int64(n.routerLoop.openings.Len()), "openings_waiting")
		for i := range r.ServiceCount() {
			name, dispatcher := r.ServiceName(int32(i)), r.Dispatcher(int32(i))
			n.collectService(state, name, dispatcher)
			collectRateLimits(state, string(name), dispatcher.RateLimitUses(n.Clock.Now()))
			collectCold(state, string(name), dispatcher.ColdUses(n.Clock.Now()))
		}
	})
	return grmetric.Write(w, state)
}

// Status returns the status that operators see.
func (n *Node) Status() grwire.StatusReply { return operatorHandler{n}.Status() }

// byteCounters returns the byte counters for connections to a kind of destination in
// a failure domain.
func (n *Node) byteCounters(destination string, domain grident.FailureDomain) grdial.ByteCounters {
	domainLabel := "own"
	if domain != n.Settings.FailureDomain {
		domainLabel = "other"
	}
	counter := func(direction string) metrics.Counter {
		name := grmetric.Name("bytes_total", "to", destination, "domain", domainLabel, "direction", direction)
		return metrics.GetOrRegisterCounter(name, n.Metrics)
	}
	return grdial.ByteCounters{Sent: counter("sent"), Received: counter("received")}
}

func (n *Node) collectInstance(state metrics.Registry) {
	if t := n.table.Load(); t != nil {
		grmetric.Set(state, int64(t.Version), "table_version")
		grmetric.Set(state, int64(len(t.Routes)), "table_routes")
		grmetric.Set(state, int64(n.Clock.Now())-n.tableActivatedMS.Load(), "table_age_ms")
	}
	grmetric.Set(state, n.inFlight.Load(), "requests_in_flight")
	grmetric.Set(state, boolGauge(n.Ready()), "ready")
	grmetric.Set(state, boolGauge(n.ShouldRead(grlease.Searchers)), "watching")
	grmetric.Set(state, int64(n.Phase()), "shutdown_phase")
	if n.leasesView() {
		grmetric.Set(state, n.viewAge(), "view_age_ms")
	}
	if n.RouteSettings.ReadsEvacuations {
		n.controlLoop.inspect(func(c *grcluster.Cluster) {
			grmetric.Set(state, int64(len(c.EvacuatedDomains())), "evacuated_domains")
		})
	}
	states := make(map[string]int64)
	for _, m := range n.members() {
		states[m.State.String()]++
	}
	for name, number := range states {
		grmetric.Set(state, number, "members", "state", name)
	}
}

func (n *Node) collectService(state metrics.Registry, name grident.Service, dispatcher *grdispatch.Dispatcher) {
	service := string(name)
	c := &dispatcher.Counters
	for kind, number := range map[string]uint64{
		"first": c.FirstAttempts, "hedged": c.Hedges, "retried": c.Retries, "resent": c.Resent,
		"shed": c.Sheds, "dropped": c.AbandonedConnsClosed, "hedge_denied": c.HedgesDenied, "retry_denied": c.RetriesDenied,
		"not_answered": c.NotAnswered,
	} {
		if number > 0 {
			grmetric.Set(state, int64(number), "service_subrequests_total", "service", service, "kind", kind)
		}
	}
	grmetric.Set(state, int64(c.ConnsOpened), "service_connections_opened_total", "service", service)
	grmetric.Set(state, int64(dispatcher.QueueLen()), "service_waiting", "service", service)
	now := n.Clock.Now()
	for i, s := range dispatcher.Searchers() {
		if left := dispatcher.SearcherRefusesFor(now, int32(i)); left > 0 {
			grmetric.Set(state, int64(left), "searcher_refuses_ms", "service", service, "searcher", string(s.ID))
		}
		if held := dispatcher.ConnCount(int32(i)); held > 0 {
			labels := []string{"service", service, "searcher", string(s.ID), "leaving", strconv.FormatBool(s.Leaving)}
			grmetric.Set(state, int64(held), "searcher_connections", labels...)
		}
	}
}

func boolGauge(value bool) int64 {
	if value {
		return 1
	}
	return 0
}
