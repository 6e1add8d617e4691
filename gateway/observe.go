package gateway

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/routing"
)

// observation reports to routing what one attempt reveals about its upstream: load, speed
// and cached prefix.
type observation struct {
	gateway *Gateway
	call    *call
	chosen  *routing.Upstream
	attempt *routing.Attempt
	tokens  int
}

// observe begins an attempt at the chosen upstream.
func (g *Gateway) observe(c *call, chosen *routing.Upstream) *observation {
	return &observation{
		gateway: g,
		call:    c,
		chosen:  chosen,
		attempt: chosen.Tracker.Begin(time.Now(), c.priority, max(0, prompt.Tokens(c.text)-c.cached), chosen.QueuedByOtherNodes()),
	}
}

// chunk records a chunk of the answer.
func (o *observation) chunk(chunk api.ChatChunk) {
	if chunk.TokenCount > 0 {
		o.attempt.RecordFirstToken(time.Now())
		o.tokens += chunk.TokenCount
	}
	if chunk.Usage != nil && chunk.Usage.PromptTokensDetails != nil {
		cached := chunk.Usage.PromptTokensDetails.CachedTokens
		o.gateway.Metrics.CacheMissedTokens.WithLabelValues(o.call.service).Add(float64(chunk.Usage.PromptTokens - cached))
		if prefixes := o.gateway.Control.Snapshot().Fleet.Prefixes; prefixes != nil {
			prefixes.ObserveCacheHit(o.chosen.Holder, o.call.blocks, cached, o.call.cached)
		}
	}
}

// end ends the attempt.
func (o *observation) end() { o.attempt.End(time.Now(), o.tokens) }
