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
	// defaultRetryRatio bounds retries until the configuration says otherwise.
	defaultRetryRatio = 0.2
	// suspectFor is how long an upstream that failed is avoided.
	suspectFor = 3 * time.Second
	// noUpstreamRetry is when to ask again when no upstream was there.
	noUpstreamRetry = 2 * time.Second
)

// tracerName names the spans of this package.
const tracerName = "persimmonline/gateway"

// runState is what the attempts of one request have in common.
type runState struct {
	flight   *flight
	call     *call
	excluded map[string]bool
	// attempts counts failures that took from the retry budget.
	attempts int
	// silences counts connections that went silent.
	silences int
	// cause of the last failure; empty before the first.
	cause string
	// sameAgain is the upstream on which to go on, when only the connection failed.
	sameAgain *routing.Upstream
	// kv is the KV cache of the last attempt, if it could be exported.
	kv *api.KVImport
	// alonePending is reserved for the request and not idle yet.
	alonePending *routing.Upstream
	// aloneSince is when it was reserved.
	aloneSince time.Time
	// grantedAt is when the first owner of the prompt let it run here alone.
	grantedAt time.Time
	// askedAt is when it was asked last.
	askedAt time.Time
	// ran says whether any attempt may have run.
	ran refusal.Ran
}

// run answers a flight's call into its journal; nil means a whole answer.
func (g *Gateway) run(ctx context.Context, f *flight) *refusal.Refusal {
	c := f.callNow()
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

// newRunState starts where the journal ends; a journal that has chunks already comes
// from another holder.
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

// runAttempts tries upstreams until the answer is whole or no further try is allowed.
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
			g.noteAnswered(s.call, chosen)
			return nil
		}
		if ctx.Err() != nil {
			return givenUp(ctx)
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
			Str("cause", failed.cause).Int("tokens", s.flight.journal.Tokens()).Msg("attempt failed; the request goes on")
	}
}

// afterFailure decides what follows a failed attempt; nil means another one.
func (g *Gateway) afterFailure(s *runState, failed *failure, chosen *choice) *refusal.Refusal {
	s.cause = failed.cause
	s.kv = failed.kv
	s.sameAgain = nil
	switch failed.cause {
	case causeReclaim:
		s.excluded[chosen.ID] = true
		return nil
	case causeSilent:
		s.silences++
		if s.silences <= maxSilences {
			s.sameAgain = chosen.Upstream
			return nil
		}
	case causeRejected:
		return refusal.New(http.StatusBadRequest, refusal.CodeInvalidField,
			"the engine rejected the request: %v", failed.err).WithCause("run", chosen.ID, failed.err)
	}
	s.excluded[chosen.ID] = true
	s.attempts++
	g.Control.Offer(control.ContactFailed{HostID: chosen.ID, Until: time.Now().Add(suspectFor)})
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
		"upstreams failed %d times", s.attempts).WithCause("run", chosen.ID, failed.err).WithRetryAfter(jittered(noUpstreamRetry))
}

// choice is the upstream of one attempt.
type choice struct {
	*routing.Upstream
	// alone says that the upstream was reserved for the request.
	alone bool
	// onTrial says that the reservation lasts: a death of the upstream is put down to
	// the request.
	onTrial atomic.Bool
	// release ends the reservation; it may be called more than once.
	release func()
}

// chooseUpstream returns the upstream of the next attempt. When the upstream that runs
// the copies of a prompt is gone, it waits for news of why.
func (g *Gateway) chooseUpstream(ctx context.Context, s *runState) (*choice, *refusal.Refusal) {
	for tries := 0; ; tries++ {
		chosen, refused := g.chooseBySuspicion(ctx, s)
		if chosen != nil || refused != nil {
			return chosen, refused
		}
		if s.sameAgain != nil {
			return &choice{Upstream: s.sameAgain, release: func() {}}, nil
		}
		picked, err := g.pickAgain(ctx, s)
		if err != nil {
			return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeNoUpstream,
				"no upstream can take the request now").WithCause("route", "", err).WithRetryAfter(jittered(noUpstreamRetry))
		}
		if chosen := g.joinCopies(ctx, s, picked, tries); chosen != nil {
			return chosen, nil
		}
		pause(ctx, announceWait)
	}
}

// pickAgain picks an upstream that was not tried. An answer that has begun goes on at an
// upstream that failed it before, rather than not at all.
func (g *Gateway) pickAgain(ctx context.Context, s *runState) (*routing.Upstream, error) {
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
