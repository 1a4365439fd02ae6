// Package grtable holds the routing table: which requests exist, which services
// answer them and on what terms. A table is never changed once it is made; a
// newer one with a higher version replaces it, and each request keeps the table
// that it arrived under.
//
//	table := &grtable.Table{Version: 7, Routes: routes}
//	table.Index()
//	route := table.Match("search.example", "/tickets/42")
package grtable

import (
	"strings"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Version orders the tables; a later table has a higher one.
type Version uint64

// Target is one of the alternatives that the requests of a route go to.
type Target struct {
	Weight   float64        // share of the requests ÷ sum of the weights of the route
	Services []grid.Service // one, or all shards of an index
}

// Route tells what is done with the requests of a host below a path.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Idempotent  bool   // may run more than once
	AllShards   bool   // every service of the target answers a part
	Targets     []Target
	Timeout     grclock.Millis // longest time to an answer
	Objective   grclock.Millis // time to an answer that is aimed at
	MaxAttempts int            // searchers of one service that a request may be sent to
	Priority    int            // 0 is the most urgent
	MinShare    float64        // least share of the shards in an answer
	Top         int            // records in an answer from all shards
}

// Service is a set of searchers that hold the same.
type Service struct {
	Name      grid.Service
	ConnLimit int // connections to each searcher, over all instances
}

// Limits bound what callers may send; zero fields stand for no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout grclock.Millis // for the header of a request
	IdleTimeout   grclock.Millis // between two requests on a connection
}

// Table is one version of the configuration. Set the exported fields, then
// call Index once.
type Table struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits

	byPath   map[string]map[string]*Route // by host, then prefix
	services map[grid.Service]*Service
}

// Index prepares the look-ups.
func (t *Table) Index() {
	t.byPath = make(map[string]map[string]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		if t.byPath[host] == nil {
			t.byPath[host] = make(map[string]*Route)
		}
		t.byPath[host][r.Prefix] = r
	}
	t.services = make(map[grid.Service]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
}

// Match returns the route of the host with the longest prefix of the path, or
// nil. Its cost grows with the depth of the path, not with the routes.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.byPath[hostName(host)]
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

// ConnLimit returns the connections that each searcher of a service takes, or
// 0 where the table does not name the service.
func (t *Table) ConnLimit(name grid.Service) int {
	if s := t.services[name]; s != nil {
		return s.ConnLimit
	}
	return 0
}

// hostName lowers the host and drops its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
