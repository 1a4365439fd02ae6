package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// clients sends requests as PROTOCOL.md says: it looks up an address, keeps connections
// open, and retries once after a promise that the request has not run, with a new id.
type clients struct {
	host, region string
	directories  []string
	record       *recorder
	http         *http.Client

	mu      sync.Mutex
	addrs   []string
	until   time.Time
	answers map[string]int       // status by request id; 0: no answer
	left    map[string]time.Time // when the client closed its connection before an answer
	started map[string]time.Time // when the request was sent
	group   sync.WaitGroup
}

func newClients(r *recorder, host string, list []*router) *clients {
	c := &clients{host: host, region: "doto", record: r, answers: make(map[string]int), left: make(map[string]time.Time), started: make(map[string]time.Time)}
	for _, n := range list {
		c.directories = append(c.directories, n.directory)
	}
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	return c
}

// lookup returns an address of the system, from a directory or from the last answer.
func (c *clients) lookup() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		for range 3 {
			if c.ask(c.directories[rand.IntN(len(c.directories))]) {
				break
			}
		}
	}
	if len(c.addrs) == 0 {
		return "", errors.New("no address is known")
	}
	return c.addrs[rand.IntN(len(c.addrs))], nil
}

func (c *clients) ask(directory string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/lookup?name="+c.host+"&region="+c.region+"&zone=obihiro", nil)
	if err != nil {
		return false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var found struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if json.NewDecoder(response.Body).Decode(&found) != nil || len(found.Addrs) == 0 {
		return false
	}
	c.addrs, c.until = found.Addrs, time.Now().Add(time.Duration(min(found.TTL, 5)*float64(time.Second)))
	return true
}

// send sends one request and, after a promise, a second attempt. With leave above 0, the
// client closes its connection after that time and doesn't come back.
func (c *clients) send(method, path string, body []byte, deadline, leave time.Duration) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		end := time.Now().Add(deadline)
		for range 2 {
			status, wait := c.attempt(method, path, body, end, leave)
			if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests || time.Now().Add(wait).After(end) {
				return
			}
			time.Sleep(wait)
		}
	}()
}

func (c *clients) attempt(method, path string, body []byte, end time.Time, leave time.Duration) (int, time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	address, err := c.lookup()
	if err != nil {
		c.record.line("client", "%s not sent: %v", id, err)
		return 0, 0
	}
	until := end
	if leave > 0 {
		until = time.Now().Add(leave)
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, 0
	}
	request.Host = c.host
	left := time.Until(end)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Timeout-Remaining", strconv.FormatInt(left.Milliseconds(), 10))
	request.GetBody = nil
	c.record.line("client", "sends %s to %s", id, address)
	c.mu.Lock()
	c.started[id] = time.Now()
	c.mu.Unlock()
	response, err := c.http.Do(request)
	if err != nil {
		c.record.line("client", "%s ends without an answer: %v", id, err)
		c.note(id, 0)
		if leave > 0 {
			c.mu.Lock()
			c.left[id] = time.Now()
			c.mu.Unlock()
		}
		return 0, 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		c.record.line("client", "%s ends within its answer: %v", id, err)
		c.note(id, 0)
		return 0, 0
	}
	c.record.line("client", "%s is answered %d, signature %q", id, response.StatusCode, response.Header.Get("X-Server-Signature"))
	c.note(id, response.StatusCode)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		after = 0
	}
	return response.StatusCode, min(time.Duration(after*float64(time.Second)), left/3)
}

func (c *clients) note(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = status
}
