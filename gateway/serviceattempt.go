package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/upstream"
)

// errAnswerTooLarge is returned for an answer above the size limit, which is discarded.
var errAnswerTooLarge = errors.New("the answer is larger than this node takes")

// sendService sends a request to an address and returns the response with its body unread.
type sendService func(address string, request *http.Request) (*http.Response, error)

// sendPooled may reuse a connection, on which net/http may retry the request.
func (g *Gateway) sendPooled(address string, request *http.Request) (*http.Response, error) {
	return g.Pool.Get(address).Do("call service", request)
}

// sendFresh uses a new connection, on which nothing is retried.
func (g *Gateway) sendFresh(address string, request *http.Request) (*http.Response, error) {
	return g.once.Do(address, "call service once", request)
}

// attemptService sends the call to one upstream and reads the complete answer.
func (g *Gateway) attemptService(ctx context.Context, c *serviceCall, chosen *routing.Upstream, send sendService) (answer *api.ServiceAnswer, err error) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "call service")
	span.SetAttributes(
		attribute.String("request.id", c.id),
		attribute.String("upstream.id", chosen.ID),
		attribute.String("upstream.data_centre", chosen.DataCentre),
	)
	defer func() {
		g.endServiceAttempt(c, chosen, err)
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}()
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	chosen.Tracker.InFlight.Add(1)
	defer chosen.Tracker.InFlight.Add(-1)
	request, err := c.upstreamRequest(ctx, chosen.Address)
	if err != nil {
		return nil, &upstream.Error{Step: "build service call", Peer: chosen.Address, Sent: retry.NotSent, Err: err}
	}
	response, err := send(chosen.Address, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return g.readServiceAnswer(chosen, response)
}

func (c *serviceCall) upstreamRequest(ctx context.Context, address string) (*http.Request, error) {
	target, err := url.Parse("http://" + address + c.path)
	if err != nil {
		return nil, err
	}
	target.RawQuery = c.query
	request, err := http.NewRequestWithContext(ctx, c.method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Header = c.header.Clone()
	request.Header.Set(refusal.HeaderRequestID, c.id)
	return request, nil
}

// readServiceAnswer reads a complete answer, or fails.
func (g *Gateway) readServiceAnswer(chosen *routing.Upstream, response *http.Response) (*api.ServiceAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, g.Settings.MaxBodyBytes+1))
	if err == nil && int64(len(body)) > g.Settings.MaxBodyBytes {
		err = errAnswerTooLarge
	}
	if err != nil {
		return nil, &upstream.Error{Step: "read service answer", Peer: chosen.Address, Sent: retry.MaybeSent, Err: err}
	}
	return &api.ServiceAnswer{Status: response.StatusCode, Header: responseHeader(response.Header), Body: body}, nil
}

// endServiceAttempt counts an attempt and marks a failed upstream as suspect.
func (g *Gateway) endServiceAttempt(c *serviceCall, chosen *routing.Upstream, err error) {
	result := resultAnswered
	if err != nil {
		result = "failed"
	}
	g.Metrics.Attempts.WithLabelValues(c.service, result).Inc()
	if err == nil || errors.Is(err, errAnswerTooLarge) || errors.Is(err, context.Canceled) {
		return
	}
	g.Control.Offer(control.ContactFailed{HostID: chosen.ID, Until: time.Now().Add(suspectPeriod)})
}

// noServiceUpstream returns the refusal when no upstream is left to try.
func noServiceUpstream(ran refusal.Ran, err error) *refusal.Refusal {
	r := refusal.New(http.StatusServiceUnavailable, refusal.CodeNoUpstream,
		"no upstream can take the call now").WithCause("route", "", err).WithRetryAfter(jittered(noUpstreamRetryAfter))
	r.Ran = ran
	return r
}

// serviceFailed returns the refusal after a failed attempt that is not retried.
func (g *Gateway) serviceFailed(chosen *routing.Upstream, ran refusal.Ran, err error) *refusal.Refusal {
	r := refusal.New(http.StatusBadGateway, refusal.CodeUpstreamFailed, "the upstream failed")
	if errors.Is(err, errAnswerTooLarge) {
		r = refusal.New(http.StatusBadGateway, refusal.CodeAnswerTooLarge,
			"the call ran, but its answer is larger than %d bytes", g.Settings.MaxBodyBytes)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		r = refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "the upstream did not answer in time")
	}
	r.Ran = ran
	return r.WithCause("call service", chosen.ID, fmt.Errorf("last attempt: %w", err))
}
