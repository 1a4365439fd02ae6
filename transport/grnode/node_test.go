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
	"geraniumrouter/state/grid"
	"geraniumrouter/transport/grclient"
	"geraniumrouter/transport/grgroup"
	"geraniumrouter/transport/grhttp"
	"geraniumrouter/transport/grpeer"
)

// traced is a caller service that starts no hop of its own.
type traced struct{ grhttp.CallerService }

func (traced) Query(context.Context, grwire.QueryRequest) grwire.Answer {
	return grwire.Answer{Outcome: "done"}
}

// TestTraces checks that the spans of a caller and an entry, and of an entry and
// its peer, belong to one trace each, over HTTP and over net/rpc.
func TestTraces(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))
	group := grgroup.New(context.Background())
	defer group.Stop()
	callers, peers := listen(t), listen(t)
	server := &grhttp.Server{Handler: grhttp.Callers(traced{})}
	group.Start(func(ctx context.Context) error { return server.Serve(ctx, callers) })
	service := &grpeer.Service{OnStatus: func() grwire.InstanceStatus { return grwire.InstanceStatus{Instance: "b"} }}
	group.Start(func(ctx context.Context) error { return service.Serve(ctx, peers) })

	client := &grclient.Client{Clock: grclock.System()}
	var answer grwire.Answer
	ask := grwire.QueryRequest{Collection: "c", DeadlineMS: 100}
	if _, err := client.Call(context.Background(), address(callers), http.MethodPost, grwire.QueryPath, grclock.Minute, ask, &answer); err != nil {
		t.Fatal(err)
	}
	links := &grpeer.Links{Group: group, Clock: client.Clock}
	if status, err := links.Status(context.Background(), address(peers)); err != nil || status.Instance != "b" {
		t.Fatal(status, err)
	}
	traces := tracesOf(recorder, 4)
	if traces["caller"] == "" || traces["caller"] != traces["query"] {
		t.Errorf("the caller's and the entry's spans are not of one trace: %v", traces)
	}
	if traces["peer"] == "" || traces["peer"] != traces["status"] {
		t.Errorf("the entry's and the peer's spans are not of one trace: %v", traces)
	}
}

// tracesOf waits until the number of spans ended, since a span ends a little
// after its answer, and returns the trace of each.
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

func address(l net.Listener) grid.Address { return grid.Address(l.Addr().String()) }
