package grwire

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grtable"
)

// TableWire is a routing table between instances.
type TableWire struct {
	Version  uint64
	Routes   []RouteWire
	Services []ServiceWire
	Limits   LimitsWire
}

// RouteWire is a route.
type RouteWire struct {
	Name, Host, Prefix     string
	Idempotent, AllShards  bool
	Targets                []TargetWire
	TimeoutMS, ObjectiveMS int64
	MaxAttempts, Priority  int
	MinShare               float64
	Top                    int
}

// TargetWire is an alternative of a route.
type TargetWire struct {
	Weight   float64
	Services []string
}

// ServiceWire is a service.
type ServiceWire struct {
	Name      string
	ConnLimit int
}

// LimitsWire bounds what callers may send.
type LimitsWire struct {
	HeaderBytes, BodyBytes         int
	HeaderTimeoutMS, IdleTimeoutMS int64
}

// TableTo maps a table to the wire.
func TableTo(t *grtable.Table) *TableWire {
	w := &TableWire{Version: uint64(t.Version), Limits: LimitsWire{
		HeaderBytes: t.Limits.HeaderBytes, BodyBytes: t.Limits.BodyBytes,
		HeaderTimeoutMS: int64(t.Limits.HeaderTimeout), IdleTimeoutMS: int64(t.Limits.IdleTimeout),
	}}
	for i := range t.Routes {
		w.Routes = append(w.Routes, routeTo(&t.Routes[i]))
	}
	for _, s := range t.Services {
		w.Services = append(w.Services, ServiceWire{string(s.Name), s.ConnLimit})
	}
	return w
}

// TableFrom maps a table from the wire and indexes it.
func TableFrom(w *TableWire) *grtable.Table {
	t := &grtable.Table{Version: grtable.Version(w.Version), Limits: grtable.Limits{
		HeaderBytes: w.Limits.HeaderBytes, BodyBytes: w.Limits.BodyBytes,
		HeaderTimeout: grclock.Millis(w.Limits.HeaderTimeoutMS), IdleTimeout: grclock.Millis(w.Limits.IdleTimeoutMS),
	}}
	for i := range w.Routes {
		t.Routes = append(t.Routes, RouteFrom(&w.Routes[i]))
	}
	for _, s := range w.Services {
		t.Services = append(t.Services, grtable.Service{Name: grid.Service(s.Name), ConnLimit: s.ConnLimit})
	}
	t.Index()
	return t
}

// RouteTerms maps the terms of a route to the wire, without its targets.
func RouteTerms(r *grtable.Route) RouteWire {
	return RouteWire{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, AllShards: r.AllShards,
		TimeoutMS: int64(r.Timeout), ObjectiveMS: int64(r.Objective),
		MaxAttempts: r.MaxAttempts, Priority: r.Priority, MinShare: r.MinShare, Top: r.Top,
	}
}

func routeTo(r *grtable.Route) RouteWire {
	w := RouteTerms(r)
	for _, target := range r.Targets {
		w.Targets = append(w.Targets, TargetWire{target.Weight, namesOf(target.Services)})
	}
	return w
}

// RouteFrom maps a route from the wire.
func RouteFrom(w *RouteWire) grtable.Route {
	r := grtable.Route{
		Name: w.Name, Host: w.Host, Prefix: w.Prefix, Idempotent: w.Idempotent, AllShards: w.AllShards,
		Timeout: grclock.Millis(w.TimeoutMS), Objective: grclock.Millis(w.ObjectiveMS),
		MaxAttempts: w.MaxAttempts, Priority: w.Priority, MinShare: w.MinShare, Top: w.Top,
	}
	for _, target := range w.Targets {
		r.Targets = append(r.Targets, grtable.Target{Weight: target.Weight, Services: servicesOf(target.Services)})
	}
	return r
}

func namesOf(services []grid.Service) []string {
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = string(s)
	}
	return names
}

func servicesOf(names []string) []grid.Service {
	services := make([]grid.Service, len(names))
	for i, n := range names {
		services[i] = grid.Service(n)
	}
	return services
}
