// Package grplatform talks to the platform's object API over HTTP: versioned
// objects with conditional updates and watches, and the list of instances.
//
//	client := &grplatform.Client{Addresses: []grid.Address{"127.0.0.1:7000"}, Clock: clock}
//	object, err := client.Get(ctx, "active_preset")
//
// Calls are limited in rate and counted; each has a deadline.
package grplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Unavailable says that the platform did not answer a call. Sent tells whether
// any byte of the call may have reached it.
type Unavailable struct {
	Call string
	Sent bool
	Err  error
}

// Error describes the failed call.
func (e *Unavailable) Error() string { return fmt.Sprintf("platform: %s: %v", e.Call, e.Err) }

// Unwrap returns what the network said.
func (e *Unavailable) Unwrap() error { return e.Err }

// Refused is an answer of the platform other than success.
type Refused struct {
	Call   string
	Status int
}

// Error describes the answer.
func (e *Refused) Error() string {
	return fmt.Sprintf("platform: %s: status %d", e.Call, e.Status)
}

// Outdated says that the object has another version than the update named.
type Outdated struct{ Current grwire.ObjectWire }

// Error describes the conflict.
func (e *Outdated) Error() string {
	return fmt.Sprintf("platform: %s has version %d", e.Current.Key, e.Current.Version)
}

// Compacted says that a watch asked for changes that the platform no longer
// keeps; the watcher must list again.
type Compacted struct{}

// Error describes the condition.
func (Compacted) Error() string { return "platform: the watched version was compacted" }

// Overrun says that this instance made too many calls.
type Overrun struct{ Call string }

// Error describes the condition.
func (e *Overrun) Error() string { return "platform: too many calls: " + e.Call }

// Limits of the calls of one instance.
const (
	CallTimeout  = 800 * grclock.Millisecond
	WatchTimeout = 10 * grclock.Second
	readsPerSec  = 300      // five instances together stay under the platform's 2,000
	writesPerSec = 100      // five instances together stay within several hundred
	maxReply     = 64 << 20 // bytes
)

// Client calls the platform. Set the exported fields before the first call.
type Client struct {
	Addresses []grid.Address
	Clock     grclock.Clock
	Metrics   metrics.Registry

	once   sync.Once
	http   *http.Client
	mu     sync.Mutex
	turn   int
	reads  allowance
	writes allowance
}

// allowance is the calls of one kind that may be made now.
type allowance struct {
	perSec float64
	left   float64
	filled grclock.Millis
}

// take uses one call, and reports false when none is left.
func (a *allowance) take(now grclock.Millis) bool {
	a.left = min(a.perSec, a.left+float64(now-a.filled)*a.perSec/float64(grclock.Second))
	a.filled = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

// Get reads an object; one that does not exist has version 0.
func (c *Client) Get(ctx context.Context, key string) (grwire.ObjectWire, error) {
	var object grwire.ObjectWire
	err := c.call(ctx, "get", http.MethodGet, grwire.ObjectsPath+"/"+key, nil, CallTimeout, &object)
	return object, err
}

// List reads all objects whose keys start with the prefix.
func (c *Client) List(ctx context.Context, prefix string) (grwire.ListReply, error) {
	var list grwire.ListReply
	path := grwire.ObjectsPath + "?prefix=" + url.QueryEscape(prefix)
	err := c.call(ctx, "list", http.MethodGet, path, nil, CallTimeout, &list)
	return list, err
}

// Watch waits for changes after the version and returns them; the list is
// empty when none came in time.
func (c *Client) Watch(ctx context.Context, after uint64) (grwire.ListReply, error) {
	var list grwire.ListReply
	path := fmt.Sprintf("%s?after=%d&timeout_ms=%d", grwire.WatchPath, after, WatchTimeout)
	err := c.call(ctx, "watch", http.MethodGet, path, nil, WatchTimeout+CallTimeout, &list)
	return list, err
}

// Instances reads the list of live and leaving instances.
func (c *Client) Instances(ctx context.Context) (grwire.InstancesReply, error) {
	var list grwire.InstancesReply
	err := c.call(ctx, "instances", http.MethodGet, grwire.InstancesPath, nil, CallTimeout, &list)
	return list, err
}

// Put writes the object if it still has the version; 0 creates it. It returns
// the new version, or *Outdated, *Unavailable or *Refused.
func (c *Client) Put(ctx context.Context, key string, version grid.Revision, value []byte) (grid.Revision, error) {
	var object grwire.ObjectWire
	path := fmt.Sprintf("%s/%s?if_version=%d", grwire.ObjectsPath, key, version)
	err := c.call(ctx, "put", http.MethodPut, path, value, CallTimeout, &object)
	return grid.Revision(object.Version), err
}

// WriteEndOf maps the error of Put to the end of a conditional update.
func WriteEndOf(err error) grchange.WriteEnd {
	var outdated *Outdated
	var unavailable *Unavailable
	var overrun *Overrun
	switch {
	case err == nil:
		return grchange.Done
	case errors.As(err, &outdated):
		return grchange.Outdated
	case errors.As(err, &overrun):
		return grchange.NotSent
	case errors.As(err, &unavailable) && !unavailable.Sent:
		return grchange.NotSent
	}
	return grchange.Lost
}

func (c *Client) call(ctx context.Context, name, method, path string, body []byte, timeout grclock.Millis, into any) error {
	c.once.Do(c.init)
	if !c.allow(method) {
		c.count(name + "_overrun")
		return &Overrun{Call: name}
	}
	c.count(name)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base()+path, bytes.NewReader(body))
	if err != nil {
		return &Unavailable{Call: name, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.count(name + "_failed")
		c.next()
		return &Unavailable{Call: name, Sent: !dialFailed(err), Err: err}
	}
	defer response.Body.Close()
	return c.read(name, response, into)
}

func (c *Client) read(name string, response *http.Response, into any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return &Unavailable{Call: name, Sent: true, Err: err}
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		outdated := &Outdated{}
		if err := json.Unmarshal(data, &outdated.Current); err != nil {
			return &Unavailable{Call: name, Sent: true, Err: err}
		}
		return outdated
	case http.StatusGone:
		return Compacted{}
	default:
		c.count(name + "_failed")
		c.next()
		return &Refused{Call: name, Status: response.StatusCode}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &Unavailable{Call: name, Sent: true, Err: err}
	}
	return nil
}

// dialFailed reports whether the call failed before a connection stood.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) init() {
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	now := c.Clock.Now()
	c.reads = allowance{perSec: readsPerSec, left: readsPerSec, filled: now}
	c.writes = allowance{perSec: writesPerSec, left: writesPerSec, filled: now}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

func (c *Client) allow(method string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if method == http.MethodPut {
		return c.writes.take(c.Clock.Now())
	}
	return c.reads.take(c.Clock.Now())
}

func (c *Client) base() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return "http://" + string(c.Addresses[c.turn%len(c.Addresses)])
}

func (c *Client) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter("platform_calls_"+name, c.Metrics).Inc(1)
}
