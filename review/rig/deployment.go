package main

import (
	"fmt"
	"time"
)

// Figures of all deployments: processes, the deadline of requests to one service, and
// stability_window_ms of kinoko-search.
const (
	routerCount = 5
	deadline    = 6 * time.Second
	touchWindow = 4 * time.Second
)

// deployment is a running system with its stand-ins.
type deployment struct {
	subnet    string
	store     *store
	searchers []*searcher
	routers   []*router
	clients   *clients
	ledger    *ledger
}

// unsafeRoute is a route to one service whose requests may run once at most.
var unsafeRoute = map[string]any{
	"name": "r-qmv2937", "host": "pupu76.example", "path_prefix": "/timi402/", "kind": "unsafe", "timeout_ms": deadline.Milliseconds(),
	"target_latency_ms": 400, "priority": 2, "service": "kafi81c", "max_attempts": 2,
}

// startDeployment starts a store, the searchers of one service and the routers, and waits
// until all routers are ready.
func startDeployment(r *recorder, route map[string]any, searchers int, work time.Duration) (*deployment, error) {
	subnet, err := pickSubnet()
	if err != nil {
		return nil, err
	}
	p := &deployment{subnet: subnet, ledger: newLedger()}
	if p.store, err = startStore(subnet + ".200"); err != nil {
		return nil, err
	}
	for i := range searchers {
		n := &searcher{
			id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), service: "kafi81c", zone: frontZones[1+i%4], slots: 2, queue: 12,
			work: work, record: r, ledger: p.ledger,
		}
		if err := n.start(fmt.Sprintf("%s.%d", subnet, 100+i)); err != nil {
			return nil, err
		}
		p.store.write("servers", n.id, n.entry("ready"))
		p.searchers = append(p.searchers, n)
	}
	p.store.write("config", "main", configuration([]any{route}, "kafi81c"))
	if p.routers, err = prepareRouters(r, subnet, p.store.address, routerCount, false); err != nil {
		return nil, err
	}
	for _, n := range p.routers {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := waitReady(p.routers, 15*time.Second); err != nil {
		return nil, err
	}
	p.clients = newClients(r, "pupu76.example", p.routers)
	return p, nil
}

func configuration(routes []any, services ...string) map[string]any {
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "connection_limit": 26, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": 7, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
