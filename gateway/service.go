package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/routing"
)

// defaultServiceTimeout bounds an attempt at a plain service.
const defaultServiceTimeout = 10 * time.Second

// hopByHop are headers that belong to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalPrefix starts headers that only nodes may set.
const internalPrefix = "X-Persimmon-"

// serviceCall is one call of a plain service.
type serviceCall struct {
	id        string
	workspace string
	service   string
	path      string
	query     string
	method    string
	header    http.Header
	body      []byte
	route     api.Route
	operation api.Operation
}

// service serves /services/{service}/...
func (g *Gateway) service(w http.ResponseWriter, r *http.Request, who caller) {
	name := r.PathValue("service")
	route, routed := who.index.Route(who.workspace, name)
	known, exists := who.index.Service(name)
	if !routed || !exists || known.Kind != api.ServiceKindPlain {
		g.refuse(w, "", refusal.New(http.StatusNotFound, refusal.CodeNotFound,
			"service %q does not exist or this workspace has no route to it", name))
		return
	}
	body, refused := g.readBody(w, r)
	if refused != nil {
		g.refuse(w, "", refused)
		return
	}
	path := "/" + r.PathValue("path")
	c := &serviceCall{
		id:        g.newRequestID(g.Settings.NodeID, g.Incarnation),
		workspace: who.workspace,
		service:   name,
		path:      path,
		query:     r.URL.RawQuery,
		method:    r.Method,
		header:    forwardedHeader(r.Header),
		body:      body,
		route:     route,
		operation: config.OperationOf(known, r.Method, path),
	}
	g.callService(r.Context(), w, c)
}

// callService tries upstreams until one answers or no further try is allowed.
func (g *Gateway) callService(ctx context.Context, w http.ResponseWriter, c *serviceCall) {
	g.countRequest()
	excluded := map[string]bool{}
	ran := refusal.RanNo
	started := time.Now()
	for attempts := 1; ; attempts++ {
		chosen, err := g.pickService(c, excluded)
		if err != nil {
			r := refusal.New(http.StatusServiceUnavailable, refusal.CodeNoUpstream,
				"no upstream can take the call now").At("route", "", err).After(jittered(noUpstreamRetry))
			r.Ran = ran
			g.refuse(w, c.id, r)
			return
		}
		response, err := g.attemptService(ctx, c, chosen)
		if err == nil {
			g.Metrics.FirstToken.WithLabelValues(c.service).Observe(time.Since(started).Seconds())
			g.writeServiceAnswer(w, c, response)
			return
		}
		excluded[chosen.ID] = true
		sent := sentOf(err)
		if sent == retry.MaybeSent {
			ran = refusal.RanUnknown
		}
		failure := retry.Failure{Sent: sent, Repeatable: c.operation.Repeatable, Attempts: attempts}
		if !retry.Allowed(failure) || !g.takeRetry() {
			r := refusal.New(http.StatusBadGateway, refusal.CodeUpstreamFailed,
				"the upstream failed").At("call service", chosen.ID, err)
			r.Ran = ran
			g.refuse(w, c.id, r)
			return
		}
	}
}

// serviceAnswer is a whole answer of a plain service.
type serviceAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attemptService sends the call to one upstream and reads the whole answer.
func (g *Gateway) attemptService(ctx context.Context, c *serviceCall, chosen *routing.Upstream) (*serviceAnswer, error) {
	timeout := defaultServiceTimeout
	if c.operation.TimeoutMS > 0 {
		timeout = time.Duration(c.operation.TimeoutMS) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	chosen.Tracker.InFlight.Add(1)
	defer chosen.Tracker.InFlight.Add(-1)
	url := "http://" + chosen.Address + c.path
	if c.query != "" {
		url += "?" + c.query
	}
	request, err := http.NewRequestWithContext(ctx, c.method, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Header = c.header.Clone()
	request.Header.Set(refusal.HeaderRequestID, c.id)
	response, err := g.Pool.Get(chosen.Address).Do("call service", request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, g.Settings.MaxBodyBytes))
	if err != nil {
		return nil, err
	}
	return &serviceAnswer{status: response.StatusCode, header: response.Header, body: body}, nil
}

func (g *Gateway) writeServiceAnswer(w http.ResponseWriter, c *serviceCall, answer *serviceAnswer) {
	header := w.Header()
	for name, values := range answer.header {
		header[name] = values
	}
	dropHopByHop(header)
	header.Del("Content-Length")
	header.Set(refusal.HeaderRequestID, c.id)
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
	g.Metrics.Requests.WithLabelValues(c.workspace, c.service, resultAnswered).Inc()
}

// forwardedHeader is the caller's header without what belongs to its connection,
// its key, and what only nodes may set.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	dropHopByHop(out)
	out.Del("Authorization")
	for name := range out {
		if strings.HasPrefix(name, internalPrefix) {
			out.Del(name)
		}
	}
	return out
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
