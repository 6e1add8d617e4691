package httpserver_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/rest"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/httpserver"
	"github.com/persimmonline/persimmonline/refusal"
)

const callerTrace = "0af7651916cd43dd8448eb211c80319c"

func TestSpansGoToTheProcessTracerAndContinueTheCallersTrace(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	base := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, base+"/work", nil)
	require.NoError(t, err)
	request.Header.Set("traceparent", "00-"+callerTrace+"-b7ad6b7169203331-01")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Len(t, recorder.Ended(), 1)
	require.Equal(t, callerTrace, recorder.Ended()[0].SpanContext().TraceID().String())
}

func TestPanicIsARefusalOfUnknownEffect(t *testing.T) {
	base := serve(t, func(http.ResponseWriter, *http.Request) { panic("boom") })
	response, err := http.Get(base + "/work")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get(refusal.HeaderRan))
	var body api.ErrorResponse
	require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
	require.Equal(t, refusal.RanUnknown, body.Error.Ran)
}

func TestPortInUseNamesTheServer(t *testing.T) {
	first := newServer(t, "127.0.0.1:0", nil)
	require.NoError(t, first.Start())
	t.Cleanup(func() { _ = first.Shutdown(context.Background()) })
	second := newServer(t, first.Address(), nil)
	require.ErrorContains(t, second.Start(), "listen for test on "+first.Address())
}

func newServer(t *testing.T, address string, handler http.HandlerFunc) *httpserver.Server {
	t.Helper()
	server, err := httpserver.New("test", address, zerolog.Nop(), []rest.Route{{Method: http.MethodGet, Path: "/work", Handler: handler}})
	require.NoError(t, err)
	return server
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := newServer(t, "127.0.0.1:0", handler)
	require.NoError(t, server.Start())
	t.Cleanup(func() { require.NoError(t, server.Shutdown(context.Background())) })
	return "http://" + server.Address()
}
