package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/idempotency"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
)

const (
	// logRetryAfter is the retry delay while the log can't agree on a claim.
	logRetryAfter = 5 * time.Second
	// inProgressRetryAfter is the retry delay for a call that is in progress.
	inProgressRetryAfter = time.Second
	// outcomeWait is how long a repeated call waits for the outcome of the first.
	outcomeWait = 2 * time.Second
	// outcomeGrace is how long after its timeout a call's outcome may be recorded.
	outcomeGrace = 10 * time.Second
	// maxOutcomeBytes bounds an answer that is recorded in the log.
	maxOutcomeBytes = 8 << 10
	// maxClaims bounds the claims of one call, which claims again when the winner abandons
	// its claim.
	maxClaims = 3
)

// runDetached runs a call that continues when its caller disconnects. Only Abort cancels it.
func (g *Gateway) runDetached(ctx context.Context, run func(context.Context) serviceResult) serviceResult {
	results := make(chan serviceResult, 1)
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unlink := context.AfterFunc(g.lifetime, cancel)
	g.calls.Add(1)
	go func() {
		defer g.calls.Add(-1)
		defer cancel()
		defer unlink()
		results <- g.runRecovered(callCtx, run)
	}()
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		return serviceResult{refused: refusal.New(http.StatusServiceUnavailable, refusal.CodeCanceled,
			"the caller left; the call goes on").WithUnknownOutcome().WithCause("wait for answer", "", ctx.Err())}
	}
}

// runRecovered turns a panic into a refusal with an unknown outcome.
func (g *Gateway) runRecovered(ctx context.Context, run func(context.Context) serviceResult) (result serviceResult) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		g.Logger.Error().Interface("panic", cause).Bytes("stack", debug.Stack()).Msg("service call panicked")
		result = serviceResult{refused: refusal.New(http.StatusInternalServerError, refusal.CodeInternal, "internal error").WithUnknownOutcome()}
	}()
	return run(ctx)
}

// sendOnce sends a call that must not be repeated. It tries another upstream only while no
// byte can have been sent.
func (g *Gateway) sendOnce(ctx context.Context, c *serviceCall) serviceResult {
	excluded := map[string]bool{}
	for attempts := 1; ; attempts++ {
		chosen, err := g.pickService(c, excluded)
		if err != nil {
			return serviceResult{refused: noServiceUpstream(refusal.RanNo, err)}
		}
		excluded[chosen.ID] = true
		answer, err := g.attemptService(ctx, c, chosen, g.sendFresh)
		if err == nil {
			return serviceResult{answer: answer}
		}
		sent := sentOf(err)
		if sent == retry.MaybeSent {
			return serviceResult{refused: g.serviceFailed(chosen, refusal.RanUnknown, err)}
		}
		failure := retry.Failure{Sent: sent, Attempts: attempts}
		if ctx.Err() != nil || !retry.Allowed(failure) || !g.takeRetry() {
			return serviceResult{refused: g.serviceFailed(chosen, refusal.RanNo, err)}
		}
		g.Metrics.Retries.WithLabelValues(c.service, retryCause(sent)).Inc()
	}
}

// callClaimed runs a call under a key of the caller, which is claimed through the log.
func (g *Gateway) callClaimed(ctx context.Context, c *serviceCall, key string) serviceResult {
	claim := api.Claim{
		Workspace:   c.workspace,
		Key:         key,
		Fingerprint: c.fingerprint(),
		NodeID:      g.Settings.NodeID,
		Incarnation: g.Incarnation,
	}
	runsFor := c.timeout() + outcomeGrace
	for range maxClaims {
		claim.Attempt = uuid.NewString()
		decision, err := g.Claims.Acquire(ctx, claim, runsFor)
		if err != nil {
			return serviceResult{refused: refusal.New(http.StatusServiceUnavailable, refusal.CodeLogUnavailable,
				"the log can't agree on this key now; the call was not sent").
				WithCause("claim key", "", err).WithRetryAfter(jittered(logRetryAfter))}
		}
		if decision.Verdict == idempotency.Send {
			return g.sendClaimed(ctx, c, claim)
		}
		if decision.Verdict == idempotency.Wait {
			decision = g.Claims.Await(ctx, claim, runsFor, outcomeWait)
		}
		if decision.Verdict != idempotency.Claim {
			return repeatResult(decision)
		}
	}
	return serviceResult{refused: inProgress()}
}

// sendClaimed sends a call whose claim has won, and records its outcome.
func (g *Gateway) sendClaimed(ctx context.Context, c *serviceCall, claim api.Claim) serviceResult {
	result := g.sendOnce(ctx, c)
	if result.refused != nil && result.refused.Ran == refusal.RanNo {
		g.Claims.Release(claim)
		return result
	}
	outcome := api.Outcome{Workspace: claim.Workspace, Key: claim.Key, Attempt: claim.Attempt}
	if result.answer != nil {
		outcome.Status = result.answer.Status
	}
	if result.answer != nil && len(result.answer.Body) <= maxOutcomeBytes {
		outcome.Kept = true
		outcome.Header = result.answer.Header
		outcome.Body = result.answer.Body
	}
	g.Claims.Finish(outcome)
	return result
}

// repeatResult returns the result of a call whose key was claimed by another attempt.
func repeatResult(decision idempotency.Decision) serviceResult {
	switch decision.Verdict {
	case idempotency.Replay:
		return serviceResult{replayed: true, answer: &api.ServiceAnswer{
			Status: decision.Outcome.Status,
			Header: decision.Outcome.Header,
			Body:   decision.Outcome.Body,
		}}
	case idempotency.KeyReused:
		return serviceResult{refused: keyReused()}
	case idempotency.PossiblyUsed:
		return serviceResult{refused: outcomeUnknown("the key may have been used before the oldest record that this node knows of")}
	case idempotency.Unknown:
		if decision.Status != 0 {
			r := outcomeUnknown("the call ran, but its answer was not kept")
			r.Message += " (status " + http.StatusText(decision.Status) + ")"
			return serviceResult{refused: r}
		}
		return serviceResult{refused: outcomeUnknown("the call may have run and its answer is not known")}
	default:
		return serviceResult{refused: inProgress()}
	}
}

func inProgress() *refusal.Refusal {
	return refusal.New(http.StatusConflict, refusal.CodeInProgress,
		"a call with this key is under way").WithUnknownOutcome().WithRetryAfter(jittered(inProgressRetryAfter))
}

func keyReused() *refusal.Refusal {
	r := refusal.New(http.StatusUnprocessableEntity, refusal.CodeKeyReused, "the key was used for another call")
	r.Param = headerKey
	return r
}

func outcomeUnknown(message string) *refusal.Refusal {
	return refusal.New(http.StatusConflict, refusal.CodeOutcomeUnknown, "%s", message).WithUnknownOutcome()
}
