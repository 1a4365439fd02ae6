// Package grclient is the client of callers and operators: it looks up the entry
// instances to use, caches that list for its ttl and retries on another entry where that
// is safe.
//
//	client := &grclient.Client{Seeds: []grident.Address{"127.0.0.1:7100"}, Clock: clock}
//	answer, err := client.Query(ctx, grwire.QueryRequest{Collection: "dispatch", DeadlineMS: 200})
package grclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grtrace"
)

// UnreachableError reports that an entry instance gave no valid answer.
type UnreachableError struct {
	Address grident.Address
	Err     error
}

// Error describes the last failure.
func (e *UnreachableError) Error() string { return fmt.Sprintf("entry %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying error of the network or of decoding the answer.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Client calls entry instances. Set the exported fields before the first call.
type Client struct {
	Seeds  []grident.Address // entries to contact first
	Domain grident.FailureDomain
	Clock  grclock.Clock
	Token  string // operators' token; empty for none
	TLS    *tls.Config

	once      sync.Once
	http      *http.Client
	mu        sync.Mutex
	entries   []grident.Address
	expiresAt grclock.Millis
}

// networkAllowance is added to a deadline for the network transfer in both directions.
const networkAllowance = 500 * grclock.Millisecond

// maxAttempts bounds the entries tried for one request.
const maxAttempts = 4

// Query searches a collection. A query is idempotent, so it is retried on another entry
// if one fails.
func (c *Client) Query(ctx context.Context, request grwire.QueryRequest) (grwire.Answer, error) {
	return c.callWithRetry(ctx, grwire.QueryPath, request.DeadlineMS, request)
}

// Request executes a request that is not idempotent. All attempts carry the same request
// id, so that it is executed at most once.
func (c *Client) Request(ctx context.Context, request grwire.OnceRequest) (grwire.Answer, error) {
	return c.callWithRetry(ctx, grwire.RequestPath, request.DeadlineMS, request)
}

// Entries returns the addresses of the entries to use, refreshed when their ttl has
// passed. It returns the seeds if no entry answers.
func (c *Client) Entries(ctx context.Context) []grident.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if now < c.expiresAt {
		return c.entries
	}
	for _, seed := range append(append([]grident.Address{}, c.entries...), c.Seeds...) {
		reply, err := c.FetchEntries(ctx, seed)
		if err != nil || len(reply.Entries) == 0 {
			continue
		}
		c.entries = c.entries[:0]
		for _, e := range reply.Entries {
			c.entries = append(c.entries, grident.Address(e.Address))
		}
		c.expiresAt = now + grclock.Millis(reply.TTLMS)
		return c.entries
	}
	return c.Seeds
}

// FetchEntries requests the list of usable entries from one entry.
func (c *Client) FetchEntries(ctx context.Context, entry grident.Address) (grwire.EntriesReply, error) {
	var reply grwire.EntriesReply
	path := grwire.EntriesPath + "?failure_domain=" + string(c.Domain)
	_, err := c.Call(ctx, entry, http.MethodGet, path, networkAllowance, nil, &reply)
	return reply, err
}

// callWithRetry sends a request to one entry after the other until one accepts it.
func (c *Client) callWithRetry(ctx context.Context, path string, deadlineMS int64, request any) (answer grwire.Answer, err error) {
	entries := c.Entries(ctx)
	for i := range maxAttempts {
		entry := entries[i%len(entries)]
		answer = grwire.Answer{}
		_, err = c.Call(ctx, entry, http.MethodPost, path, grclock.Millis(deadlineMS)+networkAllowance, request, &answer)
		if err == nil && !retryable(&answer) {
			return answer, nil
		}
		c.rotateEntries()
	}
	return answer, err
}

// retryable reports whether another entry may accept a request that this one rejected.
func retryable(a *grwire.Answer) bool {
	code := grerror.Code(a.Code)
	return a.Outcome == "not_run" && (code == grerror.Leaving || code == grerror.NotReady)
}

// rotateEntries expires the cached entries, so that the next call refreshes them,
// starting with another entry.
func (c *Client) rotateEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiresAt = 0
	if len(c.entries) > 1 {
		c.entries = append(c.entries[1:], c.entries[0])
	}
}

// Call makes one HTTP call and decodes the JSON answer, whatever the HTTP status. Errors
// are of type *UnreachableError.
func (c *Client) Call(ctx context.Context, entry grident.Address, method, path string, timeout grclock.Millis, body, answer any) (status int, err error) {
	c.once.Do(c.init)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	ctx, span := grtrace.Start(ctx, "caller")
	defer span.End()
	request, err := http.NewRequestWithContext(ctx, method, c.scheme()+string(entry)+path, bytes.NewReader(grwire.Encode(body)))
	if err != nil {
		return 0, &UnreachableError{entry, err}
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	grtrace.Inject(ctx, request.Header)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, &UnreachableError{entry, err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil {
		err = json.Unmarshal(data, answer)
	}
	if err != nil {
		return response.StatusCode, &UnreachableError{entry, err}
	}
	return response.StatusCode, nil
}

func (c *Client) scheme() string {
	if c.TLS != nil {
		return "https://"
	}
	return "http://"
}

func (c *Client) init() {
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, TLSClientConfig: c.TLS}}
}
