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

const traceFlush = 2 * time.Second

// StartTracing passes W3C trace context on, and sends spans to the receiver
// in the settings, if there is one. The function returned flushes them.
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
		ctx, cancel := context.WithTimeout(context.Background(), traceFlush)
		defer cancel()
		// Spans that can't be delivered at the end are lost.
		_ = tp.Shutdown(ctx)
	}, nil
}
