package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/upstream"
)

// maxReattach is how often a relay reattaches without progress before its holder is
// considered lost.
const maxReattach = 2

// errHolderUnknown is returned when the holder does not know the request.
var errHolderUnknown = errors.New("the holder does not know the request")

// relay copies the answer from the node that runs the request. If that node is lost, this
// node takes over, provided that it knows the request. The second result reports whether
// the answer has ended.
func (g *Gateway) relay(ctx context.Context, f *flight, holder *api.PeerMoved) (*refusal.Refusal, bool) {
	var cause error
	for failures := 0; failures <= maxReattach; failures++ {
		before := f.journal.Progress().Chunks
		last, err := g.relayOnce(ctx, f, holder)
		if ctx.Err() != nil {
			return contextRefusal(ctx), false
		}
		if err == nil && last.Moved != nil && last.Moved.NodeID != g.Settings.NodeID {
			f.follow(*last.Moved, false)
			return nil, false
		}
		if err == nil && last.Moved == nil && !holderStopped(last.Refused) {
			return last.Refused, true
		}
		cause = errors.Join(err, refusalError(last.Refused))
		if err == nil || errors.Is(err, errHolderUnknown) {
			break
		}
		g.Peers.Retire(holder.Address)
		if f.journal.Progress().Chunks > before {
			failures = 0
		}
	}
	g.Logger.Warn().Err(cause).Str("request", f.journal.ID).Str("peer", holder.NodeID).Msg("holder of request lost")
	if f.takeOver() {
		g.Metrics.Retries.WithLabelValues(f.currentCall().service, causeHolderLost).Inc()
		return nil, false
	}
	return refusal.New(http.StatusBadGateway, refusal.CodeUpstreamFailed,
		"the node that runs the request can't be reached; ask again with the same request id").
		WithUnknownOutcome().WithCause("relay answer", holder.NodeID, cause).WithRetryAfter(jittered(noUpstreamRetryAfter)), true
}

// refusalError returns a refusal as an error; nil when there is none.
func refusalError(refused *refusal.Refusal) error {
	if refused == nil {
		return nil
	}
	return refused
}

// holderStopped reports whether a holder abandoned the request because it stopped, not
// because of the request.
func holderStopped(refused *refusal.Refusal) bool {
	return refused != nil && (refused.Code == refusal.CodeCanceled || refused.Code == refusal.CodeDraining)
}

// relayOnce copies the answer over one connection and returns its last event.
func (g *Gateway) relayOnce(ctx context.Context, f *flight, holder *api.PeerMoved) (last peer.Event, err error) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "relay")
	span.SetAttributes(attribute.String("request.id", f.journal.ID), attribute.String("peer.id", holder.NodeID))
	defer func() {
		span.SetAttributes(attribute.String("result", relayResult(last, err)))
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(peer.SilenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	answer, err := g.openAnswer(ctx, f, holder)
	if err != nil {
		return last, err
	}
	defer answer.Close()
	attempt := f.journal.BeginAttempt()
	for {
		event, err := answer.Next()
		if err != nil {
			return last, err
		}
		watchdog.Reset(peer.SilenceTimeout)
		if event.Opened != nil {
			f.journal.RecordOpened(*event.Opened)
		}
		if event.Chunk != nil {
			f.journal.Append(attempt, *event.Chunk)
		}
		if event.Done || event.Refused != nil || event.Moved != nil {
			return event, nil
		}
	}
}

// openAnswer sends the request to its holder, or attaches at the end of the journal if the
// holder already has the request.
func (g *Gateway) openAnswer(ctx context.Context, f *flight, holder *api.PeerMoved) (*peer.Answer, error) {
	if f.consumeHandOff() {
		return g.Peers.Chat(ctx, holder.Address, f.currentCall().peerChat())
	}
	answer, err := g.Peers.Attach(ctx, holder.Address, api.PeerAttach{
		RequestID: f.journal.ID,
		Workspace: f.journal.Workspace,
		From:      f.journal.Progress().Chunks,
	})
	var failed *upstream.Error
	if errors.As(err, &failed) && failed.Status == http.StatusNotFound {
		return nil, errHolderUnknown
	}
	return answer, err
}

func relayResult(last peer.Event, err error) string {
	switch {
	case err != nil:
		return "failed"
	case last.Moved != nil:
		return "moved"
	case last.Refused != nil:
		return resultRefused
	default:
		return resultAnswered
	}
}
