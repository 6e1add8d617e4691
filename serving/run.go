package serving

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/hedge"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/relay"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// maxSends bounds the number of upstreams to which one request is sent, including those that
	// refuse it.
	maxSends = 4
	// maxConnects bounds the upstreams to which a connection is tried for one request, and
	// unreachableTimeDivisor divides the latency target to give the time for more than maxSends.
	maxConnects            = 16
	unreachableTimeDivisor = 4
	// retryAfterFull is sent to callers whose request was refused by every upstream.
	retryAfterFull = 500 * time.Millisecond
	// minRemaining is the minimum remaining time for which an attempt is made.
	minRemaining = 10 * time.Millisecond
	// maxForeignResponses bounds the number of late responses to other requests that are discarded.
	maxForeignResponses = 3
	// throttleWaitDivisor divides the latency target, or the remaining time if that is shorter, to
	// give the longest wait for a throttled upstream.
	throttleWaitDivisor = 2
	// latencyWeight is the router's weight for a second of waiting; its other weights are zero here.
	latencyWeight = 1.0
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 16
	// shortPromptPriority is the engine priority of the shortest prompts; higher ones are reserved for
	// requests that continue at another upstream.
	shortPromptPriority = 2
	// longPromptPriority is the engine priority of the longest prompts.
	longPromptPriority = 8
	// tokensPerPriority is the prompt length that lowers the priority by one: one chunk of prefill.
	tokensPerPriority = 4096
)

// errNodeStops is the cause with which requests under way are canceled at the end of the node.
var errNodeStops = errors.New("node stops")

// errCrashesUpstreams means that requests like this one crash the upstreams that run them.
var errCrashesUpstreams = errors.New("such requests crash upstreams")

// outcome is the result of an attempt.
type outcome int

const (
	// outcomeAnswered: the caller has the complete response.
	outcomeAnswered outcome = iota
	// outcomeNotRun: the request has not run at this upstream and will not run.
	outcomeNotRun
	// outcomeUnreachable: no byte of the request was sent.
	outcomeUnreachable
	// outcomeFailed: the upstream ran the request and returned a failure, which is buffered.
	outcomeFailed
	// outcomeBroken: the request may have run, and its response is lost or incomplete.
	outcomeBroken
	// outcomeCanceled: the caller disconnected, or the deadline has passed.
	outcomeCanceled
	// outcomeLost: another upstream answered first.
	outcomeLost
	// outcomeMoved: the run was stopped, and goes on elsewhere with its memory.
	outcomeMoved
)

var outcomeNames = map[outcome]string{
	outcomeAnswered: "answered", outcomeNotRun: "not_run", outcomeUnreachable: "unreachable", outcomeFailed: "failed", outcomeBroken: "broken", outcomeCanceled: "gone", outcomeLost: "lost", outcomeMoved: "moved",
}

// bufferedResponse is a complete response that has not been forwarded yet.
type bufferedResponse struct {
	response *http.Response
	body     []byte
}

// requestRun is the state of one request until its final response.
type requestRun struct {
	handler *Handler
	view    *View
	request *Request
	ctx     context.Context
	caller  http.ResponseWriter
	shared  SharedPrefix
	blocks  []uint64
	// traits are what the request may have in common with others that crash upstreams; trial is set if
	// it runs although one of them is refused.
	traits   []quarantine.Trait
	trial    bool
	deadline time.Time

	service     string
	excluded    map[string]bool
	lastEventID string
	// possibleRuns counts attempts that may have run, reachedAttempts those that reached an upstream.
	possibleRuns, reachedAttempts int
	// headerSent is set once response headers were sent to the caller.
	headerSent bool
	// abortConnection is set if the caller's connection must be aborted, so that an incomplete
	// response can't look complete.
	abortConnection bool
	failureResponse *bufferedResponse
	status          int
	result          string
	startRecorded   atomic.Bool
	// reserved is the upstream of the next attempt if the retry budget has already granted it; else
	// nil.
	reserved atomic.Pointer[routing.Choice]
	// crashesUpstreams is set once requests like this one are refused.
	crashesUpstreams bool
	// retryDenied is set once the retry budget has denied a retry.
	retryDenied atomic.Bool
	// throttledFor is the time after which a caller should retry because all upstreams are throttled;
	// 0 if that was not the reason.
	throttledFor time.Duration
	// firstByte is when the first byte of the response was sent to the caller; zero if it was not.
	firstByte time.Time
	// longestPause is the longest time between two events of a stream, longestWrite the longest that
	// an event took to be written to the caller.
	longestPause, longestWrite time.Duration
	// lastEventAt is when the last event of a stream arrived; zero before the first.
	lastEventAt time.Time
	attempts    []attemptTrace
	// hedgeDenied is why a slow request was not sent a second time; empty if it was, or was not slow.
	hedgeDenied hedge.Denial
	// trace records how upstreams are chosen for a request that is explained and not sent; else nil.
	trace *routing.Trace
	// waited is how long the request waited for a place at an engine, turnedAway its refusal if it got
	// none.
	waited     time.Duration
	turnedAway *refusal.Refusal
	// moved is the move that stopped the run; nil if it is not to go on elsewhere. memory is what the next
	// attempt goes on with.
	moved  *runMove
	memory runMemory
}

