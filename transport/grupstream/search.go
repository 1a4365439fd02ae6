package grupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"go.opentelemetry.io/otel/trace"

	"geraniumrouter/coordination/grleaf"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/transport/grtrace"
)

// Search is the exchange of a sub-request in the project's own protocol.
type Search struct {
	Context context.Context // carries the trace
	Asked   grwire.SearchRequest

	span trace.Span
}

// Request returns the search for sending.
func (s *Search) Request(grid.SearcherID, grclock.Millis) (*http.Request, error) {
	var ctx context.Context
	ctx, s.span = grtrace.Start(s.Context, "searcher")
	request, err := newCall(http.MethodPost, "searcher", grwire.SearchPath, grwire.Encode(s.Asked))
	if err == nil {
		grtrace.Inject(ctx, request.Header)
	}
	return request, err
}

// Reply reads the records or the failure.
func (s *Search) Reply(_ *http.Response, body []byte) grleaf.Reply {
	s.span.End()
	var got grwire.SearchReply
	if json.Unmarshal(body, &got) != nil {
		return grleaf.Reply{Kind: grleaf.LostReply}
	}
	return grwire.ReplyFor(&s.Asked, &got)
}

// call is a small call of the project's own protocol whose answer only has to
// be readable.
type call struct {
	method, path string
	address      grid.Address
	body         []byte
	into         any // may be nil
}

// Request returns the call for sending.
func (c *call) Request(grid.SearcherID, grclock.Millis) (*http.Request, error) {
	return newCall(c.method, string(c.address), c.path, c.body)
}

// Reply reads the answer.
func (c *call) Reply(_ *http.Response, body []byte) grleaf.Reply {
	into := c.into
	if into == nil {
		into = &struct{}{}
	}
	if json.Unmarshal(body, into) != nil {
		return grleaf.Reply{Kind: grleaf.LostReply}
	}
	return grleaf.Reply{Kind: grleaf.OK, KeepConn: true}
}

func newCall(method, host, path string, body []byte) (*http.Request, error) {
	return http.NewRequest(method, "http://"+host+path, bytes.NewReader(body))
}
