package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/refusal"
)

// Results of a request in metrics.
const (
	resultAnswered = "answered"
	resultRefused  = "refused"
	resultCut      = "cut"
)

// source is an answer that is still being produced.
type source interface {
	Next(ctx context.Context, from int) (exchange.Page, error)
}

// writeStream sends the chunks of an answer, starting at index from, as server-sent
// events whose ids are the indexes of the chunks in the journal. A refusal before the
// first chunk is a plain error response; a later one is an error event without [DONE],
// so that no client treats the answer as complete.
func (g *Gateway) writeStream(ctx context.Context, w http.ResponseWriter, c *call, answer source, from int) {
	controller := http.NewResponseController(w)
	started := time.Now()
	sent := from
	streaming := false
	for {
		page, err := answer.Next(ctx, sent)
		if err != nil {
			g.endStream(ctx, w, c, streaming, err)
			return
		}
		if !streaming && (len(page.Chunks) > 0 || page.Done && page.Refused == nil) {
			streaming = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-cache")
			if from == 0 {
				g.Metrics.FirstToken.WithLabelValues(c.service).Observe(time.Since(started).Seconds())
			}
		}
		for _, chunk := range page.Chunks {
			if err := writeEvent(w, c, chunk, sent); err != nil {
				g.endStream(ctx, w, c, streaming, err)
				return
			}
			sent++
		}
		if page.Done {
			g.finishStream(w, c, streaming, page.Refused)
			return
		}
		_ = controller.Flush()
	}
}

// writeEvent sends one chunk; usage is included only if the caller requested it.
func writeEvent(w http.ResponseWriter, c *call, chunk api.ChatChunk, index int) error {
	if !c.wantsUsage() {
		if len(chunk.Choices) == 0 {
			return nil
		}
		chunk.Usage = nil
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return fmt.Errorf("encode chunk %d of request %s: %w", index, c.id, err)
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, data)
	return err
}

func (g *Gateway) finishStream(w http.ResponseWriter, c *call, streaming bool, refused *refusal.Refusal) {
	if refused == nil {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
		g.countResult(c, resultAnswered)
		return
	}
	g.refuseStream(w, c, streaming, refused)
}

// endStream ends a stream whose source failed or whose caller disconnected.
func (g *Gateway) endStream(ctx context.Context, w http.ResponseWriter, c *call, streaming bool, err error) {
	if ctx.Err() != nil {
		g.countResult(c, resultCut)
		return
	}
	g.refuseStream(w, c, streaming, refusal.New(http.StatusBadGateway, refusal.CodeUpstreamFailed,
		"the answer broke off").WithUnknownOutcome().WithCause("read answer", "", err))
}

func (g *Gateway) refuseStream(w http.ResponseWriter, c *call, streaming bool, refused *refusal.Refusal) {
	g.countResult(c, resultRefused)
	if !streaming {
		g.refuse(w, c.id, refused)
		return
	}
	g.count(refused)
	data, _ := json.Marshal(refused.Body(c.id))
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
}

// writeComplete collects an answer and sends it as one response.
func (g *Gateway) writeComplete(ctx context.Context, w http.ResponseWriter, c *call, answer source) {
	started := time.Now()
	collected := newCollector(c)
	read := 0
	for {
		page, err := answer.Next(ctx, read)
		if err != nil {
			g.endStream(ctx, w, c, false, err)
			return
		}
		if read == 0 && len(page.Chunks) > 0 {
			g.Metrics.FirstToken.WithLabelValues(c.service).Observe(time.Since(started).Seconds())
		}
		read += len(page.Chunks)
		for _, chunk := range page.Chunks {
			collected.add(chunk)
		}
		if !page.Done {
			continue
		}
		if page.Refused != nil {
			g.refuseStream(w, c, false, page.Refused)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(collected.completion())
		g.countResult(c, resultAnswered)
		return
	}
}

func (g *Gateway) countResult(c *call, result string) {
	g.Metrics.Requests.WithLabelValues(c.workspace, c.service, result).Inc()
}

// collector joins the chunks of an answer.
type collector struct {
	content  strings.Builder
	response api.ChatCompletion
	choice   api.ChatChoice
}

func newCollector(c *call) *collector {
	return &collector{
		response: api.ChatCompletion{ID: answerID(c.id), Object: "chat.completion", Model: c.service},
		choice:   api.ChatChoice{Message: api.ChatAnswer{Role: "assistant"}},
	}
}

func (col *collector) add(chunk api.ChatChunk) {
	col.response.Created = chunk.Created
	if chunk.Usage != nil {
		col.response.Usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		col.content.WriteString(choice.Delta.Content)
		if len(choice.Delta.ToolCalls) > 0 {
			col.choice.Message.ToolCalls = choice.Delta.ToolCalls
		}
		if choice.FinishReason != nil {
			col.choice.FinishReason = *choice.FinishReason
		}
	}
}

func (col *collector) completion() api.ChatCompletion {
	col.choice.Message.Content = col.content.String()
	col.response.Choices = []api.ChatChoice{col.choice}
	return col.response
}

// answerID returns the id that callers see in an answer.
func answerID(requestID string) string { return "chatcmpl-" + requestID }
