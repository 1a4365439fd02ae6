// Package grroutes defines the routing table, which maps hosts and path prefixes to the
// services that answer the requests and to the limits that apply. A table is immutable
// once it is indexed. It is replaced by one with a higher version, and each request uses
// the table that was current when it arrived.
//
//	table := &grroutes.Table{Version: 7, Routes: routes}
//	table.BuildIndex()
//	route := table.Match("search.example", "/tickets/42")
package grroutes

import (
	"strings"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Version is the version of a table; a later table has a higher version.
type Version uint64

// Target is one of the weighted alternatives to which a route sends its requests.
type Target struct {
	Weight   float64           // relative to the sum of the weights of the route
	Services []grident.Service // a single service, or one for each shard of an index
}

// Route holds the settings for requests to a host below a path prefix.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // starts and ends with a slash
	Idempotent       bool   // requests may run more than once
	FanOut           bool   // every service of the target returns a partial result
	Targets          []Target
	Timeout          grclock.Millis // maximum time to an answer
	LatencyObjective grclock.Millis // target for the time to an answer
	MaxAttempts      int            // maximum number of searchers of one service that a request is sent to
	Priority         int            // 0 is the most urgent
	MinSuccessShare  float64        // minimum fraction of the shards in an answer
	TopCount         int            // maximum number of records in an answer from all shards
	Public           bool           // requests need no key of an organisation
}

// Service is a set of searchers that hold the same data.
type Service struct {
	Name      grident.Service
	ConnLimit int // maximum number of connections to each searcher, in total over all instances

	ColdPerSecond float64        // requests per second that a cold searcher tolerates from all instances together; 0: no limit
	ColdStart     grclock.Millis // how long a searcher is cold after a start
}

// Limits bounds the size and timing of callers' requests. A zero field means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout grclock.Millis // time to read the header of a request
	IdleTimeout   grclock.Millis // idle time between two requests on a connection
}

// Table is one version of the routing configuration. Set the exported fields, then call
// BuildIndex once before use.
type Table struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations lists the organisations that may send requests; if it is empty, requests
	// need no key.
	Organisations []Organisation

	routesByHost map[string]map[string]*Route // by host, then prefix
	services     map[grident.Service]*Service

	organisationsByKey map[KeyDigest]*Organisation
}

// BuildIndex builds the look-up maps used by Match, ConnLimit and OrganisationOf.
func (t *Table) BuildIndex() {
	t.routesByHost = make(map[string]map[string]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = make(map[string]*Route)
		}
		t.routesByHost[host][r.PathPrefix] = r
	}
	t.services = make(map[grident.Service]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	t.indexOrganisations()
}

// Match returns the host's route with the longest prefix that matches the path, or nil.
// The host may include a port. The cost depends on the length of the path, not on the
// number of routes.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.routesByHost[hostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// ConnLimit returns the maximum number of connections to each searcher of a service, in
// total over all instances, or 0 if the service is not in the table.
func (t *Table) ConnLimit(name grident.Service) int {
	if s := t.services[name]; s != nil {
		return s.ConnLimit
	}
	return 0
}

// LimitsCold reports whether the cold searchers of a service get a limited number of requests.
func (t *Table) LimitsCold(name grident.Service) bool {
	s := t.services[name]
	return s != nil && s.ColdPerSecond > 0
}

// hostName returns the host in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
