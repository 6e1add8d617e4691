// Package admin serves the administration API, health and metrics of a node.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/telemetry"
)

// peerTimeout is the age of the last heartbeat after which a node is reported as silent.
const peerTimeout = 10 * time.Second

// Options are the dependencies of the administration API.
type Options struct {
	// Control state of the node.
	Control *control.Loop
	// Log of the platform.
	Log infra.Log
	// Metrics of the node.
	Metrics *telemetry.Metrics
	// OwnHeartbeat returns the node's own heartbeat.
	OwnHeartbeat func() api.Heartbeat
	// Plan returns the planner's targets and their reasons.
	Plan func() api.PlanReport
	// Refusals returns the counts of the requests that the node refused.
	Refusals func() []api.RefusalCount
	// Ready reports whether the load balancer may send requests to this node.
	Ready func() bool
	// ConfigOffset asks the node at a peer address for the first offset of the config stream that it
	// has not folded.
	ConfigOffset func(ctx context.Context, address string) (int64, error)
}

// API is the administration API, which serves operators.
type API struct{ Options }

// New returns the administration API.
func New(options Options) *API { return &API{options} }

// Routes returns the routes of the operators' listener.
func (a *API) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/livez", Handler: a.live},
		{Method: http.MethodGet, Path: "/readyz", Handler: a.ready},
		{Method: http.MethodGet, Path: "/metrics", Handler: a.Metrics.Handler().ServeHTTP},
		{Method: http.MethodGet, Path: "/admin/v1/status", Handler: a.authenticated(a.status)},
		{Method: http.MethodGet, Path: "/admin/v1/plan", Handler: a.authenticated(a.plan)},
		{Method: http.MethodGet, Path: "/admin/v1/config", Handler: a.authenticated(a.configuration)},
		{Method: http.MethodGet, Path: "/admin/v1/workspaces", Handler: a.authenticated(a.listWorkspaces)},
		{Method: http.MethodGet, Path: "/admin/v1/workspaces/{name}", Handler: a.authenticated(a.getWorkspace)},
		{Method: http.MethodGet, Path: "/admin/v1/services", Handler: a.authenticated(a.listServices)},
		{Method: http.MethodGet, Path: "/admin/v1/services/{name}", Handler: a.authenticated(a.getService)},
		{Method: http.MethodGet, Path: "/admin/v1/routes", Handler: a.authenticated(a.listRoutes)},
		{Method: http.MethodGet, Path: "/admin/v1/routes/{name}", Handler: a.authenticated(a.getRoute)},
		{Method: http.MethodGet, Path: "/admin/v1/upstreams", Handler: a.authenticated(a.listUpstreams)},
		{Method: http.MethodGet, Path: "/admin/v1/upstreams/{name}", Handler: a.authenticated(a.getUpstream)},
		{Method: http.MethodPost, Path: "/admin/v1/patches", Handler: a.authenticated(a.publish)},
		{Method: http.MethodGet, Path: "/admin/v1/patches", Handler: a.authenticated(a.listPatches)},
		{Method: http.MethodGet, Path: "/admin/v1/patches/{id}", Handler: a.authenticated(a.getPatch)},
	}
}

func (a *API) live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *API) plan(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, a.Plan())
}

// authenticated finds the operator by key. Without a configuration there are no
// operators; the first patch is written directly to the log.
func (a *API) authenticated(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		index := a.Control.Snapshot().Index
		if index == nil {
			refusal.New(http.StatusServiceUnavailable, refusal.CodeNoConfiguration,
				"this node has no configuration yet").Write(w, "")
			return
		}
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, ok := index.OperatorOf(key)
		if !ok {
			refusal.New(http.StatusUnauthorized, refusal.CodeInvalidKey,
				"the operator key is missing or unknown").Write(w, "")
			return
		}
		next(w, r, operator)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// waitFor waits until done holds for a snapshot; it returns false if ctx ends first.
func (a *API) waitFor(ctx context.Context, done func(*control.Snapshot) bool) bool {
	for {
		changed := a.Control.Changed()
		if done(a.Control.Snapshot()) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
