package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// steadily calls do every interval for each instance until the time is over, and waits for the
// calls to end.
func (d *deployment) steadily(total, interval time.Duration, do func(f *front, n int)) {
	var calls sync.WaitGroup
	for i, f := range d.fronts {
		calls.Go(func() {
			time.Sleep(time.Duration(i) * interval / time.Duration(len(d.fronts)))
			for n, end := 0, time.Now().Add(total); time.Now().Before(end); n++ {
				calls.Go(func() { do(f, n) })
				time.Sleep(interval)
			}
		})
	}
	calls.Wait()
}

// inShare chooses two of five requests: less than the 0.45 that `srv_grey` has at most on the site.
func inShare(n int) bool { return n%5 == 1 || n%5 == 3 }

// drainTimeout is the bound drain_timeout_ms of the settings.
const drainTimeout = 3000 * time.Millisecond

// leaving breaks DRAIN: a searcher that leaves says so in its answers while the store is down,
// and an instance that has passed such answers on still sends to it after drain_timeout_ms.
func leaving(d *deployment, trouble bool) (string, error) {
	searchers, err := d.smallService("safe", 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	leaver := searchers[0]
	type seen struct {
		mu     sync.Mutex
		passed map[string]time.Time // by instance: first answer with Server-Leaving that it passed on
		sent   map[string]time.Time // by request
		front  map[string]string    // by request
	}
	s := seen{passed: map[string]time.Time{}, sent: map[string]time.Time{}, front: map[string]string{}}
	var late []string
	leaver.handle = func(_ http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		s.mu.Lock()
		defer s.mu.Unlock()
		passed, told := s.passed[s.front[id]]
		if told && s.sent[id].Sub(passed) > drainTimeout {
			late = append(late, id)
			d.note("%s gets %s, sent %d ms after %s had passed on an answer with Server-Leaving", leaver.id, id, s.sent[id].Sub(passed).Milliseconds(), s.front[id])
		}
		return false
	}
	go func() {
		time.Sleep(2 * time.Second)
		if trouble {
			d.store.set(storeResets)
			d.note("the store resets all connections")
			time.AfterFunc(4500*time.Millisecond, func() {
				d.store.set(storeServes)
				d.note("the store is back")
			})
		}
		leaver.leave()
	}()
	d.steadily(9*time.Second, 50*time.Millisecond, func(f *front, n int) {
		id := fmt.Sprintf("%s-%d", f.name, n)
		s.mu.Lock()
		s.sent[id], s.front[id] = time.Now(), f.name
		s.mu.Unlock()
		a := send(f.callers, http.MethodGet, "/timi402/2f", id, 6*time.Second, "")
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, told := s.passed[f.name]; !told && a.header.Get("Server-Leaving") != "" {
			s.passed[f.name] = time.Now()
			d.note("%s passes on the first answer with Server-Leaving, to %s", f.name, id)
		}
		if a.status != http.StatusOK {
			d.note("%s: status %d %v", id, a.status, a.failure)
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(late) > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a leaving searcher more than %v after the instance had passed on an answer with Server-Leaving", len(late), drainTimeout), nil
	}
	if len(s.passed) == 0 && trouble {
		return "", fmt.Errorf("no instance passed on an answer with Server-Leaving")
	}
	return "", nil
}

// refused breaks REFUSED: a searcher runs a request that is not idempotent and fails with 503,
// without X-Not-Executed. The instance passes that status on, which promises that it has not run.
func refused(d *deployment, trouble bool) (string, error) {
	searchers, err := d.smallService("unsafe", 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	ran := map[string]string{} // searcher by request
	var failing atomic.Bool
	for i, s := range searchers {
		got := 0
		s.handle = func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("X-Request-Id")
			mu.Lock()
			ran[id] += " " + s.id
			got++
			n := got
			mu.Unlock()
			if i != 0 || !failing.Load() || !inShare(n) {
				return false
			}
			time.Sleep(s.work)
			d.note("%s has run %s and fails with 503, without X-Not-Executed", s.id, id)
			w.Header().Set("X-Server-Signature", signature(s.id, id))
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	if trouble {
		time.AfterFunc(time.Second, func() { failing.Store(true) })
		time.AfterFunc(7500*time.Millisecond, func() { failing.Store(false) })
	}
	var broken []string
	d.steadily(8500*time.Millisecond, 50*time.Millisecond, func(f *front, n int) {
		id := fmt.Sprintf("%s-%d", f.name, n)
		a := send(f.callers, http.MethodPost, "/timi402/2f", id, 6*time.Second, "order")
		mu.Lock()
		defer mu.Unlock()
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
		if promised && ran[id] != "" {
			broken = append(broken, id)
			d.note("client: %s is answered %d by %s, and has run at%s", id, a.status, f.name, ran[id])
		}
	})
	mu.Lock()
	defer mu.Unlock()
	d.note("%d requests ran", len(ran))
	if len(broken) > 0 {
		return fmt.Sprintf("REFUSED: %d requests that are not idempotent were answered as not run, and have run", len(broken)), nil
	}
	return "", nil
}

// path breaks UNASKED: a path with a character that Go's URL parser would escape reaches the
// searcher changed.
func path(d *deployment, trouble bool) (string, error) {
	searchers, err := d.smallService("safe", 5*time.Millisecond)
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	arrived := map[string]string{}
	for _, s := range searchers {
		s.handle = func(_ http.ResponseWriter, r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			arrived[r.Header.Get("X-Request-Id")] = r.RequestURI
			return false
		}
	}
	targets := []string{"/timi402/farm%2F7-A/2f", "/timi402/2f?bale=7|A"}
	if trouble {
		targets = append(targets, "/timi402/farm%2F7|A/2f", "/timi402/7|A")
	}
	var broken []string
	for i, target := range targets {
		id := fmt.Sprintf("request-%d", i)
		a := send(d.fronts[i%len(d.fronts)].callers, http.MethodGet, target, id, 2*time.Second, "")
		mu.Lock()
		got := arrived[id]
		mu.Unlock()
		d.note("client: %s is sent as %s and answered %d; the searcher got %s", id, target, a.status, got)
		if got != "" && got != target {
			broken = append(broken, target+" -> "+got)
		}
	}
	if len(broken) > 0 {
		return "UNASKED: path changed: " + strings.Join(broken, ", "), nil
	}
	return "", nil
}

// retryAfter breaks BUDGET: a searcher answers 503 with Retry-After, and the instance sends to it
// again within that time.
func retryAfter(d *deployment, trouble bool) (string, error) {
	searchers, err := d.smallService("safe", 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	const rest = 4 * time.Second
	var mu sync.Mutex
	var shedding atomic.Bool
	sender := map[string]string{}           // instance by request
	turnedAway := map[string][]time.Time{}  // by instance
	early := map[string]map[time.Time]int{} // by instance and refusal
	most, got := 0, 0
	searchers[0].handle = func(w http.ResponseWriter, r *http.Request) bool {
		id, now := r.Header.Get("X-Request-Id"), time.Now()
		mu.Lock()
		defer mu.Unlock()
		f := sender[id]
		for _, at := range turnedAway[f] {
			if age := now.Sub(at); age > 500*time.Millisecond && age < rest {
				if early[f] == nil {
					early[f] = map[time.Time]int{}
				}
				early[f][at]++
				most = max(most, early[f][at])
				d.note("%s gets %s from %s, %d ms after it answered 503 with Retry-After: 4", searchers[0].id, id, f, age.Milliseconds())
			}
		}
		if got++; !shedding.Load() || !inShare(got) {
			return false
		}
		turnedAway[f] = append(turnedAway[f], now)
		d.note("%s answers 503 with Retry-After: 4 to %s, for %s", searchers[0].id, f, id)
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", "4")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if trouble {
		time.AfterFunc(time.Second, func() { shedding.Store(true) })
		time.AfterFunc(7500*time.Millisecond, func() { shedding.Store(false) })
	}
	d.steadily(8500*time.Millisecond, 50*time.Millisecond, func(f *front, n int) {
		id := fmt.Sprintf("%s-%d", f.name, n)
		mu.Lock()
		sender[id] = f.name
		mu.Unlock()
		send(f.callers, http.MethodGet, "/timi402/2f", id, 6*time.Second, "")
	})
	mu.Lock()
	defer mu.Unlock()
	if most > 2 {
		return fmt.Sprintf("BUDGET: up to %d requests of one instance reached a searcher between 0.5 s after its 503 with Retry-After and the end of that time", most), nil
	}
	return "", nil
}
