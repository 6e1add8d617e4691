// Package instant is an engine that answers at once, so that a bench measures the
// node and not the engine.
package instant

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// Model is the name of the model unless another is set.
	Model = "instant"
	// defaultTokens is the length of an answer whose request has no bound.
	defaultTokens = 8
)

// Engine answers with as many tokens as the request bounds, at once, or holds each
// stream open after its first token while it is told to.
type Engine struct {
	// Models that it reports as loaded.
	Models []string

	mu   sync.Mutex
	hold chan struct{}
	open atomic.Int64
}

// HoldStreams makes streams stop after their first token until Release.
func (e *Engine) HoldStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold = make(chan struct{})
	e.open.Store(0)
}

// ReleaseStreams lets the streams go on.
func (e *Engine) ReleaseStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.hold)
	e.hold = nil
}

// HeldStreams returns the number of streams that were held since Hold.
func (e *Engine) HeldStreams() int64 { return e.open.Load() }

func (e *Engine) wait() {
	e.mu.Lock()
	hold := e.hold
	e.mu.Unlock()
	if hold != nil {
		e.open.Add(1)
		<-hold
	}
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/v1/load", e.load)
	mux.HandleFunc("GET /engine/v1/cache-events", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.CacheEvents{Incarnation: "1", Events: []api.CacheEvent{}})
	})
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	return mux
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	load := api.EngineLoad{
		AtMS: time.Now().UnixMilli(), Incarnation: "1", Role: api.EngineLoadRoleMixed,
		BatchSlots: 1 << 16, KVLimitTokens: 1 << 20,
	}
	for _, name := range e.Models {
		load.Models = append(load.Models, api.LoadedModel{Name: name, Version: "1"})
	}
	_ = json.NewEncoder(w).Encode(load)
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request api.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens := defaultTokens
	if request.MaxTokens > 0 {
		tokens = request.MaxTokens
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range tokens {
		writeChunk(w, i, nil)
		_ = controller.Flush()
		if i == 0 {
			e.wait()
		}
	}
	reason := "stop"
	writeChunk(w, tokens, &reason)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeChunk(w io.Writer, offset int, reason *string) {
	chunk := api.ChatChunk{
		ID: "1", Object: "chat.completion.chunk", Model: Model, TokenOffset: offset, TokenCount: 1,
		Choices: []api.ChatChunkChoice{{Delta: api.ChatDelta{Content: " word"}, FinishReason: reason}},
	}
	if reason != nil {
		chunk.TokenCount = 0
		chunk.Choices[0].Delta.Content = ""
	}
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
