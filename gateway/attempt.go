package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/upstream"
)

// Causes of a further attempt, as labels of metrics.
const (
	causeNotSent    = "not_sent"
	causeBroken     = "broken"
	causeSilent     = "silent"
	causeCrash      = "crash"
	causeLost       = "lost"
	causeReclaim    = "reclaim"
	causeRejected   = "rejected"
	causeHandover   = "handover"
	causeHolderLost = "holder_lost"
)

// failure describes a failed attempt.
type failure struct {
	// cause names the failure.
	cause string
	// sent reports whether the request may have reached the upstream.
	sent retry.SendState
	// kv is the exported KV cache; nil when there is none.
	kv *api.KVImport
	// err is the observed error.
	err error
}

// attempt is one run of a call at one upstream.
type attempt struct {
	state      *runState
	chosen     *choice
	number     int
	started    time.Time
	resumeMode retry.ResumeMode
	offset     int
	progress   bool
	usage      *api.ChatUsage
	cancel     context.CancelCauseFunc
	watchdog   *watchdog
	observed   *observation

	mu sync.Mutex
	// kv is the KV cache that was exported before the upstream left.
	kv *api.KVImport
}

// attempt runs the call at one upstream, resuming at the end of the journal.
func (g *Gateway) attempt(ctx context.Context, s *runState, chosen *choice) *failure {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "attempt")
	defer span.End()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{
		state:   s,
		chosen:  chosen,
		number:  s.flight.journal.BeginAttempt(),
		started: time.Now(),
		cancel:  cancel,
	}
	a.observed = g.observe(s.call, chosen.Upstream)
	defer a.observed.end()
	g.running.Store(a, attemptCtx)
	defer g.running.Delete(a)
	s.flight.setEngine(chosen.Address)

	err := g.runAttempt(attemptCtx, a)
	g.countRecomputed(a)
	if err == nil {
		g.endAttempt(span, a, resultAnswered, nil)
		return nil
	}
	unblock := g.blockDuringDiagnosis(fingerprint(s.call))
	failed := g.diagnose(ctx, a, context.Cause(attemptCtx), err)
	unblock()
	g.endAttempt(span, a, failed.cause, err)
	return failed
}

// runAttempt starts the stream and copies it into the journal.
func (g *Gateway) runAttempt(ctx context.Context, a *attempt) error {
	c := a.state.call
	body, err := c.engineBody(g.resume(a))
	if err != nil {
		return err
	}
	a.watchdog = newWatchdog(a.cancel, deadlines(prompt.Tokens(c.text), a.state.silentConnections))
	defer a.watchdog.stop()
	stream, err := g.Pool.Get(a.chosen.Address).Chat(ctx, c.id, c.priority, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	a.watchdog.enter(stageFirstChunk)
	return g.copyStream(a, stream)
}

// copyStream appends the chunks of an attempt to the journal until the answer is complete.
func (g *Gateway) copyStream(a *attempt, stream *upstream.Stream) error {
	c, journal := a.state.call, a.state.flight.journal
	var last time.Time
	for {
		chunk, err := stream.Next()
		if err != nil && journal.Progress().Finished {
			g.completeUsage(a, journal)
			return nil
		}
		if errors.Is(err, io.EOF) {
			return &upstream.Error{Step: "read chat stream", Peer: a.chosen.Address, Sent: retry.MaybeSent, Err: upstream.ErrStreamTruncated}
		}
		if err != nil {
			return err
		}
		a.watchdog.enter(stageNextChunk)
		now := time.Now()
		if !last.IsZero() {
			g.Metrics.BetweenTokens.WithLabelValues(c.service).Observe(now.Sub(last).Seconds())
		}
		last = now
		a.observe(chunk)
		g.appendChunk(a, journal, chunk)
	}
}

// appendChunk appends one chunk to the journal, with the ids and the usage that the
// caller sees.
func (g *Gateway) appendChunk(a *attempt, journal *exchange.Exchange, chunk api.ChatChunk) {
	chunk.ID = answerID(a.state.call.id)
	chunk.Model = a.state.call.service
	if chunk.Usage != nil {
		reported := *chunk.Usage
		a.usage = &reported
		chunk.Usage = totalUsage(reported, journal.Tokens())
	}
	first := !a.progress
	appended := journal.Append(a.number, chunk)
	if first {
		// Let the goroutine that writes to the caller run before the next chunk is decoded.
		runtime.Gosched()
	}
	a.progress = a.progress || (appended && chunk.TokenCount > 0)
	if a.chosen.isolated && journal.Tokens() >= a.offset+isolationTokens {
		a.chosen.release()
	}
}

// observe reports a chunk to routing, without usage after a KV import: the cached tokens
// are then those of the import, not of the engine's prefix cache.
func (a *attempt) observe(chunk api.ChatChunk) {
	if a.resumeMode == retry.FromKV {
		chunk.Usage = nil
	}
	a.observed.chunk(chunk)
}

// endAttempt records the metrics and span attributes of an attempt.
func (g *Gateway) endAttempt(span trace.Span, a *attempt, result string, err error) {
	took := time.Since(a.started)
	counted := resultAnswered
	if err != nil {
		counted = "failed"
		span.SetStatus(codes.Error, err.Error())
	}
	span.SetAttributes(
		attribute.String("request.id", a.state.call.id),
		attribute.String("upstream.id", a.chosen.ID),
		attribute.String("upstream.data_centre", a.chosen.DataCentre),
		attribute.String("step", a.resumeMode.String()),
		attribute.Int("token_offset", a.offset),
		attribute.Bool("alone", a.chosen.isolated),
		attribute.String("result", result),
	)
	g.Metrics.Attempts.WithLabelValues(a.state.call.service, counted).Inc()
	g.Metrics.Cost.WithLabelValues(a.state.call.workspace).Add(a.chosen.PricePerSecond * took.Seconds())
}

func (a *attempt) setKV(kv *api.KVImport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kv = kv
}

func (a *attempt) exportedKV() *api.KVImport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.kv
}

