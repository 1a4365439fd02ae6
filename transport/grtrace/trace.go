// Package grtrace sets up OpenTelemetry tracing: a span for each hop of a request, with
// the trace context propagated in HTTP headers and in messages between instances.
//
//	stop, err := grtrace.Setup(ctx, grtrace.ExporterConfig{Kind: "stdout"}, "entry-1")
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

	"geraniumrouter/state/grident"
)

// ExporterConfig configures where spans are exported to. The zero value discards them.
type ExporterConfig struct {
	Kind    string          // "none", "stdout" or "otlp"
	Address grident.Address // address of the collector, for "otlp"
}

// ExporterError reports an unknown exporter kind.
type ExporterError struct{ Kind string }

// Error implements error.
func (e *ExporterError) Error() string { return fmt.Sprintf("trace: unknown exporter %q", e.Kind) }

const serviceName = "geraniumrouter"

var propagator = propagation.TraceContext{}

// Setup installs a global tracer provider that sends spans to the exporter. Calling stop
// flushes the remaining spans and stops it.
func Setup(ctx context.Context, config ExporterConfig, instance grident.InstanceID) (stop func(context.Context) error, err error) {
	var exporter sdktrace.SpanExporter
	switch config.Kind {
	case "", "none":
		return func(context.Context) error { return nil }, nil
	case "stdout":
		exporter, err = stdouttrace.New()
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(string(config.Address)), otlptracehttp.WithInsecure())
	default:
		err = &ExporterError{Kind: config.Kind}
	}
	if err != nil {
		return nil, err
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", serviceName),
		attribute.String("service.instance.id", string(instance)),
	)
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(res))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// Start starts a span for a hop of a request. The caller must end it.
func Start(ctx context.Context, hop string) (context.Context, trace.Span) {
	return otel.Tracer(serviceName).Start(ctx, hop)
}

// InjectMap returns the trace context as a map, for a message without HTTP headers.
func InjectMap(ctx context.Context) map[string]string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier
}

// ExtractMap returns ctx with the trace context from a message, as returned by
// InjectMap.
func ExtractMap(ctx context.Context, from map[string]string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier(from))
}

// Inject adds the trace context to the headers of a request.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Extract returns ctx with the trace context from the headers of a request.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}
