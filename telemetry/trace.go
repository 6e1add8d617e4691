package telemetry

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Names of the span exporters.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// StartTracing installs the process's tracer provider and the W3C propagator.
// The returned function flushes and stops it. Stdout spans go to w.
func StartTracing(ctx context.Context, exporter, endpoint, process string, w io.Writer) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if exporter == ExporterNone || exporter == "" {
		return func(context.Context) error { return nil }, nil
	}
	spanExporter, err := newExporter(ctx, exporter, endpoint, w)
	if err != nil {
		return nil, fmt.Errorf("start trace exporter %s at %q: %w", exporter, endpoint, err)
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(spanExporter),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, exporter, endpoint string, w io.Writer) (trace.SpanExporter, error) {
	switch exporter {
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	default:
		return nil, fmt.Errorf("unknown exporter %q", exporter)
	}
}
