// Package overhead measures what a node adds to a direct call: latency, requests a
// second, and memory of an open stream.
package overhead

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// modelName is the one model of the bench.
	modelName = "instant"
	// answerTokens is the length of every answer.
	answerTokens = 8
)

// instantEngine answers at once, or holds each stream open after its first token
// while hold is set.
type instantEngine struct {
	hold    chan struct{}
	holding atomic.Bool
	open    atomic.Int64
}

func (e *instantEngine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/v1/load", e.load)
	mux.HandleFunc("GET /engine/v1/cache-events", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.CacheEvents{Incarnation: "1", Events: []api.CacheEvent{}})
	})
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	return mux
}

func (e *instantEngine) load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(api.EngineLoad{
		AtMS: 1, Incarnation: "1", Role: api.EngineLoadRoleMixed, BatchSlots: 1 << 16, KVLimitTokens: 1 << 20,
		Models: []api.LoadedModel{{Name: modelName, Version: "1"}},
	})
}

func (e *instantEngine) chat(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range answerTokens {
		writeChunk(w, i, nil)
		_ = controller.Flush()
		if i == 0 && e.holding.Load() {
			e.open.Add(1)
			<-e.hold
		}
	}
	reason := "stop"
	writeChunk(w, answerTokens, &reason)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeChunk(w io.Writer, offset int, reason *string) {
	chunk := api.ChatChunk{
		ID: "1", Object: "chat.completion.chunk", Model: modelName, TokenOffset: offset, TokenCount: 1,
		Choices: []api.ChatChunkChoice{{Delta: api.ChatDelta{Content: " word"}, FinishReason: reason}},
	}
	if reason != nil {
		chunk.TokenCount = 0
		chunk.Choices[0].Delta.Content = ""
	}
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

// passThrough is a bare net/http pass-through to one address, as the yardstick.
func passThrough(address string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.Path, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
		controller := http.NewResponseController(w)
		buffer := make([]byte, 32<<10)
		for {
			n, err := response.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = controller.Flush()
			if err != nil {
				return
			}
		}
	})
}
