package grwire

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// TableWire is a routing table as instances exchange it.
type TableWire struct {
	Version  uint64        `cbor:"1,keyasint,omitempty"`
	Routes   []RouteWire   `cbor:"2,keyasint,omitempty"`
	Services []ServiceWire `cbor:"3,keyasint,omitempty"`
	Limits   LimitsWire    `cbor:"4,keyasint,omitempty"`

	Organisations []OrganisationWire `cbor:"5,keyasint,omitempty"`
}

// RouteWire is a route with its request policy.
type RouteWire struct {
	Name            string       `cbor:"1,keyasint,omitempty"`
	Host            string       `cbor:"2,keyasint,omitempty"`
	Prefix          string       `cbor:"3,keyasint,omitempty"`
	Idempotent      bool         `cbor:"4,keyasint,omitempty"`
	AllShards       bool         `cbor:"5,keyasint,omitempty"`
	Targets         []TargetWire `cbor:"6,keyasint,omitempty"`
	TimeoutMS       int64        `cbor:"7,keyasint,omitempty"`
	ObjectiveMS     int64        `cbor:"8,keyasint,omitempty"`
	MaxAttempts     int          `cbor:"9,keyasint,omitempty"`
	Priority        int          `cbor:"10,keyasint,omitempty"`
	MinSuccessShare float64      `cbor:"11,keyasint,omitempty"`
	TopCount        int          `cbor:"12,keyasint,omitempty"`
	Public          bool         `cbor:"13,keyasint,omitempty"`
}

// TargetWire is one weighted target of a route.
type TargetWire struct {
	Weight   float64  `cbor:"1,keyasint,omitempty"`
	Services []string `cbor:"2,keyasint,omitempty"`
}

// ServiceWire is a service with the limits of its searchers.
type ServiceWire struct {
	Name          string  `cbor:"1,keyasint,omitempty"`
	ConnLimit     int     `cbor:"2,keyasint,omitempty"`
	ColdPerSecond float64 `cbor:"3,keyasint,omitempty"` // requests that a cold searcher tolerates
	ColdStartMS   int64   `cbor:"4,keyasint,omitempty"`
}

// LimitsWire limits the size and duration of callers' requests.
type LimitsWire struct {
	HeaderBytes     int   `cbor:"1,keyasint,omitempty"`
	BodyBytes       int   `cbor:"2,keyasint,omitempty"`
	HeaderTimeoutMS int64 `cbor:"3,keyasint,omitempty"`
	IdleTimeoutMS   int64 `cbor:"4,keyasint,omitempty"`
}

// TableTo converts a table to its wire form.
func TableTo(t *grroutes.Table) *TableWire {
	w := &TableWire{Version: uint64(t.Version), Limits: LimitsWire{
		HeaderBytes: t.Limits.HeaderBytes, BodyBytes: t.Limits.BodyBytes,
		HeaderTimeoutMS: int64(t.Limits.HeaderTimeout), IdleTimeoutMS: int64(t.Limits.IdleTimeout),
	}}
	for i := range t.Routes {
		w.Routes = append(w.Routes, routeTo(&t.Routes[i]))
	}
	for _, s := range t.Services {
		w.Services = append(w.Services, ServiceWire{string(s.Name), s.ConnLimit, s.ColdPerSecond, int64(s.ColdStart)})
	}
	for i := range t.Organisations {
		w.Organisations = append(w.Organisations, organisationTo(&t.Organisations[i]))
	}
	return w
}

// TableFrom converts a table from its wire form and indexes it.
func TableFrom(w *TableWire) *grroutes.Table {
	t := &grroutes.Table{Version: grroutes.Version(w.Version), Limits: grroutes.Limits{
		HeaderBytes: w.Limits.HeaderBytes, BodyBytes: w.Limits.BodyBytes,
		HeaderTimeout: grclock.Millis(w.Limits.HeaderTimeoutMS), IdleTimeout: grclock.Millis(w.Limits.IdleTimeoutMS),
	}}
	for i := range w.Routes {
		t.Routes = append(t.Routes, RouteFrom(&w.Routes[i]))
	}
	for _, s := range w.Services {
		t.Services = append(t.Services, grroutes.Service{
			Name: grident.Service(s.Name), ConnLimit: s.ConnLimit, ColdPerSecond: validRate(s.ColdPerSecond), ColdStart: grclock.Millis(max(s.ColdStartMS, 0)),
		})
	}
	for i := range w.Organisations {
		t.Organisations = append(t.Organisations, organisationFrom(&w.Organisations[i]))
	}
	t.BuildIndex()
	return t
}

// RouteWithoutTargets converts a route to its wire form, without its targets.
func RouteWithoutTargets(r *grroutes.Route) RouteWire {
	return RouteWire{
		Name: r.Name, Host: r.Host, Prefix: r.PathPrefix, Idempotent: r.Idempotent, AllShards: r.FanOut,
		TimeoutMS: int64(r.Timeout), ObjectiveMS: int64(r.LatencyObjective),
		MaxAttempts: r.MaxAttempts, Priority: r.Priority, MinSuccessShare: r.MinSuccessShare, TopCount: r.TopCount,
		Public: r.Public,
	}
}

func routeTo(r *grroutes.Route) RouteWire {
	w := RouteWithoutTargets(r)
	for _, target := range r.Targets {
		w.Targets = append(w.Targets, TargetWire{target.Weight, namesOf(target.Services)})
	}
	return w
}

// RouteFrom converts a route from its wire form.
func RouteFrom(w *RouteWire) grroutes.Route {
	r := grroutes.Route{
		Name: w.Name, Host: w.Host, PathPrefix: w.Prefix, Idempotent: w.Idempotent, FanOut: w.AllShards,
		Timeout: grclock.Millis(w.TimeoutMS), LatencyObjective: grclock.Millis(w.ObjectiveMS),
		MaxAttempts: w.MaxAttempts, Priority: w.Priority, MinSuccessShare: w.MinSuccessShare, TopCount: w.TopCount,
		Public: w.Public,
	}
	for _, target := range w.Targets {
		r.Targets = append(r.Targets, grroutes.Target{Weight: target.Weight, Services: servicesOf(target.Services)})
	}
	return r
}

func namesOf(services []grident.Service) []string {
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = string(s)
	}
	return names
}

func servicesOf(names []string) []grident.Service {
	services := make([]grident.Service, len(names))
	for i, n := range names {
		services[i] = grident.Service(n)
	}
	return services
}
