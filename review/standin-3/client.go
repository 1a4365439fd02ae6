package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// attempt is one request of a client, with its own id.
type attempt struct {
	id, method, target, to string
	sent, ended            time.Time
	status                 int // 0: no complete answer
	signature              string
	body                   []byte
	err                    string
}

// client sends requests on kept connections.
type client struct {
	world *world
	host  string
	http  *http.Client

	mu       sync.Mutex
	attempts []*attempt
}

func (w *world) newClient(host string) *client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64, MaxIdleConns: 512,
	}
	return &client{world: w, host: host, http: &http.Client{Transport: transport}}
}

// send sends one request and records what comes back.
func (c *client) send(ctx context.Context, to, method, path, key string, body []byte, remaining time.Duration) *attempt {
	a := &attempt{id: randomHex(8), method: method, target: path, to: to}
	ctx, cancel := context.WithTimeout(ctx, remaining+time.Second)
	defer cancel()
	var payload io.Reader
	if body != nil {
		payload = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, payload)
	if err != nil {
		a.err = err.Error()
		return a
	}
	request.Host = c.host
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Timeout-Remaining", strconv.FormatInt(remaining.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	a.sent = time.Now()
	response, err := c.http.Do(request)
	if err == nil {
		a.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.signature = response.StatusCode, response.Header.Get("X-Server-Signature")
	}
	a.ended = time.Now()
	if err != nil {
		a.status, a.err = 0, err.Error()
	}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}
