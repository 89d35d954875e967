package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// traceFlushTimeout bounds the delivery of the remaining spans at exit.
const traceFlushTimeout = 2 * time.Second

// StartTracing enables propagation of W3C trace context and, if the settings
// name an OTLP receiver, the export of spans to it. The returned function
// flushes the remaining spans.
func StartTracing(ctx context.Context, set Settings) (func(), error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if set.Trace.OTLP == "" {
		return func() {}, nil
	}
	ex, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(set.Trace.OTLP))
	if err != nil {
		return nil, eris.Wrap(err, "trace")
	}
	rs := resource.NewSchemaless(attribute.String("service.name", "corianderhub"), attribute.String("service.instance.id", set.Name))
	tp := trace.NewTracerProvider(trace.WithBatcher(ex), trace.WithResource(rs))
	otel.SetTracerProvider(tp)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		// Spans that cannot be delivered by then are lost.
		_ = tp.Shutdown(ctx)
	}, nil
}
