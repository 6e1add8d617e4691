package gateway

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/idempotency"
	"github.com/persimmonline/persimmonline/refusal"
)

// defaultServiceTimeout bounds an attempt at a plain service whose operation has no timeout.
const defaultServiceTimeout = 10 * time.Second

// serviceCall is one call to a plain service.
type serviceCall struct {
	id        string
	workspace string
	service   string
	// path below the service, escaped.
	path      string
	query     string
	method    string
	header    http.Header
	body      []byte
	route     api.Route
	operation api.Operation
}

// timeout returns the maximum duration of one attempt.
func (c *serviceCall) timeout() time.Duration {
	if c.operation.TimeoutMS > 0 {
		return time.Duration(c.operation.TimeoutMS) * time.Millisecond
	}
	return defaultServiceTimeout
}

// fingerprint returns the digest that two calls with the same key must share.
func (c *serviceCall) fingerprint() string {
	return idempotency.Fingerprint(c.service, c.method, c.path, c.query, c.body)
}

// serviceResult is an answer or a refusal.
type serviceResult struct {
	answer   *api.ServiceAnswer
	refused  *refusal.Refusal
	replayed bool
}

// service serves /services/{service}/...
func (g *Gateway) service(w http.ResponseWriter, r *http.Request, who caller) {
	path, inside := servicePath(r)
	if !inside {
		g.refuse(w, "", refusal.InvalidField("path", "the path must not have . or .. segments or control characters"))
		return
	}
	c, refused := g.newServiceCall(who, r.PathValue("service"), r.Method, path, r.URL.RawQuery)
	if refused != nil {
		g.refuse(w, "", refused)
		return
	}
	body, refused := g.readBody(w, r)
	if refused != nil {
		g.refuse(w, c.id, refused)
		return
	}
	c.body = body
	c.header = forwardedHeader(r.Header)
	release, refused := g.admitWorkspace(c.workspace, 0)
	if refused != nil {
		g.refuse(w, c.id, refused)
		return
	}
	defer release()
	done, refused := g.admitService(r.Context(), c)
	if refused != nil {
		g.refuse(w, c.id, refused)
		return
	}
	defer done()
	started := time.Now()
	result := g.callService(withoutCallerTrace(r), c, r.Header.Values(headerKey))
	g.writeServiceResult(w, c, result, time.Since(started))
}

// newServiceCall checks that the workspace may call the service and returns the call.
func (g *Gateway) newServiceCall(who caller, name, method, path, query string) (*serviceCall, *refusal.Refusal) {
	route, routed := who.index.Route(who.workspace, name)
	definition, exists := who.index.Service(name)
	if !routed || !exists || definition.Kind != api.ServiceKindPlain {
		return nil, refusal.New(http.StatusNotFound, refusal.CodeNotFound,
			"service %q does not exist or this workspace has no route to it", name)
	}
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, refusal.InvalidField("path", "the path is not escaped well")
	}
	return &serviceCall{
		id:        g.newRequestID(g.Settings.NodeID, g.Incarnation),
		workspace: who.workspace,
		service:   name,
		path:      path,
		query:     query,
		method:    method,
		route:     route,
		operation: config.OperationOf(definition, method, decoded),
	}, nil
}

// callService dispatches a call by its operation and idempotency key.
func (g *Gateway) callService(ctx context.Context, c *serviceCall, keys []string) serviceResult {
	g.countRequest()
	if c.operation.Repeatable {
		return g.callRepeatable(ctx, c)
	}
	if len(keys) == 0 {
		return g.runDetached(ctx, func(ctx context.Context) serviceResult { return g.sendOnce(ctx, c) })
	}
	if len(keys) > 1 {
		return serviceResult{refused: refusal.InvalidField(headerKey, "%s must be given once", headerKey)}
	}
	if problem := idempotency.CheckKey(keys[0], time.Now()); problem != "" {
		return serviceResult{refused: refusal.InvalidField(headerKey, "%s %s", headerKey, problem)}
	}
	if isOperation(keys[0]) {
		return g.callBound(ctx, c, keys[0])
	}
	return g.runDetached(ctx, func(ctx context.Context) serviceResult { return g.callClaimed(ctx, c, keys[0]) })
}

func (g *Gateway) writeServiceResult(w http.ResponseWriter, c *serviceCall, result serviceResult, took time.Duration) {
	if result.refused != nil {
		g.Metrics.Requests.WithLabelValues(c.workspace, c.service, resultRefused).Inc()
		g.refuse(w, c.id, result.refused)
		return
	}
	g.Metrics.FirstToken.WithLabelValues(c.service).Observe(took.Seconds())
	g.Metrics.Requests.WithLabelValues(c.workspace, c.service, resultAnswered).Inc()
	header := w.Header()
	for name, values := range result.answer.Header {
		header[name] = values
	}
	if c.method != http.MethodHead {
		header.Del("Content-Length")
	}
	header.Set(refusal.HeaderRequestID, c.id)
	if result.replayed {
		header.Set(headerReplayed, "true")
	}
	w.WriteHeader(result.answer.Status)
	if len(result.answer.Body) > 0 {
		_, _ = w.Write(result.answer.Body)
	}
}
