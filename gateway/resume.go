package gateway

import (
	"context"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/retry"
)

// resume returns the point at which an attempt resumes; nil for the start. It picks the
// cheapest mode, and discards an exported KV cache that the mode does not import.
func (g *Gateway) resume(a *attempt) *api.ChatResume {
	progress := a.state.flight.journal.Progress()
	a.offset = progress.Tokens
	kv := a.state.kv
	if progress.Tokens == 0 && kv == nil {
		return nil
	}
	a.resumeMode = retry.CheapestResumeMode(retry.Resume{
		PromptTokens: prompt.Tokens(a.state.call.text),
		AnswerTokens: progress.Tokens,
		CachedTokens: a.state.call.cached,
		KVAvailable:  kv != nil,
	})
	if a.resumeMode != retry.FromKV {
		kv = nil
		a.state.kv = nil
	}
	if progress.Tokens == 0 && kv == nil {
		return nil
	}
	return &api.ChatResume{Offset: progress.Tokens, Text: progress.Text, KV: kv}
}

// exportKV exports the KV cache of a request from an engine; nil when that fails.
func (g *Gateway) exportKV(ctx context.Context, address, requestID string) *api.KVImport {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := g.Pool.Get(address).ExportKV(ctx, requestID)
	if err != nil {
		g.Logger.Debug().Err(err).Str("request", requestID).Msg("KV cache not exported")
		return nil
	}
	return &api.KVImport{Tokens: state.Tokens, Data: state.Data}
}

// countRecomputed adds the tokens that an attempt recomputed to the metrics.
func (g *Gateway) countRecomputed(a *attempt) {
	isRetry := a.state.cause != "" && a.state.cause != causeNotSent
	if !isRetry || (a.usage == nil && !a.progress) {
		return
	}
	promptTokens := prompt.Tokens(a.state.call.text)
	cached := 0
	if a.usage != nil {
		promptTokens = a.usage.PromptTokens
		if a.usage.PromptTokensDetails != nil {
			cached = a.usage.PromptTokensDetails.CachedTokens
		}
	}
	g.Metrics.RecomputedTokens.WithLabelValues(a.state.cause).Add(float64(recomputed(a, promptTokens, cached)))
}

// recomputed returns how many tokens of the prompt and of the existing answer a further
// attempt recomputed.
func recomputed(a *attempt, promptTokens, cached int) int {
	if a.state.kv != nil {
		return max(0, promptTokens+a.offset-max(a.state.kv.Tokens, cached))
	}
	return max(0, promptTokens-cached) + a.offset
}

// totalUsage returns the usage of the complete answer. An engine that resumed an answer may
// have counted only its own part.
func totalUsage(reported api.ChatUsage, answerTokens int) *api.ChatUsage {
	if answerTokens > 0 {
		reported.CompletionTokens = answerTokens
	}
	reported.TotalTokens = reported.PromptTokens + reported.CompletionTokens
	return &reported
}

// completeUsage adds the usage, as counted by this node, to an answer whose stream broke
// between its last token and its usage.
func (g *Gateway) completeUsage(a *attempt, journal *exchange.Exchange) {
	progress := journal.Progress()
	if progress.HasUsage {
		return
	}
	promptTokens := prompt.Tokens(a.state.call.text)
	journal.Append(a.number, api.ChatChunk{
		ID:          answerID(a.state.call.id),
		Object:      "chat.completion.chunk",
		Created:     time.Now().Unix(),
		Model:       a.state.call.service,
		Choices:     []api.ChatChunkChoice{},
		Usage:       totalUsage(api.ChatUsage{PromptTokens: promptTokens}, progress.Tokens),
		TokenOffset: progress.Tokens,
	})
}
