package gateway

import (
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/refusal"
)

// noConfigurationRetry is when to ask a node again that has no configuration.
const noConfigurationRetry = 2 * time.Second

// caller is who asks, on which version of the configuration.
type caller struct {
	workspace string
	index     *config.Index
}

// authenticated finds the caller's workspace by its API key.
func (g *Gateway) authenticated(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		index := g.Control.Snapshot().Index
		if index == nil {
			g.refuse(w, "", refusal.New(http.StatusServiceUnavailable, refusal.CodeNoConfiguration,
				"this node has no configuration yet").WithRetryAfter(jittered(noConfigurationRetry)))
			return
		}
		workspace, ok := index.WorkspaceOf(bearer(r))
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			g.refuse(w, "", refusal.New(http.StatusUnauthorized, refusal.CodeInvalidKey,
				"the API key is missing or unknown"))
			return
		}
		// The caller's trace goes on here; the workspace tells whose it is, also when
		// two workspaces send the same trace id.
		trace.SpanFromContext(r.Context()).SetAttributes(attribute.String("workspace", workspace))
		next(w, r, caller{workspace: workspace, index: index})
	}
}

func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
