package serving

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/relay"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// maxSends bounds the upstreams to which one request is sent, refused sends included.
	maxSends = 4
	// retryAfterFull is told to callers whose request every upstream has turned away.
	retryAfterFull = 500 * time.Millisecond
	// leastRemaining is the shortest time in which an attempt is worth making.
	leastRemaining = 10 * time.Millisecond
	// maxForeignAnswers bounds the late answers to other requests that are read past.
	maxForeignAnswers = 3
	// awaitShare is the part of the latency target, one over this, that a request waits for an
	// upstream that takes it later.
	awaitShare = 2
	// latencyWeight prices a second of waiting; the router's other prices are off here.
	latencyWeight = 1.0
	// shortUrgency is the engine's priority of the shortest prompts; it leaves the first
	// ones to requests that go on elsewhere.
	shortUrgency = 2
	// longUrgency is that of the longest prompts.
	longUrgency = 8
	// tokensPerUrgency is the length of prompt by which the priority falls: one chunk of prefill.
	tokensPerUrgency = 4096
)

// outcome is what an attempt led to.
type outcome int

const (
	// answered: the caller has its whole answer.
	answered outcome = iota
	// notRun: the request has not run at this upstream and won't.
	notRun
	// unreachable: no byte of the request was sent.
	unreachable
	// failed: the upstream ran the request and answered with a failure, which is held.
	failed
	// broken: the request may have run, and its answer is lost or stopped midway.
	broken
	// gone: the caller left, or its time is over.
	gone
)

var outcomeNames = map[outcome]string{
	answered: "answered", notRun: "not_run", unreachable: "unreachable", failed: "failed", broken: "broken", gone: "gone",
}

// heldAnswer is a whole answer that was not passed on yet.
type heldAnswer struct {
	response *http.Response
	body     []byte
}

// run is one request on its way to its answer.
type run struct {
	handler  *Handler
	view     *View
	request  *Request
	ctx      context.Context
	caller   http.ResponseWriter
	shared   SharedPrefix
	blocks   []uint64
	deadline time.Time

	service     string
	excluded    map[string]bool
	lastEventID string
	// sent counts attempts that may have run, arrived those that reached an upstream.
	sent, arrived int
	// began says that the caller has the head of an answer.
	began bool
	// cut says that the caller's connection must end without the answer's end.
	cut     bool
	held    *heldAnswer
	status  int
	result  string
	counted bool
	// reserved is the choice of the next attempt if the budget has granted it already; else nil.
	reserved atomic.Pointer[routing.Choice]
	// opens is when a caller should return because no upstream takes a request now; 0 if that
	// was not the reason.
	opens time.Duration
	// firstByte is when the caller got the first byte of its answer; zero if it did not.
	firstByte time.Time
	trace     []attemptTrace
}

// attemptTrace is what the log says of an attempt.
type attemptTrace struct {
	upstream string
	outcome  outcome
	queue    float64
	cached   int
	fetched  int
	// limit that the node knew of the upstream when it sent the request, limitAge old.
	limit    pacing.Limit
	limitAge time.Duration
	took     time.Duration
	err      error
}

// serve makes attempts until the caller has a final answer.
func (r *run) serve() {
	r.service = pickBackend(r.request.Route.Backends, r.handler.draw())
	r.handler.countRequest(r.service)
	for {
		if time.Until(r.deadline) < leastRemaining {
			r.end()
			return
		}
		choice, err := r.pick()
		if err != nil {
			r.end()
			return
		}
		result := r.attempt(choice)
		if result == answered {
			r.result = "answered"
			return
		}
		if result == gone || !r.goesOn(result) {
			r.end()
			return
		}
	}
}

// pickBackend draws one of a route's services by weight.
func pickBackend(backends []catalog.Backend, random uint64) string {
	total := 0
	for _, backend := range backends {
		total += max(0, backend.Weight)
	}
	if total == 0 {
		return ""
	}
	drawn := int(random>>33) % total
	for _, backend := range backends {
		if drawn < backend.Weight {
			return backend.Service
		}
		drawn -= max(0, backend.Weight)
	}
	return ""
}

