package gateway

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/refusal"
)

// FuzzCall checks that any request body is either refused as the caller's fault without
// having run, or results in a valid engine request that streams and does not resume.
func FuzzCall(f *testing.F) {
	for _, body := range []string{
		`{"model":"review","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"review","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"stream":true,"max_tokens":5}`,
		`{"model":"review","messages":[{"role":"user","content":null}],"resume":{"offset":1,"text":"x"}}`,
		`{"model":"review","messages":[{}]}`, `{"model":7}`, `{"model":"nope","messages":[{"role":"user"}]}`, `[]`, `{`, ``, `null`,
		`{"model":"review","messages":[{"role":"user","content":"x"}],"resume":null,"Resume":{"offset":3}}`,
		`{"model":"review","messages":[{"role":"user","content":"\ud800"}],"n":1e99}`,
	} {
		f.Add([]byte(body))
	}
	raw, err := json.Marshal(api.Record{Patch: &api.ConfigPatch{
		ID: "first", RuleSet: config.CurrentRuleSet, Format: api.ConfigPatchFormatMerge, Patch: json.RawMessage(`{
			"deployment":"d","machine_classes":{},"operators":{"on-call":{"key_hashes":[]}},
			"policy":{"latency_weight":1,"cost_weight":1,"retry_ratio":0.1},
			"workspaces":{"w":{"key_hashes":[],"weight":1,"requests_per_second":0,"burst":0,"concurrency":0,"tokens_per_second":0}},
			"services":{"review":{"kind":"model","operations":[]}},
			"routes":{"r":{"workspace":"w","service":"review","priority":0}}}`),
	}})
	require.NoError(f, err)
	state, err := config.Fold(config.Empty(), api.StoredRecord{Data: raw})
	require.NoError(f, err)
	index := config.NewIndex(state)
	require.NotNil(f, index, "%v", state.Verdicts())
	f.Fuzz(func(t *testing.T, body []byte) {
		accepted, refused := newCall(index, "w", body)
		if refused != nil {
			require.GreaterOrEqual(t, refused.Status, http.StatusBadRequest)
			require.Less(t, refused.Status, http.StatusInternalServerError)
			require.Equal(t, refusal.RanNo, refused.Ran)
			return
		}
		sent, err := accepted.engineBody(nil)
		require.NoError(t, err)
		var request api.ChatRequest
		require.NoError(t, json.Unmarshal(sent, &request))
		require.True(t, request.Stream)
		require.Nil(t, request.Resume, "callers may not resume")
	})
}
