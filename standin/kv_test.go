package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/standin"
)

// TestKVExportHasLimitedMemoryAndNamesItsPrompt runs more requests than fit in the KV memory,
// then imports a state for its own prompt and for another.
func TestKVExportHasLimitedMemoryAndNamesItsPrompt(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{
		Models: []api.LoadedModel{{Name: "m", Version: "1"}}, Slots: 4, Step: time.Millisecond, PrefillTokensPerSecond: 1e9, KVLimitTokens: 200,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go engine.Run(ctx)
	server, err := standin.Serve("127.0.0.1:0", engine.Handler())
	require.NoError(t, err)
	defer server.Close()
	content := func(i int) json.RawMessage { return json.RawMessage(fmt.Sprintf("%q", fmt.Sprintf("prompt %03d", i))) }
	ask := func(i int, kv *api.KVImport) int {
		request := api.ChatRequest{Model: "m", Messages: []api.ChatMessage{{Role: "user", Content: content(i)}}}
		if kv != nil {
			request.Resume = &api.ChatResume{KV: kv}
		}
		return postJSON(t, server.URL()+"/v1/chat/completions", fmt.Sprint("r", i), request, nil)
	}
	for i := range 50 {
		require.Equal(t, http.StatusOK, ask(i, nil))
	}
	export := server.URL() + "/engine/v1/kv/export"
	require.Equal(t, http.StatusNotFound, postJSON(t, export, "", api.KVExportRequest{RequestID: "r0"}, nil), "the oldest state is evicted first")
	var state api.KVState
	require.Equal(t, http.StatusOK, postJSON(t, export, "", api.KVExportRequest{RequestID: "r49"}, &state))
	kv := &api.KVImport{Tokens: state.Tokens, Data: state.Data}
	require.Equal(t, http.StatusOK, ask(49, kv))
	require.Equal(t, http.StatusUnprocessableEntity, ask(48, kv))
}

func postJSON(t *testing.T, url, requestID string, in, out any) int {
	t.Helper()
	encoded, err := json.Marshal(in)
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(encoded))
	require.NoError(t, err)
	request.Header.Set("X-Request-Id", requestID)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	if out != nil {
		require.NoError(t, json.Unmarshal(body, out))
	}
	return response.StatusCode
}