// diagnose determines why an attempt failed, and exports its KV cache where possible.
func (g *Gateway) diagnose(ctx context.Context, a *attempt, cause, err error) *failure {
	failed := &failure{err: err, sent: sentOf(err)}
	var upstreamErr *upstream.Error
	_ = errors.As(err, &upstreamErr)
	switch {
	case ctx.Err() != nil:
		failed.cause = causeBroken
	case errors.Is(cause, errMoved):
		failed.cause, failed.kv = causeReclaim, a.exportedKV()
	case errors.Is(cause, errSilent):
		g.diagnoseSilence(ctx, a, failed)
	case upstreamErr != nil && rejects(upstreamErr.Status):
		failed.cause = causeRejected
	case failed.sent == retry.NotSent:
		failed.cause = causeNotSent
	default:
		g.diagnoseBreak(ctx, a, failed)
	}
	return failed
}

// rejects reports whether an engine's status means that the request itself is at fault.
func rejects(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge || status == http.StatusUnprocessableEntity
}

// diagnoseSilence probes the upstream on a new connection. If it is alive, only the old
// connection stalled: the old stream is canceled and the request resumes at the same
// upstream.
func (g *Gateway) diagnoseSilence(ctx context.Context, a *attempt, failed *failure) {
	if g.probe(ctx, a.chosen) != upstreamAlive {
		failed.cause = causeLost
		return
	}
	failed.cause = causeSilent
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := g.Pool.Get(a.chosen.Address).Cancel(ctx, a.state.call.id); err != nil {
		g.Logger.Warn().Err(err).Str("request", a.state.call.id).Msg("failed to cancel stalled stream at engine")
	}
	failed.kv = g.exportKV(ctx, a.chosen.Address, a.state.call.id)
}

// diagnoseBreak distinguishes a broken connection from a crashed upstream.
func (g *Gateway) diagnoseBreak(ctx context.Context, a *attempt, failed *failure) {
	switch g.probe(ctx, a.chosen) {
	case upstreamAlive:
		failed.cause = causeBroken
		failed.kv = g.exportKV(ctx, a.chosen.Address, a.state.call.id)
	case upstreamDied:
		failed.cause = causeCrash
		if g.isLeaving(a.chosen.ID) {
			failed.cause = causeReclaim
			return
		}
		g.recordCrash(a)
	default:
		failed.cause = causeLost
	}
}

// sentOf reports whether the request of a failed attempt may have reached the upstream;
// after an unknown error it may have.
func sentOf(err error) retry.SendState {
	var upstreamErr *upstream.Error
	if errors.As(err, &upstreamErr) {
		return upstreamErr.Sent
	}
	return retry.MaybeSent
}

// retryCause returns the cause of a further attempt of a service call.
func retryCause(sent retry.SendState) string {
	if sent == retry.NotSent {
		return causeNotSent
	}
	return causeBroken
}