// attemptTrace is the log entry of an attempt.
type attemptTrace struct {
	upstream string
	outcome  outcome
	version  string
	price    float64
	queue    float64
	cached   int
	fetched  int
	// limit is the upstream's known limit when the request was sent, limitAge its age.
	limit    pacing.Limit
	limitAge time.Duration
	took     time.Duration
	err      error
	hedge    bool
}

// serve makes attempts until the caller has a final response.
func (r *requestRun) serve() {
	r.service = pickBackend(r.request.Route.Backends, r.handler.nextRandom())
	r.handler.countRequest(r.service)
	r.handler.hedges.countRequest(r.service)
	release, err := r.awaitPlace()
	if err != nil {
		r.finish()
		return
	}
	defer release()
	for {
		if time.Until(r.deadline) < minRemaining {
			r.finish()
			return
		}
		choice, err := r.pickUpstream()
		if err != nil {
			r.finish()
			return
		}
		result := r.attempt(choice)
		if result == outcomeMoved {
			result = r.continueMoved()
		}
		if result == outcomeAnswered {
			r.result = "answered"
			return
		}
		if result == outcomeCanceled || !r.shouldRetry(result) {
			r.finish()
			return
		}
	}
}

// pickBackend selects one of a route's services at random by weight.
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

// pickUpstream chooses an upstream that was not attempted yet, and takes a request from its limit; if
// all are throttled, it waits or sets throttledFor.
func (r *requestRun) pickUpstream() (routing.Choice, error) {
	// A newer view includes failures of upstreams in the meantime.
	r.view = r.handler.CurrentView()
	reserved := r.reserved.Swap(nil)
	if (len(r.attempts) > 0 || r.waited > 0) && r.refusedMeanwhile() {
		if reserved != nil {
			reserved.Upstream.Gate.Refund()
		}
		return routing.Choice{}, errCrashesUpstreams
	}
	if reserved != nil {
		return *reserved, nil
	}
	choice, err := r.takeUpstream(r.view)
	if !errors.Is(err, routing.ErrThrottled) {
		return choice, err
	}
	if r.awaitCapacity(choice.Upstream.Gate) {
		return choice, nil
	}
	r.throttledFor = retryAfterSoon
	if wait, ok := choice.Upstream.Gate.RetryAfter(time.Now()); ok {
		r.throttledFor = max(wait, retryAfterOtherNode)
	}
	r.handler.Metrics.throttled.WithLabelValues(r.service).Inc()
	return choice, err
}

// refusedMeanwhile reports whether requests like this one are refused since it was admitted.
func (r *requestRun) refusedMeanwhile() bool {
	if !r.trial {
		for _, trait := range r.traits {
			r.crashesUpstreams = r.crashesUpstreams || r.view.RefusedTraits[trait.Hash]
		}
	}
	return r.crashesUpstreams
}

