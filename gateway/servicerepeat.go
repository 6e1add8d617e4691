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
	// hedgeShare of an attempt's timeout passes before a second attempt starts.
	hedgeShare = 20
	// hedgeMin and hedgeMax bound that time.
	hedgeMin = 20 * time.Millisecond
	hedgeMax = 500 * time.Millisecond
)

// attemptEnd is how one attempt of a repeatable call ended.
type attemptEnd struct {
	chosen *routing.Upstream
	answer *api.ServiceAnswer
	err    error
}

// callRepeatable tries upstreams until one answers or no further try is allowed.
func (g *Gateway) callRepeatable(ctx context.Context, c *serviceCall) serviceResult {
	excluded := map[string]bool{}
	ran := refusal.RanNo
	for attempts := 1; ; attempts++ {
		end, err := g.attemptHedged(ctx, c, excluded)
		if err != nil {
			return serviceResult{refused: noServiceUpstream(ran, err)}
		}
		if end.err == nil {
			return serviceResult{answer: end.answer}
		}
		sent := sentOf(end.err)
		if sent == retry.MaybeSent {
			ran = refusal.RanUnknown
		}
		failure := retry.Failure{Sent: sent, Repeatable: true, Attempts: attempts}
		if ctx.Err() != nil || !retry.Allowed(failure) || !g.takeRetry() {
			return serviceResult{refused: g.serviceFailed(end.chosen, ran, end.err)}
		}
		g.Metrics.Retries.WithLabelValues(c.service, retryCause(sent)).Inc()
	}
}

// attemptHedged makes one attempt, and a second in parallel if the first is slow and
// the operation allows it. The first answer counts. The error is that of routing.
func (g *Gateway) attemptHedged(ctx context.Context, c *serviceCall, excluded map[string]bool) (attemptEnd, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan attemptEnd, 2)
	start := func() error {
		chosen, err := g.pickService(c, excluded)
		if err != nil {
			return err
		}
		excluded[chosen.ID] = true
		go func() {
			answer, err := g.attemptService(ctx, c, chosen, g.sendPooled)
			ends <- attemptEnd{chosen: chosen, answer: answer, err: err}
		}()
		return nil
	}
	if err := start(); err != nil {
		return attemptEnd{}, err
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
		case end := <-ends:
			running--
			if end.err == nil || running == 0 {
				return end, nil
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
	return min(max(timeout/hedgeShare, hedgeMin), hedgeMax)
}