// pick chooses an upstream that was not tried yet, and counts a request against its limit.
func (r *run) pick() (routing.Choice, error) {
	// A later view knows more of upstreams that failed meanwhile.
	r.view = r.handler.CurrentView()
	if reserved := r.reserved.Swap(nil); reserved != nil {
		return *reserved, nil
	}
	choice, err := r.take(r.view)
	if !errors.Is(err, routing.ErrThrottled) {
		return choice, err
	}
	if r.await(choice.Upstream.Gate) {
		return choice, nil
	}
	r.opens = comeBackSoon
	if wait, ok := choice.Upstream.Gate.RetryAfter(time.Now()); ok {
		r.opens = max(wait, comeBackNow)
	}
	r.handler.Metrics.closed.WithLabelValues(r.service).Inc()
	return choice, err
}

// await waits until an upstream takes the request, if the answer can still come in time then. A
// request that waits is sent in the end, unless its caller leaves or the upstream wants none any more.
func (r *run) await(gate *pacing.Gate) bool {
	now := time.Now()
	most := min(r.deadline.Sub(now), r.request.Route.LatencyTarget) / awaitShare
	wait, ok := gate.Reserve(now, most)
	if !ok {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		if gate.ReservationValid(time.Now()) {
			return true
		}
	case <-r.ctx.Done():
	}
	gate.Refund()
	return false
}

// take chooses an upstream and counts a request against its limit. Another request may have
// taken the last of it meanwhile.
func (r *run) take(view *View) (choice routing.Choice, err error) {
	for range maxSends {
		choice, err = r.choose(view)
		if err != nil || choice.Upstream.Gate.Take(time.Now()) {
			return choice, err
		}
	}
	return choice, routing.ErrThrottled
}

func (r *run) choose(view *View) (routing.Choice, error) {
	request := &routing.Request{
		Service: r.service, Blocks: r.blocks, PromptTokens: r.request.PromptTokens,
		AnswerTokens: r.request.AnswerTokens, Priority: r.request.Priority, DataCentre: view.DataCentre,
		Excluded: r.excluded, Key: r.shared.Chain, Seed: r.handler.draw(),
	}
	return routing.PickWith(routing.ContinuousScorers, view.Fleet, request, routing.Weights{Latency: latencyWeight}, time.Now())
}

// goesOn says whether another attempt follows one that led to no answer.
func (r *run) goesOn(result outcome) bool {
	repeatable := r.request.Route.Repeatable()
	if len(r.trace) >= maxSends {
		return false
	}
	if r.reserved.Load() != nil {
		return true
	}
	switch result {
	case unreachable:
		return true
	case notRun:
		return r.handler.mayRetry(r.service, r.view.RetryBurst)
	default:
		return repeatable && r.sent < r.request.Route.MaxAttempts && r.handler.mayRetry(r.service, r.view.RetryBurst)
	}
}

// urgency puts short prompts first in an engine: they delay long ones by little, and
// would wait for the whole of them.
func (r *run) urgency() int {
	return min(longUrgency, shortUrgency+r.request.PromptTokens/tokensPerUrgency)
}

// mayRepeat says whether a request whose answer does not come may be sent elsewhere.
func (r *run) mayRepeat() bool {
	return r.request.Route.Repeatable() && r.sent+1 < r.request.Route.MaxAttempts && len(r.trace)+1 < maxSends
}

// reserveRepeat takes the next attempt from the budget if there is an upstream for it.
func (r *run) reserveRepeat() bool {
	view := r.handler.CurrentView()
	choice, err := r.take(view)
	if err != nil {
		return false
	}
	if !r.handler.mayRetry(r.service, view.RetryBurst) {
		choice.Upstream.Gate.Refund()
		return false
	}
	r.reserved.Store(&choice)
	return true
}

// end gives the caller the final answer of a request that no further attempt is made for.
func (r *run) end() {
	switch {
	case r.ctx.Err() != nil && errors.Is(r.ctx.Err(), context.Canceled):
		r.cut, r.result = true, "canceled"
	case r.began:
		r.cut, r.result = true, "cut"
	case r.held != nil:
		r.deliver(r.held)
		r.result = "failed"
	case r.sent > 0 && time.Until(r.deadline) < leastRemaining:
		r.refuse(refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "no answer in time").WithUnknownOutcome())
	case r.sent > 0:
		r.refuse(refusal.New(http.StatusBadGateway, refusal.CodeUpstreamFailed, "the upstream broke off").WithUnknownOutcome())
	case time.Until(r.deadline) < leastRemaining:
		r.refuse(refusal.New(http.StatusServiceUnavailable, refusal.CodeDeadline, "the time ended before the request ran").
			WithRetryAfter(comeBackSoon))
	case r.opens > 0:
		r.refuse(refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "no upstream takes a request now").
			WithRetryAfter(r.opens))
	case r.arrived > 0:
		r.refuse(refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "all upstreams are full").
			WithRetryAfter(retryAfterFull))
	default:
		r.refuse(refusal.New(http.StatusServiceUnavailable, refusal.CodeNoUpstream, "no upstream can take the request").
			WithRetryAfter(comeBackSoon))
	}
}

