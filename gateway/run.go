package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// defaultRetryRatio is the ratio of the retry budget without a configuration.
	defaultRetryRatio = 0.2
	// suspectPeriod is how long a failed upstream counts as suspect; routing picks a suspect
	// upstream only as a last resort.
	suspectPeriod = 3 * time.Second
	// noUpstreamRetryAfter is the retry delay when no upstream is available.
	noUpstreamRetryAfter = 2 * time.Second
)

// tracerName names the spans of this package.
const tracerName = "persimmonline/gateway"

// runState is the state shared by the attempts of one request.
type runState struct {
	flight   *flight
	call     *call
	excluded map[string]bool
	// attempts counts the failures that are limited by the retry policy.
	attempts int
	// silentConnections counts connections without progress.
	silentConnections int
	// cause of the last failure; empty before the first.
	cause string
	// sameUpstream is the upstream to resume at, when only the connection failed.
	sameUpstream *routing.Upstream
	// kv is the KV cache of the last attempt, if it could be exported.
	kv *api.KVImport
	// pendingReservation is the upstream that is reserved for the request, but not in use yet.
	pendingReservation *routing.Upstream
	// reservedAt is when pendingReservation was reserved.
	reservedAt time.Time
	// grantedAt is when the primary owner of the prompt last allowed an isolated run here.
	grantedAt time.Time
	// requestedAt is when the primary owner was last asked for a grant.
	requestedAt time.Time
	// ran reports whether any attempt may have run.
	ran refusal.Ran
}

// run admits and runs a flight's call, and writes the answer to the journal; nil means that
// the answer is complete.
func (g *Gateway) run(ctx context.Context, f *flight) *refusal.Refusal {
	c := f.currentCall()
	if !f.isAccepted() {
		done, refused := g.admit(ctx, c)
		if refused != nil {
			return refused
		}
		defer done()
		f.accept()
	}
	g.Metrics.InFlight.Inc()
	defer g.Metrics.InFlight.Dec()
	return g.runAttempts(ctx, newRunState(f, c))
}

// newRunState returns the initial state. A journal that already has chunks comes from
// another holder.
func newRunState(f *flight, c *call) *runState {
	state := &runState{flight: f, call: c, excluded: map[string]bool{}, ran: refusal.RanNo}
	if f.journal.Progress().Chunks > 0 {
		state.ran = refusal.RanUnknown
		state.cause = causeHolderLost
	}
	if f.lastEngine() != "" {
		state.cause = causeHandover
	}
	return state
}

// runAttempts tries upstreams until the answer is complete or no further attempt is allowed.
func (g *Gateway) runAttempts(ctx context.Context, s *runState) *refusal.Refusal {
	g.countRequest()
	if s.cause == causeHandover {
		s.kv = g.exportKV(ctx, s.flight.lastEngine(), s.call.id)
	}
	for {
		chosen, refused := g.chooseUpstream(ctx, s)
		if refused != nil {
			refused.Ran = s.ran
			return refused
		}
		failed := g.attempt(ctx, s, chosen)
		chosen.release()
		if failed == nil {
			g.recordAnswered(s.call, chosen)
			return nil
		}
		if ctx.Err() != nil {
			return contextRefusal(ctx)
		}
		if failed.sent == retry.MaybeSent {
			s.ran = refusal.RanUnknown
		}
		if refused := g.afterFailure(s, failed, chosen); refused != nil {
			refused.Ran = s.ran
			return refused
		}
		g.Metrics.Retries.WithLabelValues(s.call.service, failed.cause).Inc()
		g.Logger.Info().Err(failed.err).Str("request", s.call.id).Str("upstream", chosen.ID).
			Str("cause", failed.cause).Int("tokens", s.flight.journal.Tokens()).Msg("attempt failed; retrying")
	}
}

// afterFailure decides what follows a failed attempt; nil means another attempt.
func (g *Gateway) afterFailure(s *runState, failed *failure, chosen *choice) *refusal.Refusal {
	s.cause = failed.cause
	s.kv = failed.kv
	s.sameUpstream = nil
	switch failed.cause {
	case causeReclaim:
		s.excluded[chosen.ID] = true
		return nil
	case causeSilent:
		s.silentConnections++
		if s.silentConnections <= maxSilentConnections {
			s.sameUpstream = chosen.Upstream
			return nil
		}
	case causeRejected:
		return refusal.New(http.StatusBadRequest, refusal.CodeInvalidField,
			"the engine rejected the request: %v", failed.err).WithCause("run", chosen.ID, failed.err)
	}
	s.excluded[chosen.ID] = true
	s.attempts++
	g.Control.Offer(control.ContactFailed{HostID: chosen.ID, Until: time.Now().Add(suspectPeriod)})
	failure := retry.Failure{
		Sent:                failed.sent,
		Repeatable:          true,
		Attempts:            s.attempts,
		UpstreamUnreachable: failed.cause == causeCrash || failed.cause == causeLost,
		AnswerStarted:       s.flight.journal.Progress().Chunks > 0,
	}
	if retry.Allowed(failure) && (!retry.ConsumesBudget(failure) || g.takeRetry()) {
		return nil
	}
	return refusal.New(http.StatusBadGateway, refusal.CodeUpstreamFailed,
		"upstreams failed %d times", s.attempts).WithCause("run", chosen.ID, failed.err).WithRetryAfter(jittered(noUpstreamRetryAfter))
}

// choice is the upstream of one attempt.
type choice struct {
	*routing.Upstream
	// isolated is set if the upstream was reserved for the request.
	isolated bool
	// blamable is set while the reservation lasts: a crash of the upstream is then
	// attributed to the request.
	blamable atomic.Bool
	// release ends the reservation or leaves the copy group; it is idempotent.
	release func()
}

// chooseUpstream returns the upstream of the next attempt. If the upstream of the prompt's
// copy group is unavailable, it first waits, so that a report of a crash can arrive.
func (g *Gateway) chooseUpstream(ctx context.Context, s *runState) (*choice, *refusal.Refusal) {
	for attempts := 0; ; attempts++ {
		chosen, refused := g.chooseForSuspect(ctx, s)
		if chosen != nil || refused != nil {
			return chosen, refused
		}
		if s.sameUpstream != nil {
			return &choice{Upstream: s.sameUpstream, release: func() {}}, nil
		}
		picked, err := g.pickUntried(ctx, s)
		if err != nil {
			return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeNoUpstream,
				"no upstream can take the request now").WithCause("route", "", err).WithRetryAfter(jittered(noUpstreamRetryAfter))
		}
		if chosen := g.joinCopyGroup(ctx, s, picked, attempts); chosen != nil {
			return chosen, nil
		}
		sleep(ctx, announceDelay)
	}
}

// pickUntried picks an upstream that was not tried. An answer that has begun may resume at
// an upstream that failed before, rather than fail altogether.
func (g *Gateway) pickUntried(ctx context.Context, s *runState) (*routing.Upstream, error) {
	picked, err := g.pickUnreserved(ctx, s)
	if errors.Is(err, routing.ErrNoUpstream) && len(s.excluded) > 0 && s.flight.journal.Progress().Chunks > 0 {
		clear(s.excluded)
		return g.pickUnreserved(ctx, s)
	}
	return picked, err
}

func (g *Gateway) countRequest() {
	ratio := defaultRetryRatio
	if index := g.Control.Snapshot().Index; index != nil {
		ratio = index.Config.Policy.RetryRatio
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetRatio(ratio)
	g.budget.RecordRequest()
}

func (g *Gateway) takeRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.TakeRetry()
}
