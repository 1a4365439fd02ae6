package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of the case restartDuringScaleIn: searchers as on the kinoko-search-grown sheet,
// the doses of its disruptions, and the bounds of the settings.
const (
	shardCount      = 90
	laterShardCount = 135
	copies          = 3
	scaleInShare    = 0.15
	scaleInTime     = 600 * time.Millisecond // over which the searchers report that they drain
	drainTimeout    = 5 * time.Second
	stability       = 5 * time.Second  // stability_window_ms
	lingerTime      = 11 * time.Second // for which a draining searcher goes on serving
	sweepRate       = 12               // requests a second
	sweepWork       = 4 * time.Millisecond
	sweepDeadline   = 1500 * time.Millisecond
	sweepTime       = 9 * time.Second
)

// restartDuringScaleIn kills all processes of the system at the same moment and starts
// them again, while searchers are emptied to be taken away. The rule DRAIN is checked: no
// request reaches a searcher later than the drain timeout after the store acknowledged
// that it drains.
func restartDuringScaleIn(r *recorder, trouble bool) (int, error) {
	p := &deployment{ledger: newLedger()}
	var err error
	if p.subnet, err = pickSubnet(); err != nil {
		return cannotRun, err
	}
	if p.store, err = startStore(p.subnet + ".200"); err != nil {
		return cannotRun, err
	}
	services, err := p.startShards(r)
	if err != nil {
		return cannotRun, err
	}
	route := map[string]any{
		"name": "r-ghvikkz", "host": "pupu76.example", "path_prefix": "/ziti980/ti38/", "kind": "safe", "timeout_ms": sweepDeadline.Milliseconds(),
		"target_latency_ms": 100, "priority": 1, "fan_out_services": services[:shardCount], "max_attempts": 2, "top_count": 50, "min_success_share": 0.95,
	}
	p.store.write("config", "main", configuration([]any{route}, services...))
	if p.routers, err = prepareRouters(r, p.subnet, p.store.address, routerCount, true); err != nil {
		return cannotRun, err
	}
	if err := p.startRouters(); err != nil {
		return cannotRun, err
	}
	p.clients = newClients(r, "pupu76.example", p.routers)
	time.Sleep(stability + time.Second)
	p.sweep(2 * time.Second)
	if trouble {
		for _, n := range p.routers {
			n.kill()
		}
		time.Sleep(500 * time.Millisecond) // The platform starts them again after a short delay.
	}
	drained := make(chan map[string]time.Time)
	go func() { drained <- p.scaleIn(r) }()
	if trouble {
		if err := p.startRouters(); err != nil {
			return cannotRun, err
		}
	}
	started := time.Now()
	leaving := <-drained
	time.Sleep(time.Until(started.Add(stability)))
	touch := time.Now()
	p.sweep(sweepTime)
	p.clients.group.Wait()
	return judgeDrain(r, p, leaving, touch), nil
}

// startShards starts the searchers of all shards and returns the names of the services.
func (p *deployment) startShards(r *recorder) ([]string, error) {
	var services []string
	for i := range shardCount + laterShardCount {
		services = append(services, fmt.Sprintf("s%03d", i))
		for k := range copies {
			n := &searcher{
				id: fmt.Sprintf("i-%08x", (i*copies+k)*2654435761%(1<<32)), service: services[i], zone: frontZones[1+(i+k)%4], slots: 2, queue: 12,
				work: sweepWork, record: r, ledger: p.ledger, quiet: true,
			}
			if err := n.start(fmt.Sprintf("%s.%d", p.subnet, 100+i%50)); err != nil {
				return nil, err
			}
			p.store.write("servers", n.id, n.entry("ready"))
			p.searchers = append(p.searchers, n)
		}
	}
	return services, nil
}

func (p *deployment) startRouters() error {
	for _, n := range p.routers {
		if err := n.start(); err != nil {
			return err
		}
	}
	return waitReady(p.routers, 15*time.Second)
}

// scaleIn lets a share of the searchers drain, at even intervals, and returns when the
// store acknowledged each.
func (p *deployment) scaleIn(r *recorder) map[string]time.Time {
	leaving := make(map[string]time.Time)
	count := int(scaleInShare * float64(len(p.searchers)))
	step := len(p.searchers) / count
	for i := range count {
		n := p.searchers[i*step]
		leaving[n.id] = p.store.write("servers", n.id, n.entry("draining"))
		r.line(n.id, "reports that it drains, acknowledged")
		time.Sleep(scaleInTime / time.Duration(count))
	}
	return leaving
}

// sweep sends requests to all shards for a time.
func (p *deployment) sweep(length time.Duration) {
	start := time.Now()
	next := start
	for time.Since(start) < length {
		p.clients.send(http.MethodGet, "/ziti980/ti38/2f", nil, sweepDeadline, 0)
		next = next.Add(time.Second / sweepRate)
		time.Sleep(time.Until(next))
	}
}

// judgeDrain counts the requests that clients sent after touch and that reached a searcher
// later than the drain timeout after it had reported that it drains.
func judgeDrain(r *recorder, p *deployment, leaving map[string]time.Time, touch time.Time) int {
	p.clients.mu.Lock()
	defer p.clients.mu.Unlock()
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	late := make(map[string]int)
	total := 0
	for id, list := range p.ledger.arrivals {
		for _, a := range list {
			at, drains := leaving[a.searcher]
			if !drains || p.clients.started[id].Before(touch) || a.at.Sub(at) <= drainTimeout || a.at.Sub(at) > lingerTime {
				continue
			}
			if late[a.searcher] == 0 {
				r.line("DRAIN", "%s reached %s %d ms after it had reported that it drains", id, a.searcher, a.at.Sub(at).Milliseconds())
			}
			late[a.searcher]++
			total++
		}
	}
	byStatus := make(map[int]int)
	for _, status := range p.clients.answers {
		byStatus[status]++
	}
	r.summary("%d client attempts, by status %v; %d searchers reported that they drain; requests that reached one of them over %v later: %d, at %d searchers",
		len(p.clients.answers), byStatus, len(leaving), drainTimeout, total, len(late))
	if total > 0 {
		return broken
	}
	return held
}