// awaitCapacity waits for a throttled upstream, if the response can still arrive in time after the
// wait. It returns false if the wait would be too long, the caller disconnects, or the upstream starts
// a pause or leaves in the meantime.
func (r *requestRun) awaitCapacity(gate *pacing.Gate) bool {
	now := time.Now()
	limit := min(r.deadline.Sub(now), r.request.Route.LatencyTarget) / throttleWaitDivisor
	wait, ok := gate.Reserve(now, limit)
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

// takeUpstream chooses an upstream and takes a request from its limit. It chooses again if a
// concurrent request has used up the limit.
func (r *requestRun) takeUpstream(view *View) (choice routing.Choice, err error) {
	for range maxSends {
		choice, err = r.chooseUpstream(view)
		if err != nil || choice.Upstream.Gate.Take(time.Now()) {
			return choice, err
		}
	}
	return choice, routing.ErrThrottled
}

func (r *requestRun) chooseUpstream(view *View) (routing.Choice, error) {
	request := &routing.Request{
		Service: r.service, Blocks: r.blocks, PromptTokens: r.request.PromptTokens,
		AnswerTokens: r.request.AnswerTokens, Priority: r.request.Priority, DataCentre: view.DataCentre,
		FirstTokenTarget: r.request.Route.LatencyTarget - time.Since(r.request.ArrivedAt), GapTarget: r.request.Route.GapTarget,
		Excluded: r.excluded, Key: r.shared.Chain, Seed: r.handler.nextRandom(), Generation: r.generation(view),
		Trace: r.trace,
	}
	choice, err := routing.PickWith(routing.ContinuousScorers, view.Fleet, request, routing.Weights{Latency: latencyWeight}, time.Now())
	if err != nil && view.mayFallBack(r.service, request.Generation) {
		request.Generation = routing.OldGeneration
		return routing.PickWith(routing.ContinuousScorers, view.Fleet, request, routing.Weights{Latency: latencyWeight}, time.Now())
	}
	return choice, err
}

// shouldRetry reports whether another attempt is made after one without a response.
func (r *requestRun) shouldRetry(result outcome) bool {
	repeatable := r.request.Route.Repeatable()
	if !r.sendsLeft() || (r.trial && r.possibleRuns > 0) {
		return false
	}
	if r.reserved.Load() != nil {
		return true
	}
	switch result {
	case outcomeUnreachable:
		return true
	case outcomeNotRun:
		return r.takeRetry(r.view.RetryBurst)
	default:
		return repeatable && r.possibleRuns < r.request.Route.MaxAttempts && r.takeRetry(r.view.RetryBurst)
	}
}

// sendsLeft reports whether the request may be sent to another upstream.
func (r *requestRun) sendsLeft() bool {
	if len(r.attempts) < maxSends {
		return true
	}
	// Engines that have crashed look idle until this node has found each of them unreachable.
	early := time.Since(r.request.ArrivedAt) < r.request.Route.LatencyTarget/unreachableTimeDivisor
	return early && r.reachedAttempts < maxSends && len(r.attempts) < maxConnects
}

// takeRetry takes a retry from the budget of the request's service.
func (r *requestRun) takeRetry(burst float64) bool {
	granted := r.handler.takeRetry(r.service, burst)
	if !granted {
		r.retryDenied.Store(true)
	}
	return granted
}

// enginePriority returns a higher priority for short prompts: they delay long ones only a little, and
// would otherwise wait for all of them (head-of-line blocking).
func (r *requestRun) enginePriority() int {
	return min(longPromptPriority, shortPromptPriority+r.request.PromptTokens/tokensPerPriority)
}

// repeatAllowed reports whether a request without a response may be sent to another upstream.
func (r *requestRun) repeatAllowed() bool {
	return r.request.Route.Repeatable() && !r.trial && r.possibleRuns+1 < r.request.Route.MaxAttempts && len(r.attempts)+1 < maxSends
}

// reserveNextAttempt reserves an upstream and a retry of the budget for the next attempt; it returns
// false if either is not available.
func (r *requestRun) reserveNextAttempt() bool {
	view := r.handler.CurrentView()
	choice, err := r.takeUpstream(view)
	if err != nil {
		return false
	}
	if !r.takeRetry(view.RetryBurst) {
		choice.Upstream.Gate.Refund()
		return false
	}
	r.reserved.Store(&choice)
	return true
}

// finish sends the final response of a request after its last attempt.
func (r *requestRun) finish() {
	stopping := errors.Is(context.Cause(r.ctx), errNodeStops)
	switch {
	case errors.Is(r.ctx.Err(), context.Canceled) && !stopping:
		r.abortConnection, r.result = true, "canceled"
	case r.headerSent:
		r.abortConnection, r.result = true, "cut"
	case r.failureResponse != nil:
		r.deliver(r.failureResponse)
		r.result = "failed"
	case stopping && r.possibleRuns > 0:
		r.refuse(refusal.New(http.StatusBadGateway, refusal.CodeDraining, "this node stopped before the answer").WithUnknownOutcome())
	case stopping:
		r.refuse(stoppingRefusal())
	case r.possibleRuns > 0 && time.Until(r.deadline) < minRemaining:
		r.refuse(refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "no answer in time").WithUnknownOutcome())
	case r.possibleRuns > 0:
		r.refuse(refusal.New(http.StatusBadGateway, refusal.CodeUpstreamFailed, "the upstream broke off").WithUnknownOutcome())
	case r.crashesUpstreams:
		r.refuse(crashRefusal())
	case r.turnedAway != nil:
		r.refuse(r.turnedAway)
	case time.Until(r.deadline) < minRemaining:
		r.refuse(refusal.New(http.StatusServiceUnavailable, refusal.CodeDeadline, "the time ended before the request ran").
			WithRetryAfter(retryAfterSoon))
	case r.throttledFor > 0:
		r.refuse(refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "no upstream takes a request now").
			WithRetryAfter(r.throttledFor))
	case r.reachedAttempts > 0:
		r.refuse(refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "all upstreams are full").
			WithRetryAfter(retryAfterFull))
	default:
		r.refuse(refusal.New(http.StatusServiceUnavailable, refusal.CodeNoUpstream, "no upstream can take the request").
			WithRetryAfter(retryAfterSoon))
	}
}

