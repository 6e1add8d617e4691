// Package httpclient implements the interfaces of package infra over HTTP with JSON. It is
// a separate package, so that programs that use another protocol do not link it.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/memory"
)

const (
	// maxAnswerBytes bounds a response of the platform.
	maxAnswerBytes = 64 << 20
	// maxErrorBytes bounds the part of an error response that is included in the error.
	maxErrorBytes = 512
	// callTimeout bounds a call, in addition to the long poll that it requests.
	callTimeout = 5 * time.Second
)

// client calls one platform service with JSON.
type client struct {
	base      string
	transport *http.Transport
	http      *http.Client
	service   httpc.Service
}

func newClient(name, base string) client {
	transport := netopt.Transport()
	httpClient := &http.Client{
		Transport: netopt.Checked(transport),
		// A redirect would send an append a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	service := name + " " + base
	// A circuit breaker would keep rejecting calls for seconds after the service has
	// recovered, and the failed calls of one client would block another client of the same
	// service, since go-zero keeps breakers by name; the callers back off themselves.
	breaker.NoBreakerFor(service)
	return client{base: base, transport: transport, http: httpClient, service: httpc.NewServiceWithClient(service, httpClient)}
}

// SetDial makes the client open its connections with dial, for instance to count
// their bytes. It must be called before the first call.
func (c client) SetDial(dial netopt.DialFunc) {
	c.transport.DialContext = dial
}

// call sends in as JSON, if it is not nil, and decodes the response into out, if it is
// not nil.
func (c client) call(ctx context.Context, step, method, path string, in, out any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	request, err := c.request(ctx, method, path, in)
	if err != nil {
		return &infra.Error{Step: step, Peer: c.base, Effect: infra.EffectNone, Err: err}
	}
	response, err := c.send(step, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return c.statusError(step, response)
	}
	if out == nil {
		return nil
	}
	if err := memory.DecodeJSON(response.Body, maxAnswerBytes, out); err != nil {
		return &infra.Error{Step: step, Peer: c.base, Status: response.StatusCode, Effect: infra.EffectUnknown, Err: err}
	}
	return nil
}

func (c client) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	if in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// statusError returns the error of a response with an error status. A call with a 4xx status
// had no effect.
func (c client) statusError(step string, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	effect := infra.EffectUnknown
	if response.StatusCode < http.StatusInternalServerError {
		effect = infra.EffectNone
	}
	return &infra.Error{
		Step: step, Peer: c.base, Status: response.StatusCode, Effect: effect,
		Err: fmt.Errorf("refused: %s", bytes.TrimSpace(text)),
	}
}

// send sends a request once. A call that never got a connection had no effect.
func (c client) send(step string, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.service.DoRequest(request.WithContext(ctx))
	if err == nil {
		return response, nil
	}
	// A fault that made one connection unresponsive may affect all idle ones.
	c.http.CloseIdleConnections()
	effect := infra.EffectNone
	if connected.Load() {
		effect = infra.EffectUnknown
	}
	return nil, &infra.Error{Step: step, Peer: c.base, Effect: effect, Err: err}
}

// LogClient is the log service over HTTP.
type LogClient struct{ client }

// NewLogClient returns a client of the log service at a base URL.
func NewLogClient(base string) *LogClient { return &LogClient{newClient("log", base)} }

// Append implements Log.
func (l *LogClient) Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error) {
	in := api.AppendRequest{Records: make([]api.RawRecord, len(records))}
	for i, record := range records {
		in.Records[i].Data = record
	}
	var out api.AppendResponse
	path := "/v1/streams/" + url.PathEscape(stream) + "/records"
	if err := l.call(ctx, "append to "+stream, http.MethodPost, path, in, &out, 0); err != nil {
		return 0, err
	}
	return out.FirstOffset, nil
}

// Read implements Log.
func (l *LogClient) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (api.ReadResponse, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	path := "/v1/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	var out api.ReadResponse
	err := l.call(ctx, "read "+stream, http.MethodGet, path, nil, &out, wait)
	return out, err
}

// HostsClient is the host list over HTTP.
type HostsClient struct {
	client
	last cached[api.HostList]
}

// NewHostsClient returns a client of the host list at a base URL.
func NewHostsClient(base string) *HostsClient { return &HostsClient{client: newClient("hosts", base)} }

// List implements Hosts.
func (h *HostsClient) List(ctx context.Context) (api.HostList, error) {
	return h.last.get(ctx, h.client, "list hosts", "/v1/hosts")
}

// CloudClient is the cloud API over HTTP.
type CloudClient struct {
	client
	last cached[api.CloudHosts]
}

// NewCloudClient returns a client of the cloud API at a base URL.
func NewCloudClient(base string) *CloudClient { return &CloudClient{client: newClient("cloud", base)} }

// Hosts implements Cloud.
func (c *CloudClient) Hosts(ctx context.Context) (api.CloudHosts, error) {
	return c.last.get(ctx, c.client, "list cloud hosts", "/v1/cloud/hosts")
}

// Start implements Cloud.
func (c *CloudClient) Start(ctx context.Context, request api.StartHostRequest) (api.CloudHost, error) {
	var out api.CloudHost
	err := c.call(ctx, "start host", http.MethodPost, "/v1/cloud/hosts", request, &out, 0)
	return out, err
}

// Stop implements Cloud.
func (c *CloudClient) Stop(ctx context.Context, id string) error {
	return c.call(ctx, "stop host "+id, http.MethodDelete, "/v1/cloud/hosts/"+url.PathEscape(id), nil, nil, 0)
}

// Close closes idle connections.
func (c client) Close() { c.http.CloseIdleConnections() }

// WeightsClient is the weight store over HTTP.
type WeightsClient struct {
	client
	last cached[api.WeightList]
}

// NewWeightsClient returns a client of the weight store at a base URL.
func NewWeightsClient(base string) *WeightsClient {
	return &WeightsClient{client: newClient("weights", base)}
}

// List implements Weights.
func (w *WeightsClient) List(ctx context.Context) (api.WeightList, error) {
	return w.last.get(ctx, w.client, "list weights", "/v1/weights")
}
