package main

import (
	"context"
	"encoding/json"
	"math/rand"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// caller is a client that asks directories where to connect, as PROTOCOL.md describes it: those
// nearest to it first, one second for each. It keeps an answer for its time.
type caller struct {
	client      *client
	zone        string
	directories []string // nearest first
	http        http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

func (c *client) newCaller(zone string, directories ...string) *caller {
	return &caller{client: c, zone: zone, directories: directories, http: http.Client{Timeout: time.Second}}
}

// address returns the address for the next request; "" if none is known.
func (l *caller) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.until) {
		l.lookUp()
	}
	if len(l.addresses) == 0 {
		return ""
	}
	return l.addresses[rand.Intn(len(l.addresses))]
}

func (l *caller) lookUp() {
	query := url.Values{"name": {l.client.host}, "region": {"doto"}, "zone": {l.zone}}
	for _, d := range l.directories {
		response, err := l.http.Get("http://" + d + "/lookup?" + query.Encode())
		if err != nil {
			continue
		}
		var found struct {
			Addresses []string `json:"addrs"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&found)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || len(found.Addresses) == 0 {
			continue
		}
		l.addresses, l.until = found.Addresses, time.Now().Add(time.Duration(found.TTL*float64(time.Second)))
		return
	}
}

// sendAll sends requests at the given mean rate until ctx ends, each to an address that the
// directory named.
func (l *caller) sendAll(ctx context.Context, wait *sync.WaitGroup, perSecond float64, path, key string, remaining time.Duration) {
	wait.Add(1)
	go func() {
		defer wait.Done()
		for ctx.Err() == nil {
			if to := l.address(); to != "" {
				wait.Add(1)
				go func() {
					defer wait.Done()
					l.client.send(context.Background(), to, http.MethodGet, path, key, nil, remaining)
				}()
			}
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		}
	}()
}
