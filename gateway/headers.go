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
	// internalPrefix is the prefix of headers that only nodes may set.
	internalPrefix = "X-Persimmon-"
	// headerKey holds the caller's idempotency key.
	headerKey = "Idempotency-Key"
	// headerReplayed marks an answer that was replayed for a repeated call.
	headerReplayed = "Idempotent-Replayed"
)

// hopByHop lists headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// notForwarded lists headers that are not passed to upstreams: the caller's key, and
// trace headers, which must not cross workspaces.
var notForwarded = []string{"Authorization", "Expect", "Traceparent", "Tracestate", "Baggage"}

// forwardedHeader returns the caller's headers without those of its connection, those
// meant for the node, and those that only nodes may set.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	dropHopByHop(out)
	for _, name := range notForwarded {
		out.Del(name)
	}
	dropInternal(out)
	return out
}

// responseHeader returns the upstream's headers without those of its connection and those
// that only nodes may set.
func responseHeader(in http.Header) http.Header {
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

// servicePath returns the escaped path below the service. It returns false for a path that
// could escape the service's prefix.
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

// withoutCallerTrace returns the request's context without the caller's trace and baggage,
// so that a caller can neither join another workspace's trace nor pass data through it.
func withoutCallerTrace(r *http.Request) context.Context {
	ctx := baggage.ContextWithoutBaggage(r.Context())
	if r.Header.Get("Traceparent") == "" {
		return ctx
	}
	return trace.ContextWithSpanContext(ctx, trace.SpanContext{})
}

func isSeparator(char rune) bool { return char == '/' || char == '\\' }
