// Package grtrace sets up OpenTelemetry traces: a span for each hop, with the
// context carried in HTTP headers and in messages between instances.
//
//	stop, err := grtrace.Setup(ctx, grtrace.Exporter{Kind: "stdout"}, "entry-1")
//	ctx, span := grtrace.Start(ctx, "query")
//	defer span.End()
package grtrace

import (
	"context"
	"fmt"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"geraniumrouter/state/grid"
)

// Exporter says where spans go. The zero value drops them.
type Exporter struct {
	Kind    string       // "none", "stdout" or "otlp"
	Address grid.Address // of the collector, for "otlp"
}

// UnknownExporter says that no exporter has the kind.
type UnknownExporter struct{ Kind string }

// Error describes the fault.
func (e *UnknownExporter) Error() string { return fmt.Sprintf("trace: no exporter %q", e.Kind) }

const name = "geraniumrouter"

var carrier = propagation.TraceContext{}

// Setup sends spans to the exporter until stop is called.
func Setup(ctx context.Context, to Exporter, instance grid.InstanceID) (stop func(context.Context) error, err error) {
	var exporter sdktrace.SpanExporter
	switch to.Kind {
	case "", "none":
		return func(context.Context) error { return nil }, nil
	case "stdout":
		exporter, err = stdouttrace.New()
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(string(to.Address)), otlptracehttp.WithInsecure())
	default:
		err = &UnknownExporter{Kind: to.Kind}
	}
	if err != nil {
		return nil, err
	}
	about := resource.NewSchemaless(
		attribute.String("service.name", name),
		attribute.String("service.instance.id", string(instance)),
	)
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(about))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// Start begins the span of a hop.
func Start(ctx context.Context, hop string) (context.Context, trace.Span) {
	return otel.Tracer(name).Start(ctx, hop)
}

// Carry returns the trace context for a message that has no headers.
func Carry(ctx context.Context) map[string]string {
	carried := propagation.MapCarrier{}
	carrier.Inject(ctx, carried)
	return carried
}

// Carried reads the trace context from a message.
func Carried(ctx context.Context, from map[string]string) context.Context {
	return carrier.Extract(ctx, propagation.MapCarrier(from))
}

// Inject writes the trace context into the headers of a request.
func Inject(ctx context.Context, header http.Header) {
	carrier.Inject(ctx, propagation.HeaderCarrier(header))
}

// Extract reads the trace context from the headers of a request.
func Extract(ctx context.Context, header http.Header) context.Context {
	return carrier.Extract(ctx, propagation.HeaderCarrier(header))
}
