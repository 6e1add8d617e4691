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

// noConfigurationRetryAfter is the retry delay while a node has no configuration.
const noConfigurationRetryAfter = 2 * time.Second

// caller is an authenticated workspace and the configuration version that it is served on.
type caller struct {
	workspace string
	index     *config.Index
}

// authenticated resolves the workspace of a request from its API key.
func (g *Gateway) authenticated(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		index := g.Control.Snapshot().Index
		if index == nil {
			g.refuse(w, "", refusal.New(http.StatusServiceUnavailable, refusal.CodeNoConfiguration,
				"this node has no configuration yet").WithRetryAfter(jittered(noConfigurationRetryAfter)))
			return
		}
		workspace, ok := index.WorkspaceOf(bearer(r))
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			g.refuse(w, "", refusal.New(http.StatusUnauthorized, refusal.CodeInvalidKey,
				"the API key is missing or unknown"))
			return
		}
		// The caller's trace continues here; the workspace attribute identifies its
		// origin, even if two workspaces send the same trace id.
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
