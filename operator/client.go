// Package operator implements the operator's command line: a typed client of the
// administration API, publishing of patches, and human-readable and JSON output.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/memory"
)

const (
	// attemptTimeout bounds one call to one node. It is longer than a node waits to read
	// a published patch back from the log.
	attemptTimeout = 10 * time.Second
	// maxAnswerBytes bounds a response of the administration API.
	maxAnswerBytes = 64 << 20
)

// ErrNoNode means that no node of the list has answered.
var ErrNoNode = errors.New("no node answered")

// RefusedError is the error for a request that the administration API has refused.
type RefusedError struct {
	// Node is the base URL of the node that refused.
	Node string
	// Status is the HTTP status.
	Status int
	// Detail is the error detail of the response.
	Detail api.ErrorDetail
}

// Error implements error; it names the invalid field, if there is one.
func (r *RefusedError) Error() string {
	if r.Detail.Param != nil {
		return fmt.Sprintf("%s refused (%d %s, field %s): %s", r.Node, r.Status, r.Detail.Code, *r.Detail.Param, r.Detail.Message)
	}
	return fmt.Sprintf("%s refused (%d %s): %s", r.Node, r.Status, r.Detail.Code, r.Detail.Message)
}

// Client calls the administration API on the first node that answers.
type Client struct {
	bases   []string
	key     string
	http    *http.Client
	service httpc.Service
}

// NewClient returns a client of the nodes at the base URLs, which it tries in order.
func NewClient(bases []string, key string) *Client {
	httpClient := &http.Client{
		Transport:     netopt.Checked(netopt.Transport()),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	const name = "administration"
	// The client tries each node in turn; a circuit breaker shared by all of them would
	// reject calls to healthy nodes.
	breaker.NoBreakerFor(name)
	trimmed := make([]string, len(bases))
	for i, base := range bases {
		trimmed[i] = strings.TrimSuffix(base, "/")
	}
	return &Client{bases: trimmed, key: key, http: httpClient, service: httpc.NewServiceWithClient(name, httpClient)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns a node's view of the system.
func (c *Client) Status(ctx context.Context) (api.StatusReport, error) {
	return get[api.StatusReport](ctx, c, "/admin/v1/status")
}

// Plan returns the planner's targets and their reasons.
func (c *Client) Plan(ctx context.Context) (api.PlanReport, error) {
	return get[api.PlanReport](ctx, c, "/admin/v1/plan")
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (api.ConfigReport, error) {
	return get[api.ConfigReport](ctx, c, "/admin/v1/config")
}

// Workspaces lists the workspaces.
func (c *Client) Workspaces(ctx context.Context) (api.WorkspaceList, error) {
	return get[api.WorkspaceList](ctx, c, "/admin/v1/workspaces")
}

// Workspace returns one workspace.
func (c *Client) Workspace(ctx context.Context, name string) (api.WorkspaceEntry, error) {
	return get[api.WorkspaceEntry](ctx, c, "/admin/v1/workspaces/"+url.PathEscape(name))
}

// Services lists the services.
func (c *Client) Services(ctx context.Context) (api.ServiceList, error) {
	return get[api.ServiceList](ctx, c, "/admin/v1/services")
}

// Service returns one service.
func (c *Client) Service(ctx context.Context, name string) (api.ServiceEntry, error) {
	return get[api.ServiceEntry](ctx, c, "/admin/v1/services/"+url.PathEscape(name))
}

// Routes lists the routes.
func (c *Client) Routes(ctx context.Context) (api.RouteList, error) {
	return get[api.RouteList](ctx, c, "/admin/v1/routes")
}

// Route returns one route.
func (c *Client) Route(ctx context.Context, name string) (api.RouteEntry, error) {
	return get[api.RouteEntry](ctx, c, "/admin/v1/routes/"+url.PathEscape(name))
}

// Upstreams lists the upstreams.
func (c *Client) Upstreams(ctx context.Context) (api.UpstreamList, error) {
	return get[api.UpstreamList](ctx, c, "/admin/v1/upstreams")
}

// Upstream returns one upstream.
func (c *Client) Upstream(ctx context.Context, name string) (api.UpstreamStatus, error) {
	return get[api.UpstreamStatus](ctx, c, "/admin/v1/upstreams/"+url.PathEscape(name))
}

// Patches lists recent verdicts.
func (c *Client) Patches(ctx context.Context) (api.PatchList, error) {
	return get[api.PatchList](ctx, c, "/admin/v1/patches")
}

// Patch returns the verdict on a patch and where it is in force.
func (c *Client) Patch(ctx context.Context, id string) (api.PatchResult, error) {
	return get[api.PatchResult](ctx, c, "/admin/v1/patches/"+url.PathEscape(id))
}

// AwaitPatch is like Patch, but the node first waits up to its own limit for the patch
// to be in force everywhere.
func (c *Client) AwaitPatch(ctx context.Context, id string) (api.PatchResult, error) {
	return get[api.PatchResult](ctx, c, "/admin/v1/patches/"+url.PathEscape(id)+"?wait=1")
}

// Publish publishes a patch once. It may retry at other nodes, since the patch's id makes
// publishing idempotent. sent reports whether a node may have received the patch.
func (c *Client) Publish(ctx context.Context, request api.PatchRequest) (result api.PatchResult, sent bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return result, false, fmt.Errorf("encode patch %s: %w", request.ID, err)
	}
	sent, err = c.call(ctx, http.MethodPost, "/admin/v1/patches", body, &result)
	return result, sent, err
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	_, err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// call tries the nodes in turn. It skips a node that can't be reached, that has no
// configuration, or that answers with a 5xx status; any other refusal is final.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) (sent bool, err error) {
	var failures []error
	for _, base := range c.bases {
		attemptSent, attemptErr := c.attempt(ctx, base, method, path, body, out)
		sent = sent || attemptSent
		if attemptErr == nil {
			return sent, nil
		}
		var refused *RefusedError
		if errors.As(attemptErr, &refused) && refused.Status < http.StatusInternalServerError {
			return sent, attemptErr
		}
		failures = append(failures, attemptErr)
	}
	return sent, fmt.Errorf("%s %s: %w", method, path, errors.Join(append([]error{ErrNoNode}, failures...)...))
}

// attempt calls one node. sent reports whether the call may have taken effect.
func (c *Client) attempt(ctx context.Context, base, method, path string, body []byte, out any) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return false, fmt.Errorf("ask node %s: %w", base, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.service.DoRequest(request)
	if err != nil {
		return connected.Load(), fmt.Errorf("ask node %s: %w", base, err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := memory.ReadAtMost(response.Body, maxAnswerBytes)
	if err != nil {
		return true, fmt.Errorf("read answer of node %s: %w", base, err)
	}
	return decodeAnswer(base, response.StatusCode, raw, out)
}

// decodeAnswer decodes a response: statuses 409 and 422 carry a patch's verdict, and any
// other status that is not a success is a refusal.
func decodeAnswer(base string, status int, raw []byte, out any) (sent bool, err error) {
	verdict := status == http.StatusConflict || status == http.StatusUnprocessableEntity
	if status >= http.StatusMultipleChoices && !verdict {
		refused := &RefusedError{Node: base, Status: status}
		var body api.ErrorResponse
		if json.Unmarshal(raw, &body) == nil {
			refused.Detail = body.Error
		}
		return refused.Detail.Ran != api.ErrorDetailRanNo, refused
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return true, fmt.Errorf("read answer of node %s: %w", base, err)
	}
	return true, nil
}
