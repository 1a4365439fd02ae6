// Package grplatform is a client of the platform's HTTP API: versioned objects with
// conditional updates and watches, and the service registry.
//
//	client := &grplatform.Client{Addresses: []grident.Address{"127.0.0.1:7000"}, Clock: clock}
//	object, err := client.Get(ctx, "active_preset")
//
// Calls are rate-limited and counted, and each has a timeout.
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

	"geraniumrouter/coordination/grcas"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// UnavailableError reports that a call got no valid response from the platform. Sent
// reports whether the platform may have received any byte of the request.
type UnavailableError struct {
	Call string
	Sent bool
	Err  error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("platform: %s: %v", e.Call, e.Err) }

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// StatusError reports an unexpected HTTP status of a response.
type StatusError struct {
	Call   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: %s: status %d", e.Call, e.Status)
}

// ConflictError reports a conflict of a conditional update: the object, returned in
// Current, does not have the expected version.
type ConflictError struct{ Current grwire.ObjectWire }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %s has version %d", e.Current.Key, e.Current.Version)
}

// CompactedError reports that a watch requested changes that the platform no longer
// keeps; the watcher must list the objects again.
type CompactedError struct{}

// Error implements error.
func (CompactedError) Error() string { return "platform: the watched version was compacted" }

// RateLimitError reports that a call was not made because of the client's rate limit.
type RateLimitError struct{ Call string }

// Error implements error.
func (e *RateLimitError) Error() string { return "platform: too many calls: " + e.Call }

// Timeouts, rate limits and the response size limit of one instance.
const (
	CallTimeout  = 800 * grclock.Millisecond
	WatchTimeout = 10 * grclock.Second
	// readsPerSec keeps five instances together below the platform's limit of 2,000 reads
	// per second.
	readsPerSec = 300
	// writesPerSec keeps five instances together within the several hundred writes per
	// second that the platform accepts.
	writesPerSec     = 100
	maxResponseBytes = 64 << 20 // bytes
)

// Client calls the platform. After a failed call it uses the next address. Set the
// exported fields before the first call.
type Client struct {
	Addresses []grident.Address
	Clock     grclock.Clock
	Metrics   metrics.Registry

	once         sync.Once
	http         *http.Client
	mu           sync.Mutex
	addressIndex int
	reads        tokenBucket
	writes       tokenBucket
}

// tokenBucket is a token bucket for calls.
type tokenBucket struct {
	perSec     float64
	tokens     float64
	refilledAt grclock.Millis
}

// take takes one token, or reports false if none is left.
func (b *tokenBucket) take(now grclock.Millis) bool {
	b.tokens = min(b.perSec, b.tokens+float64(now-b.refilledAt)*b.perSec/float64(grclock.Second))
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Get reads an object. An object that does not exist has version 0.
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

// Watch waits up to WatchTimeout for changes after the version and returns them. The list
// is empty if there were none. The error is CompactedError if the version is too old.
func (c *Client) Watch(ctx context.Context, after uint64) (grwire.ListReply, error) {
	var list grwire.ListReply
	path := fmt.Sprintf("%s?after=%d&timeout_ms=%d", grwire.WatchPath, after, WatchTimeout)
	err := c.call(ctx, "watch", http.MethodGet, path, nil, WatchTimeout+CallTimeout, &list)
	return list, err
}

// Instances reads the live and leaving instances from the service registry.
func (c *Client) Instances(ctx context.Context) (grwire.InstancesReply, error) {
	var list grwire.InstancesReply
	err := c.call(ctx, "instances", http.MethodGet, grwire.InstancesPath, nil, CallTimeout, &list)
	return list, err
}

// Put writes the object if it has the given version; version 0 creates the object. It
// returns the new version, or *ConflictError, *UnavailableError, *StatusError or
// *RateLimitError.
func (c *Client) Put(ctx context.Context, key string, version grident.Revision, value []byte) (grident.Revision, error) {
	var object grwire.ObjectWire
	path := fmt.Sprintf("%s/%s?if_version=%d", grwire.ObjectsPath, key, version)
	err := c.call(ctx, "put", http.MethodPut, path, value, CallTimeout, &object)
	return grident.Revision(object.Version), err
}

// WriteOutcomeOf returns the outcome of a conditional update for the error of Put.
func WriteOutcomeOf(err error) grcas.WriteOutcome {
	var conflict *ConflictError
	var unavailable *UnavailableError
	var rateLimited *RateLimitError
	switch {
	case err == nil:
		return grcas.WriteApplied
	case errors.As(err, &conflict):
		return grcas.VersionConflict
	case errors.As(err, &rateLimited):
		return grcas.NotSent
	case errors.As(err, &unavailable) && !unavailable.Sent:
		return grcas.NotSent
	}
	return grcas.WriteUnknown
}

func (c *Client) call(ctx context.Context, name, method, path string, body []byte, timeout grclock.Millis, into any) error {
	c.once.Do(c.init)
	if !c.allow(method) {
		c.count(name + "_overrun")
		return &RateLimitError{Call: name}
	}
	c.count(name)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL()+path, bytes.NewReader(body))
	if err != nil {
		return &UnavailableError{Call: name, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.count(name + "_failed")
		c.useNextAddress()
		return &UnavailableError{Call: name, Sent: !dialFailed(err), Err: err}
	}
	defer response.Body.Close()
	return c.readResponse(name, response, into)
}

func (c *Client) readResponse(name string, response *http.Response, into any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &UnavailableError{Call: name, Sent: true, Err: err}
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		conflict := &ConflictError{}
		if err := json.Unmarshal(data, &conflict.Current); err != nil {
			return &UnavailableError{Call: name, Sent: true, Err: err}
		}
		return conflict
	case http.StatusGone:
		return CompactedError{}
	default:
		c.count(name + "_failed")
		c.useNextAddress()
		return &StatusError{Call: name, Status: response.StatusCode}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &UnavailableError{Call: name, Sent: true, Err: err}
	}
	return nil
}

// dialFailed reports whether the call failed before a connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) init() {
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	now := c.Clock.Now()
	c.reads = tokenBucket{perSec: readsPerSec, tokens: readsPerSec, refilledAt: now}
	c.writes = tokenBucket{perSec: writesPerSec, tokens: writesPerSec, refilledAt: now}
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

func (c *Client) baseURL() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return "http://" + string(c.Addresses[c.addressIndex%len(c.Addresses)])
}

func (c *Client) useNextAddress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addressIndex++
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter("platform_calls_"+name, c.Metrics).Inc(1)
}
