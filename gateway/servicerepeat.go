package gateway

import (
	"context"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// hedgeDivisor sets the delay before a hedged attempt: the timeout divided by it.
	hedgeDivisor = 20
	// hedgeMin and hedgeMax bound that delay.
	hedgeMin = 20 * time.Millisecond
	hedgeMax = 500 * time.Millisecond
)

// attemptResult is the result of one attempt of a repeatable call.
type attemptResult struct {
	chosen *routing.Upstream
	answer *api.ServiceAnswer
	err    error
}

// callRepeatable tries upstreams until one answers or no further attempt is allowed.
func (g *Gateway) callRepeatable(ctx context.Context, c *serviceCall) serviceResult {
	excluded := map[string]bool{}
	ran := refusal.RanNo
	for attempts := 1; ; attempts++ {
		result, err := g.attemptHedged(ctx, c, excluded)
		if err != nil {
			return serviceResult{refused: noServiceUpstream(ran, err)}
		}
		if result.err == nil {
			return serviceResult{answer: result.answer}
		}
		sent := sentOf(result.err)
		if sent == retry.MaybeSent {
			ran = refusal.RanUnknown
		}
		failure := retry.Failure{Sent: sent, Repeatable: true, Attempts: attempts}
		if ctx.Err() != nil || !retry.Allowed(failure) || !g.takeRetry() {
			return serviceResult{refused: g.serviceFailed(result.chosen, ran, result.err)}
		}
		g.Metrics.Retries.WithLabelValues(c.service, retryCause(sent)).Inc()
	}
}

// attemptHedged makes one attempt, and a second one in parallel if the first is slow and
// the operation allows hedging. The first answer wins. The error is that of routing.
func (g *Gateway) attemptHedged(ctx context.Context, c *serviceCall, excluded map[string]bool) (attemptResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	start := func() error {
		chosen, err := g.pickService(c, excluded)
		if err != nil {
			return err
		}
		excluded[chosen.ID] = true
		go func() {
			answer, err := g.attemptService(ctx, c, chosen, g.sendPooled)
			results <- attemptResult{chosen: chosen, answer: answer, err: err}
		}()
		return nil
	}
	if err := start(); err != nil {
		return attemptResult{}, err
	}
	running := 1
	var hedge <-chan time.Time
	if c.operation.Hedge {
		timer := time.NewTimer(hedgeAfter(c.timeout()))
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case result := <-results:
			running--
			if result.err == nil || running == 0 {
				return result, nil
			}
		case <-hedge:
			hedge = nil
			if g.takeRetry() && start() == nil {
				running++
				g.Metrics.Retries.WithLabelValues(c.service, "hedge").Inc()
			}
		}
	}
}

func hedgeAfter(timeout time.Duration) time.Duration {
	return min(max(timeout/hedgeDivisor, hedgeMin), hedgeMax)
}
