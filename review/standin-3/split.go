package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of the case split.
const (
	splitRate   = 60 // requests per second that the tenant may send
	splitBurst  = 20
	splitDemand = 100.0           // requests per second of the clients of each of two zones
	splitWindow = 5 * time.Second // quota_window_s
	splitLate   = 5 * time.Second // from the call whose answer is lost to its execution
	restartTime = 100 * time.Millisecond
	stableTime  = 6 * time.Second // between two steps of the planned work
	judgedTime  = 16 * time.Second
)

// prepareQuota prepares a deployment with one tenant and n instances, whose seeds are gone.
func (w *world) prepareQuota(n int) error {
	for k := range 4 {
		s := &searcher{id: "i-" + randomHex(4), service: "tanaoroshi", zone: zones[k], slots: 32, queue: 64}
		if err := w.startSearcher(s); err != nil {
			return err
		}
	}
	w.setConfig(7,
		[]route{{
			"name": "r-1", "host": "pupu76.example", "path_prefix": "/timi402/", "kind": "safe", "timeout_ms": 1500,
			"target_latency_ms": 400, "priority": 1, "service": "tanaoroshi", "max_attempts": 2,
		}},
		[]map[string]any{service("tanaoroshi", 100)},
		[]map[string]any{{"name": "growers", "api_keys": []string{"key-1"}, "rate_per_s": splitRate, "burst": splitBurst}})
	if err := w.addInstances(n); err != nil {
		return err
	}
	stale, err := freeAddresses(w.instances[0].ip, 3) // of machines that were replaced before
	for _, i := range w.instances {
		i.seeds = stale
	}
	return err
}

// judge lets clients send requests of the tenant, plays the steps, and applies the rule.
func (w *world) judge(callers func(c *client) []*caller, steps func() error) int {
	c := w.newClient("pupu76.example")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wait sync.WaitGroup
	for _, l := range callers(c) {
		l.sendAll(ctx, &wait, splitDemand, "/timi402/2f", "key-1", 1500*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if err := steps(); err != nil {
		return w.failed(err)
	}
	w.noteRegistered()
	time.Sleep(judgedTime)
	cancel()
	wait.Wait()
	w.noteRequests(c)
	return w.checkQuota(c)
}

// split: of two instances the first is restarted and the second replaced by a third. The store
// loses the answer to one call of the first, which it executes seconds later.
func split(w *world, trouble bool) int {
	if err := w.prepareQuota(3); err != nil {
		return w.failed(err)
	}
	first, second, third := w.instances[0], w.instances[1], w.instances[2]
	third.zone = second.zone
	w.store.loseRemoval(w, first.name, splitLate, trouble)
	if err := w.startInstances(first, second); err != nil {
		return w.failed(err)
	}
	time.Sleep(stableTime)

	return w.judge(func(c *client) []*caller {
		return []*caller{
			c.newCaller(first.zone, first.directory, second.directory, third.directory),
			c.newCaller(second.zone, second.directory, third.directory, first.directory),
		}
	}, func() error {
		if err := first.replaceBy(first); err != nil {
			return err
		}
		time.Sleep(stableTime)
		w.noteRegistered()
		if err := second.replaceBy(third); err != nil {
			return err
		}
		time.Sleep(stableTime)
		return nil
	})
}

// replaceBy ends the process as planned, and starts another one.
func (i *instance) replaceBy(other *instance) error {
	i.signal(syscall.SIGTERM)
	<-i.done
	time.Sleep(restartTime)
	return i.world.startInstances(other)
}

// checkQuota applies the rule QUOTA: requests that are both sent and run within a window.
func (w *world) checkQuota(c *client) int {
	bound := (splitRate*splitWindow.Seconds()+splitBurst)*1.1 + 20
	ranAt := make(map[string]time.Time)
	for _, r := range w.runs {
		if at, ran := ranAt[r.id]; r.tenant == "growers" && (!ran || r.at.Before(at)) {
			ranAt[r.id] = r.at
		}
	}
	var ran []*attempt
	for _, a := range c.attempts {
		if _, ok := ranAt[a.id]; ok {
			ran = append(ran, a)
		}
	}
	if len(ran) == 0 {
		return w.failed(fmt.Errorf("no request has run"))
	}
	slices.SortFunc(ran, func(a, b *attempt) int { return a.sent.Compare(b.sent) })
	worst, from := 0, time.Time{}
	for i, first := range ran {
		n, end := 0, first.sent.Add(splitWindow)
		for _, a := range ran[i:] {
			if a.sent.After(end) {
				break
			}
			if !ranAt[a.id].After(end) {
				n++
			}
		}
		if n > worst {
			worst, from = n, first.sent
		}
	}
	w.result("sent %d, run %d; most within %v: %d, from %.1f s on; %.0f are allowed", len(c.attempts), len(ran), splitWindow, worst, from.Sub(w.start).Seconds(), bound)
	if float64(worst) > bound {
		return broken
	}
	return held
}
