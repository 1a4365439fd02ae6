package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Figures of the case path.
const (
	pathRequests = 40
	pathTimeout  = 1500 * time.Millisecond
)

// path: clients name bale tickets by farm and number, with a vertical bar between them.
func path(w *world, trouble bool) int {
	for k := range 2 {
		s := &searcher{id: "i-" + randomHex(4), service: "tanaoroshi", zone: zones[k], slots: 8, queue: 16}
		if err := w.startSearcher(s); err != nil {
			return w.failed(err)
		}
	}
	w.setConfig(7,
		[]route{{
			"name": "r-1", "host": "pupu76.example", "path_prefix": "/timi402/", "kind": "safe", "timeout_ms": pathTimeout.Milliseconds(),
			"target_latency_ms": 400, "priority": 2, "service": "tanaoroshi", "max_attempts": 2,
		}},
		[]map[string]any{service("tanaoroshi", 100)}, nil)
	if err := w.addInstances(2); err != nil {
		return w.failed(err)
	}
	if err := w.startInstances(w.instances...); err != nil {
		return w.failed(err)
	}
	time.Sleep(5 * time.Second)
	sent := make(map[string]string)
	for n := range pathRequests {
		separator := "%7C"
		if trouble {
			separator = "|"
		}
		target := fmt.Sprintf("/timi402/farm%d%sbale%d?detail=1", n, separator, n)
		id := randomHex(8)
		sent[id] = target
		status, err := get(w.instances[n%2].front, target, id)
		w.note("sent %s id %s to %s; answer %d %v", target, id, w.instances[n%2].front, status, err)
	}
	changed := 0
	for _, r := range w.runs {
		w.note("run by %s: id %s, %s %s", r.searcher, r.id, r.method, r.target)
		if r.target != sent[r.id] {
			changed++
		}
	}
	if len(w.runs) == 0 {
		return w.failed(fmt.Errorf("no request has run"))
	}
	w.result("%d of %d requests ran with another path than the client's", changed, len(w.runs))
	if changed > 0 {
		return broken
	}
	return held
}

// get sends a request with the target as it is; net/http would encode it.
func get(to, target, id string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * pathTimeout)); err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: pupu76.example\r\nX-Request-Id: %s\r\nX-Timeout-Remaining: %d\r\n\r\n", target, id, pathTimeout.Milliseconds())
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
