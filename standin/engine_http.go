package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
)

// tokenBufferSize is the number of tokens that are buffered for a slow reader.
const tokenBufferSize = 4096

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /engine/v1/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.load())
	})
	mux.HandleFunc("GET /engine/v1/cache-events", e.cacheEvents)
	mux.HandleFunc("POST /engine/v1/orders", e.receiveOrder)
	mux.HandleFunc("POST /engine/v1/kv/export", e.exportKV)
	mux.HandleFunc("POST /engine/v1/cancel", e.cancelRequest)
	return mux
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request api.ChatRequest
	if !readJSON(w, r, &request) {
		return
	}
	if !e.hasModel(request.Model) {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	text := prompt.Text(request.Messages)
	if marker := e.config.CrashMarker; marker != "" && bytes.Contains(text, []byte(marker)) {
		e.config.OnCrash()
		panic(http.ErrAbortHandler)
	}
	j := newJob(r, request, text)
	defer j.cancel()
	if kv := request.Resume; kv != nil && kv.KV != nil && !importable(kv.KV.Data, j) {
		http.Error(w, "the KV state is of another prompt", http.StatusUnprocessableEntity)
		return
	}
	if !e.submit(j) {
		http.Error(w, "queue is full", http.StatusServiceUnavailable)
		return
	}
	if request.Stream {
		writeTokens(w, request, j)
		return
	}
	writeCompletion(w, request, j)
}

func newJob(r *http.Request, request api.ChatRequest, text []byte) *job {
	maxTokens := request.MaxCompletionTokens
	if maxTokens == 0 {
		maxTokens = request.MaxTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	ctx, cancel := context.WithCancel(r.Context())
	j := &job{
		ctx:      ctx,
		cancel:   cancel,
		id:       r.Header.Get("X-Request-Id"),
		priority: priority,
		text:     text,
		blocks:   prompt.Blocks(text),
		out:      make(chan token, tokenBufferSize),
	}
	j.endOffset, j.reason = AnswerLength(text, maxTokens)
	if request.Resume != nil {
		j.offset = request.Resume.Offset
		if request.Resume.KV != nil {
			j.cachedTokens = request.Resume.KV.Tokens
			j.blocks = nil
		}
	}
	return j
}

func writeTokens(w http.ResponseWriter, request api.ChatRequest, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for t := range j.out {
		chunk := chunkOf(request, j, t)
		data, _ := json.Marshal(chunk)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = controller.Flush()
		if t.done {
			writeStreamEnd(w, request, j)
		}
	}
}

func writeStreamEnd(w http.ResponseWriter, request api.ChatRequest, j *job) {
	if request.StreamOptions != nil && request.StreamOptions.IncludeUsage {
		usage := usageOf(j)
		last := api.ChatChunk{
			ID: j.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: request.Model,
			Choices: []api.ChatChunkChoice{}, Usage: &usage, TokenOffset: j.offset,
		}
		data, _ := json.Marshal(last)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func chunkOf(request api.ChatRequest, j *job, t token) api.ChatChunk {
	choice := api.ChatChunkChoice{Delta: api.ChatDelta{Content: t.text}}
	count := 1
	if t.offset == 0 {
		choice.Delta.Role = "assistant"
	}
	if t.done {
		choice.FinishReason = &t.reason
		count = 0
	}
	return api.ChatChunk{
		ID: j.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: request.Model,
		Choices: []api.ChatChunkChoice{choice}, TokenOffset: t.offset, TokenCount: count,
	}
}

func usageOf(j *job) api.ChatUsage {
	promptTokens := prompt.Tokens(j.text)
	return api.ChatUsage{
		PromptTokens:        promptTokens,
		CompletionTokens:    j.endOffset,
		TotalTokens:         promptTokens + j.endOffset,
		PromptTokensDetails: &api.ChatPromptDetails{CachedTokens: min(j.cachedTokens, promptTokens)},
	}
}

func writeCompletion(w http.ResponseWriter, request api.ChatRequest, j *job) {
	var content []byte
	for t := range j.out {
		content = append(content, t.text...)
	}
	writeJSON(w, http.StatusOK, api.ChatCompletion{
		ID: j.id, Object: "chat.completion", Created: time.Now().Unix(), Model: request.Model, Usage: usageOf(j),
		Choices: []api.ChatChoice{{Message: api.ChatAnswer{Role: "assistant", Content: string(content)}, FinishReason: j.reason}},
	})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	events, next := e.cache.since(from)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, api.CacheEvents{Incarnation: e.incarnation, NextSeq: next, Events: events})
}

func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	var request api.CancelRequest
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range slices.Concat(e.waiting, e.running) {
		if j.id == request.RequestID {
			j.cancel()
		}
	}
	writeJSON(w, http.StatusOK, request)
}
