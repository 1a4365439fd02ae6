package grupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"go.opentelemetry.io/otel/trace"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grtrace"
)

// Search is the exchange of a sub-request in the native protocol.
type Search struct {
	Context context.Context // carries the trace
	Body    grwire.SearchRequest

	span trace.Span
}

// Request returns the search request and starts its trace span.
func (s *Search) Request(grident.SearcherID, grclock.Millis) (*http.Request, error) {
	var ctx context.Context
	ctx, s.span = grtrace.Start(s.Context, "searcher")
	request, err := newRequest(http.MethodPost, "searcher", grwire.SearchPath, grwire.Encode(s.Body))
	if err == nil {
		grtrace.Inject(ctx, request.Header)
	}
	return request, err
}

// Reply parses the records or the error and ends the trace span.
func (s *Search) Reply(_ *http.Response, body []byte) grdispatch.Reply {
	s.span.End()
	var got grwire.SearchReply
	if json.Unmarshal(body, &got) != nil {
		return grdispatch.Reply{Kind: grdispatch.LostReply}
	}
	return grwire.ReplyFor(&s.Body, &got)
}

// controlCall is a cancellation, load request or health check in the native protocol. Any
// response with valid JSON counts as success.
type controlCall struct {
	method, path string
	address      grident.Address
	body         []byte
	result       any // destination of the JSON response; may be nil
}

// Request returns the call's HTTP request.
func (c *controlCall) Request(grident.SearcherID, grclock.Millis) (*http.Request, error) {
	return newRequest(c.method, string(c.address), c.path, c.body)
}

// Reply parses the response.
func (c *controlCall) Reply(_ *http.Response, body []byte) grdispatch.Reply {
	result := c.result
	if result == nil {
		result = &struct{}{}
	}
	if json.Unmarshal(body, result) != nil {
		return grdispatch.Reply{Kind: grdispatch.LostReply}
	}
	return grdispatch.Reply{Kind: grdispatch.OK, ReusableConn: true}
}

func newRequest(method, host, path string, body []byte) (*http.Request, error) {
	return http.NewRequest(method, "http://"+host+path, bytes.NewReader(body))
}