func (r *requestRun) refuse(refused *refusal.Refusal) {
	r.status, r.result = refused.Status, "refused:"+string(refused.Code)
	r.handler.writeRefusal(r.caller, r.request.ID, refused)
}

// attempt sends the request to one upstream, or to a second one as well, and forwards its response.
func (r *requestRun) attempt(choice routing.Choice) outcome {
	x := r.begin(choice)
	x.watchSilence(x.silenceLeft())
	if delay, ok := r.hedgeDelay(x); ok {
		return r.race(x, delay)
	}
	x.open()
	return r.conclude(x)
}

// begin prepares an exchange with an upstream.
func (r *requestRun) begin(choice routing.Choice) *exchange {
	upstream, now := choice.Upstream, time.Now()
	uncached := choice.UncachedTokens(r.request.PromptTokens)
	x := &exchange{run: r, choice: choice, upstream: upstream, continues: r.headerSent, sentAt: now, limit: upstream.Gate.Limit()}
	x.sample = r.startSample(upstream, uncached)
	x.tracked = upstream.Tracker.Begin(now, r.request.Priority, uncached, upstream.QueuedByOtherNodes())
	x.memory = r.memory
	if upstream.Holder != 0 && !x.memory.held() {
		r.view.Fleet.Prefixes.Add(upstream.Holder, r.blocks...)
		r.handler.Events.PromptPlaced(upstream, r.shared, uncached)
	}
	r.excluded[upstream.ID] = true
	if x.limit.Limited {
		r.handler.Metrics.limited.WithLabelValues(r.service).Inc()
	}
	x.ctx, x.cancel = context.WithCancelCause(r.ctx)
	x.call = x.buildCall()
	return x
}

// conclude forwards the response of an exchange and ends it.
func (r *requestRun) conclude(x *exchange) outcome {
	result, err := x.forward()
	x.close()
	r.record(x, result, err)
	switch result {
	case outcomeUnreachable:
		x.upstream.Gate.Refund()
		r.handler.Events.UpstreamUnreachable(x.upstream)
	case outcomeBroken:
		if !x.upstreamSilent() && !x.writingForLong() && !refusedForSize(err) {
			r.handler.Events.ExchangeBroken(x.upstream, r.traits)
		}
	}
	return result
}

