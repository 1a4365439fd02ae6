// Package grclient is what callers and operators use: it asks the system which
// entry instances to use, keeps the answer for its ttl and goes on to another
// entry where that is safe.
//
//	client := &grclient.Client{Seeds: []grid.Address{"127.0.0.1:7100"}, Clock: clock}
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
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
	"geraniumrouter/transport/grtrace"
)

// Unreachable says that no entry instance gave an answer.
type Unreachable struct {
	Address grid.Address
	Err     error
}

// Error describes the last failure.
func (e *Unreachable) Error() string { return fmt.Sprintf("entry %s: %v", e.Address, e.Err) }

// Unwrap returns what the network said.
func (e *Unreachable) Unwrap() error { return e.Err }

// Client calls entry instances. Set the exported fields before the first call.
type Client struct {
	Seeds  []grid.Address // entries to ask first
	Domain grid.FailureDomain
	Clock  grclock.Clock
	Token  string // operators' token
	TLS    *tls.Config

	once    sync.Once
	http    *http.Client
	mu      sync.Mutex
	entries []grid.Address
	until   grclock.Millis
}

// transferTime is added to a deadline for the way there and back.
const transferTime = 500 * grclock.Millisecond

// maxTries bounds the entries asked for one request.
const maxTries = 4

// Query asks for the records of a collection. A query is idempotent, so it
// goes on to another entry when one fails.
func (c *Client) Query(ctx context.Context, ask grwire.QueryRequest) (grwire.Answer, error) {
	return c.try(ctx, grwire.QueryPath, ask.DeadlineMS, ask)
}

// Request runs a request that is not idempotent. Every try carries the same
// request id, so that it runs at most once.
func (c *Client) Request(ctx context.Context, ask grwire.OnceRequest) (grwire.Answer, error) {
	return c.try(ctx, grwire.RequestPath, ask.DeadlineMS, ask)
}

// Entries returns the addresses to use, asked anew after the ttl.
func (c *Client) Entries(ctx context.Context) []grid.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if now < c.until {
		return c.entries
	}
	for _, seed := range append(append([]grid.Address{}, c.entries...), c.Seeds...) {
		reply, err := c.AskEntries(ctx, seed)
		if err != nil || len(reply.Entries) == 0 {
			continue
		}
		c.entries = c.entries[:0]
		for _, e := range reply.Entries {
			c.entries = append(c.entries, grid.Address(e.Address))
		}
		c.until = now + grclock.Millis(reply.TTLMS)
		return c.entries
	}
	return c.Seeds
}

// AskEntries asks one entry which entries to use.
func (c *Client) AskEntries(ctx context.Context, entry grid.Address) (grwire.EntriesReply, error) {
	var reply grwire.EntriesReply
	path := grwire.EntriesPath + "?failure_domain=" + string(c.Domain)
	_, err := c.Call(ctx, entry, http.MethodGet, path, transferTime, nil, &reply)
	return reply, err
}

// try asks one entry after the other until one takes the request.
func (c *Client) try(ctx context.Context, path string, deadline int64, ask any) (answer grwire.Answer, err error) {
	entries := c.Entries(ctx)
	for i := range maxTries {
		entry := entries[i%len(entries)]
		answer = grwire.Answer{}
		_, err = c.Call(ctx, entry, http.MethodPost, path, grclock.Millis(deadline)+transferTime, ask, &answer)
		if err == nil && !goesOn(&answer) {
			return answer, nil
		}
		c.forget()
	}
	return answer, err
}

// goesOn reports whether another entry may take what this one refused.
func goesOn(a *grwire.Answer) bool {
	code := grfault.Code(a.Code)
	return a.Outcome == "not_run" && (code == grfault.Leaving || code == grfault.NotReady)
}

// forget makes the next call ask for entries anew, beginning with another.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = 0
	if len(c.entries) > 1 {
		c.entries = append(c.entries[1:], c.entries[0])
	}
}

// Call makes one HTTP call and reads the answer, whatever its status.
func (c *Client) Call(ctx context.Context, entry grid.Address, method, path string, timeout grclock.Millis, ask, into any) (status int, err error) {
	c.once.Do(c.init)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	ctx, span := grtrace.Start(ctx, "caller")
	defer span.End()
	request, err := http.NewRequestWithContext(ctx, method, c.scheme()+string(entry)+path, bytes.NewReader(grwire.Encode(ask)))
	if err != nil {
		return 0, &Unreachable{entry, err}
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	grtrace.Inject(ctx, request.Header)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, &Unreachable{entry, err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return response.StatusCode, &Unreachable{entry, err}
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