func (r *run) refuse(refused *refusal.Refusal) {
	r.status, r.result = refused.Status, "refused:"+string(refused.Code)
	r.handler.answerRefusal(r.caller, r.request.ID, refused)
}

// attempt sends the request to one upstream and passes its answer on.
func (r *run) attempt(choice routing.Choice) outcome {
	upstream, started := choice.Upstream, time.Now()
	uncached := max(0, r.request.PromptTokens-choice.CachedTokens-choice.FetchTokens)
	tracked := upstream.Tracker.Begin(started, r.request.Priority, uncached, upstream.QueuedByOtherNodes())
	if upstream.Holder != 0 {
		r.view.Fleet.Prefixes.Add(upstream.Holder, r.blocks...)
		r.handler.Events.PromptPlaced(upstream, r.shared, uncached)
	}
	r.excluded[upstream.ID] = true
	exchange := &exchange{run: r, upstream: upstream, tracked: tracked}
	if choice.Source != nil {
		exchange.fetchFrom = choice.Source.Address
	}
	limit := upstream.Gate.Limit()
	if limit.Limited {
		r.handler.Metrics.limited.WithLabelValues(r.service).Inc()
	}
	result, err := exchange.do()
	tracked.End(time.Now(), exchange.events)
	r.trace = append(r.trace, attemptTrace{
		upstream: upstream.ID, outcome: result, queue: choice.Queue, cached: choice.CachedTokens, fetched: choice.FetchTokens,
		limit: limit, limitAge: started.Sub(limit.At), took: time.Since(started), err: err,
	})
	r.handler.Metrics.attempts.WithLabelValues(r.service, outcomeNames[result]).Inc()
	switch result {
	case unreachable:
		upstream.Gate.Refund()
		r.handler.Events.UpstreamUnreachable(upstream)
	case broken:
		if !exchange.silent() {
			r.handler.Events.ExchangeBroken(upstream, fingerprint(r.request))
		}
	}
	return result
}

// ran notes once that the request has begun to run.
func (r *run) ran() {
	if r.counted || r.request.Workspace == "" {
		return
	}
	r.counted = true
	r.handler.Events.RequestStarted(r.request.Workspace)
}

// log writes the one line that tells how the request ended and why.
func (r *run) log() {
	route := r.request.Route
	r.handler.Metrics.requests.WithLabelValues(route.Kind.String(), r.result).Inc()
	event := r.handler.Logger.Info()
	if r.result != "answered" {
		event = r.handler.Logger.Warn()
	} else if !r.handler.successLines.Allow() {
		r.handler.Metrics.suppressed.Inc()
		return
	}
	attempts := zerolog.Arr()
	for _, a := range r.trace {
		attempt := zerolog.Dict().Str("upstream", a.upstream).Str("outcome", outcomeNames[a.outcome]).
			Float64("queue_s", a.queue).Int("cached", a.cached).Int("fetched", a.fetched).Dur("took_ms", a.took)
		if a.limit.Limited {
			attempt = attempt.Float64("upstream_limit", a.limit.Rate).Dur("limit_age_ms", a.limitAge)
		}
		if a.err != nil {
			attempt = attempt.AnErr("error", a.err)
		}
		attempts = attempts.Dict(attempt)
	}
	if !r.firstByte.IsZero() {
		event = event.Dur("first_byte_ms", r.firstByte.Sub(r.request.ArrivedAt))
	}
	event.Str("request", r.request.ID).Int("prompt_tokens", r.request.PromptTokens).
		Uint64("prefix", r.shared.Chain).Int("shared_tokens", r.shared.Tokens).
		Str("route", route.Name).Str("workspace", r.request.Workspace).
		Str("service", r.service).Str("result", r.result).Int("status", r.status).
		Int64("config_version", r.request.ConfigVersion).Dur("fleet_age_ms", time.Since(r.view.RegistryReadAt)).
		Dur("view_age_ms", r.request.ArrivedAt.Sub(r.view.PublishedAt)).
		Dur("took_ms", time.Since(r.request.ArrivedAt)).Array("attempts", attempts).Msg("request ended")
}

func upstreamOf(u *routing.Upstream) relay.Upstream {
	return relay.Upstream{Key: u.Key(), Address: u.Address}
}