// record records an exchange that has ended.
func (r *requestRun) record(x *exchange, result outcome, err error) {
	now := time.Now()
	x.tracked.End(now, x.eventCount)
	// An attempt that a second one has overtaken counts as slow, lest hedges hide a slow version.
	overtaken := result == outcomeLost && !x.hedges
	x.sample.end(result, overtaken || x.upstreamSilent())
	r.recordLatency(x, result, now)
	r.attempts = append(r.attempts, attemptTrace{
		upstream: x.upstream.ID, version: x.upstream.Version, outcome: result, price: x.choice.Price, queue: x.choice.Queue, cached: x.choice.CachedTokens, fetched: x.choice.FetchTokens,
		limit: x.limit, limitAge: x.sentAt.Sub(x.limit.At), took: now.Sub(x.sentAt), err: err, hedge: x.hedges,
	})
	r.handler.Metrics.attempts.WithLabelValues(r.service, outcomeNames[result]).Inc()
}

// markStarted reports once that the request has begun to run; both exchanges of a race call it.
func (r *requestRun) markStarted() {
	if r.request.Workspace == "" || !r.startRecorded.CompareAndSwap(false, true) {
		return
	}
	r.handler.Events.RequestStarted(r.request.Workspace)
}

// logResult logs the result of the request and its attempts in a single line.
func (r *requestRun) logResult() {
	route := r.request.Route
	r.handler.Metrics.requests.WithLabelValues(route.Kind.String(), r.result).Inc()
	if r.longestPause > 0 {
		r.handler.Metrics.longestPause.Observe(r.longestPause.Seconds())
	}
	event := r.handler.Logger.Info()
	if r.result != "answered" {
		event = r.handler.Logger.Warn()
	} else if !r.handler.successLogLimiter.Allow() {
		r.handler.Metrics.suppressed.Inc()
		return
	}
	traces := zerolog.Arr()
	for _, a := range r.attempts {
		attempt := zerolog.Dict().Str("upstream", a.upstream).Str("outcome", outcomeNames[a.outcome]).
			Float64("queue_s", a.queue).Int("cached", a.cached).Int("fetched", a.fetched).Dur("took_ms", a.took)
		if a.limit.Limited {
			attempt = attempt.Float64("upstream_limit", a.limit.Rate).Dur("limit_age_ms", a.limitAge)
		}
		if a.hedge {
			attempt = attempt.Bool("hedge", true)
		}
		if a.err != nil {
			attempt = attempt.AnErr("error", a.err)
		}
		traces = traces.Dict(attempt)
	}
	if !r.firstByte.IsZero() {
		event = event.Dur("first_byte_ms", r.firstByte.Sub(r.request.ArrivedAt))
	}
	if r.longestPause > 0 {
		event = event.Dur("longest_pause_ms", r.longestPause).Dur("longest_write_ms", r.longestWrite)
	}
	if r.possibleRuns > 0 && r.result != "answered" {
		event = event.Strs("parts", partIDs(r.request.Parts[:min(len(r.request.Parts), maxLoggedParts)]))
	}
	if r.waited > 0 {
		event = event.Dur("waited_ms", r.waited)
	}
	if r.hedgeDenied != "" {
		event = event.Str("hedge_denied", string(r.hedgeDenied))
	}
	if r.retryDenied.Load() {
		event = event.Bool("retry_denied", true).Float64("retry_burst", r.view.RetryBurst)
	}
	event.Str("request", logged(r.request.ID)).Int("prompt_tokens", r.request.PromptTokens).
		Uint64("prefix", r.shared.Chain).Int("shared_tokens", r.shared.Tokens).
		Str("route", route.Name).Str("workspace", r.request.Workspace).
		Str("service", r.service).Str("result", r.result).Int("status", r.status).
		Int64("config_version", r.request.ConfigVersion).Dur("fleet_age_ms", time.Since(r.view.RegistryReadAt)).
		Dur("view_age_ms", r.request.ArrivedAt.Sub(r.view.PublishedAt)).
		Dur("took_ms", time.Since(r.request.ArrivedAt)).Array("attempts", traces).Msg("request ended")
}

func relayUpstream(u *routing.Upstream) relay.Upstream {
	return relay.Upstream{Key: u.Key(), Address: u.Address}
}
