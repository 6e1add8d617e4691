// Package instant implements an engine that answers without delay, so that a benchmark
// measures the node and not the engine.
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
	// Model is the default model name.
	Model = "instant"
	// defaultTokens is the length of an answer whose request has no token limit.
	defaultTokens = 8
)

// Engine answers immediately with as many tokens as the request's limit. Between
// HoldStreams and ReleaseStreams it blocks each stream after its first token.
type Engine struct {
	// Models that the engine reports as loaded.
	Models []string

	mu       sync.Mutex
	released chan struct{}
	held     atomic.Int64
}

// HoldStreams blocks streams after their first token until ReleaseStreams is called.
func (e *Engine) HoldStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released = make(chan struct{})
	e.held.Store(0)
}

// ReleaseStreams unblocks the streams.
func (e *Engine) ReleaseStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.released)
	e.released = nil
}

// HeldStreams returns the number of streams blocked since the last HoldStreams.
func (e *Engine) HeldStreams() int64 { return e.held.Load() }

func (e *Engine) wait() {
	e.mu.Lock()
	released := e.released
	e.mu.Unlock()
	if released != nil {
		e.held.Add(1)
		<-released
	}
}

// Handler returns the handler of the engine protocol.
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
