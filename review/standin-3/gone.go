package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case gone.
const (
	goneLimit    = 4                      // connections that a searcher accepts
	goneRate     = 22.5                   // requests per second of all clients
	goneWork     = 90 * time.Millisecond  // of a request at a searcher
	goneSlow     = 12                     // times as long at a slow one
	goneShare    = 0.3                    // of the clients leave
	goneAfter    = 200 * time.Millisecond // half the latency objective
	goneTimeout  = 6 * time.Second
	goneSpell    = 8 * time.Second // of the disruption
	gonePause    = 6 * time.Second
	goneSpells   = 4
	goneLate     = 500 * time.Millisecond // after which a request may not reach a searcher
	goneAFew     = 3
	goneBodySize = 300
)

// gone: clients leave before their deadline while a searcher is slow.
func gone(w *world, trouble bool) int {
	var mu sync.Mutex
	slow := false
	for k := range 2 {
		s := &searcher{id: "i-" + randomHex(4), service: "tanaoroshi", zone: zones[k], slots: 2, queue: 16}
		s.work = func(*http.Request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			work := time.Duration((0.5 + rand.Float64()) * float64(goneWork))
			if slow && k == 0 {
				work *= goneSlow
			}
			return work
		}
		if err := w.startSearcher(s); err != nil {
			return w.failed(err)
		}
	}
	w.setConfig(7,
		[]route{{
			"name": "r-1", "host": "pupu76.example", "path_prefix": "/timi402/", "kind": "unsafe", "timeout_ms": goneTimeout.Milliseconds(),
			"target_latency_ms": 2 * goneAfter.Milliseconds(), "priority": 2, "service": "tanaoroshi", "max_attempts": 2,
		}},
		[]map[string]any{service("tanaoroshi", goneLimit)}, nil)
	if err := w.addInstances(5); err != nil {
		return w.failed(err)
	}
	if err := w.startInstances(w.instances...); err != nil {
		return w.failed(err)
	}
	time.Sleep(8 * time.Second)
	var wait sync.WaitGroup
	leftAt := make(map[string]time.Time)
	through := make(map[string]*instance)
	leaving := false
	stop := make(chan struct{})
	wait.Add(1)
	go func() {
		defer wait.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / goneRate * float64(time.Second))):
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				i := w.instances[rand.Intn(len(w.instances))]
				id := randomHex(8)
				mu.Lock()
				leaves := leaving && rand.Float64() < goneShare
				through[id] = i
				mu.Unlock()
				if at, left := w.post(i, id, leaves); left {
					mu.Lock()
					leftAt[id] = at
					mu.Unlock()
				}
			}()
		}
	}()
	for range goneSpells {
		time.Sleep(gonePause)
		if trouble {
			w.note("a searcher is slow, and clients leave")
			mu.Lock()
			slow, leaving = true, true
			mu.Unlock()
		}
		time.Sleep(goneSpell)
		mu.Lock()
		slow, leaving = false, false
		mu.Unlock()
		w.note("no more")
	}
	time.Sleep(gonePause)
	close(stop)
	wait.Wait()
	late, byInstance := 0, make(map[string]int)
	for _, r := range w.runs {
		at, left := leftAt[r.id]
		if left && r.at.After(at.Add(goneLate)) {
			late++
			byInstance[through[r.id].name]++
			w.note("id %s: the client left %s at %.3f, run by %s at %.3f, over a connection from %s", r.id, through[r.id].name, at.Sub(w.start).Seconds(), r.searcher, r.at.Sub(w.start).Seconds(), r.from)
		}
	}
	if len(w.runs) == 0 {
		return w.failed(fmt.Errorf("no request has run"))
	}
	w.result("run %d; clients that left: %d; run over %v after that: %d, by the instance that the client left: %v", len(w.runs), len(leftAt), goneLate, late, byInstance)
	if late > goneAFew {
		return broken
	}
	return held
}

// post sends a request on a connection of its own. A client that leaves closes it after a time, and
// post returns when.
func (w *world) post(i *instance, id string, leaves bool) (leftAt time.Time, left bool) {
	sent := time.Now()
	status, err := 0, error(nil)
	defer func() {
		w.note("sent %.3f to %s: POST id %s; leaves %v; status %d %v", sent.Sub(w.start).Seconds(), i.name, id, leaves, status, err)
	}()
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		return leftAt, false
	}
	defer conn.Close()
	patience := goneTimeout + time.Second
	if leaves {
		patience = goneAfter
	}
	if err = conn.SetDeadline(sent.Add(patience)); err != nil {
		return leftAt, false
	}
	_, err = fmt.Fprintf(conn, "POST /timi402/2f HTTP/1.1\r\nHost: pupu76.example\r\nX-Request-Id: %s\r\nX-Timeout-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, goneTimeout.Milliseconds(), goneBodySize, make([]byte, goneBodySize))
	if err != nil {
		return leftAt, false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		_ = conn.Close()
		return time.Now(), leaves
	}
	status = response.StatusCode
	return leftAt, false
}
