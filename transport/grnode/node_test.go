package grnode

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grclient"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grhttp"
	"geraniumrouter/transport/grpeer"
)

// queryStub answers queries without starting spans.
type queryStub struct{ grhttp.CallerService }

func (queryStub) Query(context.Context, grwire.QueryRequest) grwire.Answer {
	return grwire.Answer{Outcome: "done"}
}

// TestTracePropagation guards against spans that lose their parent on the way: the spans of a
// caller and its entry must share a trace over HTTP, and so must those of an entry and
// its peer over net/rpc.
func TestTracePropagation(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))
	group := grgroup.New(context.Background())
	defer group.Stop()
	callers, peers := listen(t), listen(t)
	server := &grhttp.Server{Handler: grhttp.CallerHandler(queryStub{})}
	group.Start(func(ctx context.Context) error { return server.Serve(ctx, callers) })
	service := &grpeer.Service{OnStatus: func() grwire.InstanceStatus { return grwire.InstanceStatus{Instance: "b"} }}
	group.Start(func(ctx context.Context) error { return service.Serve(ctx, peers) })

	client := &grclient.Client{Clock: grclock.System()}
	var answer grwire.Answer
	request := grwire.QueryRequest{Collection: "c", DeadlineMS: 100}
	if _, err := client.Call(context.Background(), address(callers), http.MethodPost, grwire.QueryPath, grclock.Minute, request, &answer); err != nil {
		t.Fatal(err)
	}
	peerClient := &grpeer.Client{Group: group, Clock: client.Clock}
	if status, err := peerClient.Status(context.Background(), address(peers)); err != nil || status.Instance != "b" {
		t.Fatal(status, err)
	}
	traces := tracesOf(recorder, 4)
	if traces["caller"] == "" || traces["caller"] != traces["query"] {
		t.Errorf("spans of caller and entry have different or missing trace ids: %v", traces)
	}
	if traces["peer"] == "" || traces["peer"] != traces["status"] {
		t.Errorf("spans of entry and peer have different or missing trace ids: %v", traces)
	}
}

// tracesOf returns the trace id of each span by name. It waits until the given number of
// spans has ended, since a span ends slightly after its answer.
func tracesOf(recorder *tracetest.SpanRecorder, spans int) map[string]string {
	traces := make(map[string]string)
	for end := time.Now().Add(20 * time.Second); len(traces) < spans && time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, span := range recorder.Ended() {
			traces[span.Name()] = span.SpanContext().TraceID().String()
		}
	}
	return traces
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func address(l net.Listener) grident.Address { return grident.Address(l.Addr().String()) }
