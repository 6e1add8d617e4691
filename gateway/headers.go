package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"go.opentelemetry.io/otel/baggage"
	"go.opentelemetry.io/otel/trace"
)

const (
	// internalPrefix starts headers that only nodes may set.
	internalPrefix = "X-Persimmon-"
	// headerKey is the caller's idempotency key.
	headerKey = "Idempotency-Key"
	// headerReplayed marks an answer that is the first one's repeat.
	headerReplayed = "Idempotent-Replayed"
)

// hopByHop are headers that belong to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// notForwarded are headers that end at the node: the caller's key, and traces, which
// must not cross workspaces.
var notForwarded = []string{"Authorization", "Expect", "Traceparent", "Tracestate", "Baggage"}

// forwardedHeader is the caller's header without what belongs to its connection, to
// the node, and what only nodes may set.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	dropHopByHop(out)
	for _, name := range notForwarded {
		out.Del(name)
	}
	dropInternal(out)
	return out
}

// answeredHeader is the upstream's header without what belongs to its connection and
// what only nodes may set.
func answeredHeader(in http.Header) http.Header {
	out := in.Clone()
	dropHopByHop(out)
	dropInternal(out)
	out.Del(headerReplayed)
	return out
}

func dropInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), internalPrefix) {
			delete(header, name)
		}
	}
}

func dropHopByHop(header http.Header) {
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// servicePath returns the escaped path below the service. It is false for a path that
// could lead out of the service.
func servicePath(r *http.Request) (string, bool) {
	parts := strings.SplitN(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/", 3)
	if len(parts) < 3 {
		return "/", true
	}
	escaped := "/" + parts[2]
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		return "", false
	}
	for _, segment := range strings.FieldsFunc(decoded, isSeparator) {
		if segment == "." || segment == ".." {
			return "", false
		}
	}
	return escaped, !strings.ContainsAny(decoded, "\x00\r\n")
}

// ownTrace returns the request's context without the caller's trace and baggage, so
// that a caller can neither join another workspace's trace nor pass anything on.
func ownTrace(r *http.Request) context.Context {
	ctx := baggage.ContextWithoutBaggage(r.Context())
	if r.Header.Get("Traceparent") == "" {
		return ctx
	}
	return trace.ContextWithSpanContext(ctx, trace.SpanContext{})
}

func isSeparator(char rune) bool { return char == '/' || char == '\\' }
