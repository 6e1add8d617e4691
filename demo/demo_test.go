package demo_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/standin"
	"github.com/persimmonline/persimmonline/telemetry"
)

const workspace = "incident-review"

func TestMain(m *testing.M) {
	telemetry.BridgeLogx(zerolog.Nop())
	os.Exit(m.Run())
}

func start(t *testing.T) *demo.Cluster {
	t.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust:     func(s *api.Settings) { s.ReadinessGrace = 10 * time.Millisecond },
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop(context.Background())) })
	return cluster
}

func expectedAnswer(t *testing.T, text string) string {
	t.Helper()
	content, err := json.Marshal(text)
	require.NoError(t, err)
	return standin.Answer(prompt.Text([]api.ChatMessage{{Role: "user", Content: content}}), 0)
}

func TestOpenAIClientWorksUnchangedAtEveryNode(t *testing.T) {
	cluster := start(t)
	announced := cluster.Announce()
	for i, base := range announced.Callers {
		client := openai.NewClient(
			option.WithBaseURL(base+"/v1"),
			option.WithAPIKey(announced.APIKeys[workspace]),
			option.WithMaxRetries(0),
		)
		text := strings.Repeat("rake log ", 50+i)
		params := openai.ChatCompletionNewParams{
			Model:    announced.Models[0],
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		}
		completion, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		require.Equal(t, expectedAnswer(t, text), completion.Choices[0].Message.Content)
		require.Equal(t, "stop", completion.Choices[0].FinishReason)
		require.Positive(t, completion.Usage.CompletionTokens)

		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		var content strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				content.WriteString(choice.Delta.Content)
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, expectedAnswer(t, text), content.String())
	}
	models, err := openaiClient(announced, 0).Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, models.Data, 2)
}

func openaiClient(announced demo.Announcement, index int) *openai.Client {
	client := openai.NewClient(
		option.WithBaseURL(announced.Callers[index]+"/v1"),
		option.WithAPIKey(announced.APIKeys[workspace]),
		option.WithMaxRetries(0),
	)
	return &client
}

func TestRefusalsAreHonestAndSendNothingUpstream(t *testing.T) {
	cluster := start(t)
	announced := cluster.Announce()
	base, key := announced.Callers[0], announced.APIKeys[workspace]
	cases := []struct {
		name, method, path, key, body string
		status                        int
		code                          refusal.Code
		param                         string
	}{
		{"no key", "POST", "/v1/chat/completions", "", `{}`, 401, refusal.CodeInvalidKey, ""},
		{"wrong key", "POST", "/v1/chat/completions", "guess", `{}`, 401, refusal.CodeInvalidKey, ""},
		{"broken JSON", "POST", "/v1/chat/completions", key, `{"model":`, 400, refusal.CodeInvalidJSON, ""},
		{"wrong type", "POST", "/v1/chat/completions", key, `{"model":7}`, 400, refusal.CodeInvalidField, "model"},
		{"no messages", "POST", "/v1/chat/completions", key, `{"model":"review"}`, 400, refusal.CodeInvalidField, "messages"},
		{"resume", "POST", "/v1/chat/completions", key, `{"model":"review","messages":[{"role":"user"}],"resume":{"offset":3,"text":"x"}}`, 400, refusal.CodeInvalidField, "resume"},
		{"unknown model", "POST", "/v1/chat/completions", key, `{"model":"nope","messages":[{"role":"user","content":"x"}]}`, 404, refusal.CodeUnknownModel, "model"},
		{"plain service as model", "POST", "/v1/chat/completions", key, `{"model":"rakes","messages":[{"role":"user","content":"x"}]}`, 404, refusal.CodeUnknownModel, "model"},
		{"too large", "POST", "/v1/chat/completions", key, strings.Repeat("x", 5<<20), 413, refusal.CodeBodyTooLarge, ""},
		{"unknown service", "GET", "/services/nope/x", key, "", 404, refusal.CodeNotFound, ""},
		{"unknown route", "GET", "/nope", key, "", 404, refusal.CodeNotFound, ""},
		{"administration", "GET", "/admin/v1/status", key, "", 404, refusal.CodeNotFound, ""},
		{"wrong method", "PUT", "/v1/chat/completions", key, "", 405, refusal.CodeMethodNotAllowed, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := call(t, c.method, base+c.path, c.key, c.body)
			var body api.ErrorResponse
			require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, string(c.code), body.Error.Code)
			require.Equal(t, "no", response.Header.Get(refusal.HeaderRan))
			require.Equal(t, refusal.RanNo, body.Error.Ran)
			if c.param != "" {
				require.Equal(t, c.param, *body.Error.Param)
			}
		})
	}
	for _, n := range cluster.Nodes {
		families, err := n.Metrics().Registry().Gather()
		require.NoError(t, err)
		for _, family := range families {
			require.NotEqual(t, "persimmonline_attempts_total", family.GetName())
		}
	}
}

func TestPlainServiceKeepsTheCall(t *testing.T) {
	cluster := start(t)
	announced := cluster.Announce()
	response := call(t, "POST", announced.Callers[1]+"/services/rakes/rakes/7/trigger?dry=0", announced.APIKeys[workspace], "sweep")
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.JSONEq(t, `{"service":"rakes","method":"POST","path":"/rakes/7/trigger","query":"dry=0","body":"sweep","run":1}`, string(raw))
	require.Equal(t, 1, cluster.Standins.Ledger.Runs("POST /rakes/7/trigger sweep"))
}

func call(t *testing.T, method, url, key, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}
