package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/upstream"
)

const (
	// defaultRetryRatio bounds retries until the configuration says otherwise.
	defaultRetryRatio = 0.2
	// firstChunkTimeout bounds the wait for the first chunk of an attempt.
	firstChunkTimeout = 20 * time.Second
	// nextChunkTimeout bounds the wait for each further chunk.
	nextChunkTimeout = 5 * time.Second
	// suspectFor is how long an upstream that failed is avoided.
	suspectFor = 3 * time.Second
	// noUpstreamRetry is when to ask again when no upstream was there.
	noUpstreamRetry = 2 * time.Second
)

// tracerName names the spans of this package.
const tracerName = "persimmonline/gateway"

// errSilent says that an upstream sent nothing within its progress deadline.
var errSilent = errors.New("no progress within the deadline")

// run answers a call into its journal; nil means a whole answer.
func (g *Gateway) run(ctx context.Context, c *call, journal *exchange.Exchange) *refusal.Refusal {
	fingerprint := prompt.Fingerprint(c.text)
	if g.verdict(fingerprint) == quarantine.Refuse {
		return refusal.New(http.StatusUnprocessableEntity, refusal.CodePoison,
			"this request crashed the upstreams that ran it and is not run again")
	}
	done, refused := g.admit(ctx, c)
	if refused != nil {
		return refused
	}
	defer done()
	g.Metrics.InFlight.Inc()
	defer g.Metrics.InFlight.Dec()
	return g.attempts(ctx, c, journal, fingerprint)
}

// attempts tries upstreams until the answer is whole or no further try is allowed.
func (g *Gateway) attempts(ctx context.Context, c *call, journal *exchange.Exchange, fingerprint uint64) *refusal.Refusal {
	excluded := map[string]bool{}
	ran := refusal.RanNo
	g.countRequest()
	for attempts := 1; ; attempts++ {
		chosen, err := g.pick(c, excluded)
		if err != nil {
			r := refusal.New(http.StatusServiceUnavailable, refusal.CodeNoUpstream,
				"no upstream can take the request now").At("route", "", err).After(jittered(noUpstreamRetry))
			r.Ran = ran
			return r
		}
		failed := g.attempt(ctx, c, journal, chosen)
		if failed == nil {
			return nil
		}
		excluded[chosen.ID] = true
		sent := sentOf(failed)
		if sent == retry.MaybeSent {
			ran = refusal.RanUnknown
			g.noteBreak(ctx, failed, fingerprint)
		}
		g.Control.Offer(control.ContactFailed{HostID: chosen.ID, Until: time.Now().Add(suspectFor)})
		if refused := g.next(ctx, c, attempts, sent, failed); refused != nil {
			refused.Ran = ran
			return refused
		}
		g.Metrics.Retries.WithLabelValues(c.service, retryCause(sent)).Inc()
	}
}

// next says whether a further attempt may follow a failed one; nil means yes.
func (g *Gateway) next(ctx context.Context, c *call, attempts int, sent retry.Sent, failed error) *refusal.Refusal {
	if ctx.Err() != nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeCanceled,
			"the request was canceled").At("run", "", ctx.Err())
	}
	failure := retry.Failure{Sent: sent, Repeatable: true, Attempts: attempts}
	if retry.Allowed(failure) && g.takeRetry() {
		g.Logger.Info().Err(failed).Str("request", c.id).Int("attempts", attempts).Msg("attempt failed; trying another upstream")
		return nil
	}
	return refusal.New(http.StatusBadGateway, refusal.CodeUpstreamFailed,
		"upstreams failed %d times", attempts).At("run", "", failed).After(jittered(noUpstreamRetry))
}

// attempt runs the call at one upstream, from where the journal ends.
func (g *Gateway) attempt(ctx context.Context, c *call, journal *exchange.Exchange, chosen *routing.Upstream) (err error) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "attempt")
	span.SetAttributes(
		attribute.String("request.id", c.id),
		attribute.String("upstream.id", chosen.ID),
		attribute.String("upstream.data_centre", chosen.DataCentre),
	)
	started := time.Now()
	defer func() {
		g.endAttempt(c, chosen, time.Since(started), err)
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}()
	observed := g.observe(c, chosen)
	defer observed.end()

	body, err := c.engineBody(resumeFrom(journal))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(firstChunkTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	stream, err := g.Pool.Get(chosen.Address).Chat(ctx, c.id, c.priority, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	return g.copyStream(c, journal, stream, watchdog, observed)
}

// copyStream appends the chunks of an attempt to the journal until the answer is whole.
func (g *Gateway) copyStream(c *call, journal *exchange.Exchange, stream *upstream.Stream, watchdog *time.Timer, observed *observation) error {
	finished := false
	last := time.Time{}
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) && finished {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return &upstream.Error{Step: "read chat stream", Sent: retry.MaybeSent, Err: upstream.ErrBroken}
		}
		if err != nil {
			return err
		}
		watchdog.Reset(nextChunkTimeout)
		observed.chunk(chunk)
		if now := time.Now(); last.IsZero() {
			last = now
		} else {
			g.Metrics.BetweenTokens.WithLabelValues(c.service).Observe(now.Sub(last).Seconds())
			last = now
		}
		chunk.ID = answerID(c.id)
		chunk.Model = c.service
		journal.Append(chunk)
		finished = finished || isLast(chunk)
	}
}

func isLast(chunk api.ChatChunk) bool {
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			return true
		}
	}
	return false
}

// resumeFrom returns where a further attempt goes on; nil for the first.
func resumeFrom(journal *exchange.Exchange) *api.ChatResume {
	tokens, text := journal.Tokens()
	if tokens == 0 {
		return nil
	}
	return &api.ChatResume{Offset: tokens, Text: text}
}

func (g *Gateway) endAttempt(c *call, chosen *routing.Upstream, took time.Duration, err error) {
	result := resultAnswered
	if err != nil {
		result = "failed"
	}
	g.Metrics.Attempts.WithLabelValues(c.service, result).Inc()
	g.Metrics.Cost.WithLabelValues(c.workspace).Add(chosen.PricePerSecond * took.Seconds())
}

// noteBreak suspects the request when its upstream broke off and can't be reached
// any more.
func (g *Gateway) noteBreak(ctx context.Context, failed error, fingerprint uint64) {
	var attempt *upstream.Error
	if !errors.As(failed, &attempt) || attempt.Peer == "" || attempt.Status != 0 {
		return
	}
	g.Pool.Retire(attempt.Peer)
	probeCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := g.Pool.Get(attempt.Peer).Load(probeCtx); err == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Crash(fingerprint, time.Now())
}

func (g *Gateway) verdict(fingerprint uint64) quarantine.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Verdict(fingerprint, time.Now())
}

func (g *Gateway) countRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Request()
}

func (g *Gateway) takeRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Retry()
}

// sentOf says how far a failed attempt got; an unknown error may have run.
func sentOf(err error) retry.Sent {
	var attempt *upstream.Error
	if errors.As(err, &attempt) {
		return attempt.Sent
	}
	return retry.MaybeSent
}

func retryCause(sent retry.Sent) string {
	if sent == retry.NotSent {
		return "not_sent"
	}
	return "broken"
}
