package e2e_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/gateway"
	"github.com/persimmonline/persimmonline/node"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/standin"
	"github.com/persimmonline/persimmonline/telemetry"
)

const (
	model     = "review"
	workspace = "incident-review"
	// conditionTimeout bounds the wait for a condition and the stop of a node.
	conditionTimeout = 30 * time.Second
)

func TestMain(m *testing.M) {
	telemetry.BridgeLogx(zerolog.Nop())
	os.Exit(m.Run())
}

// start starts a deployment whose engines take stepMS milliseconds per token.
func start(t *testing.T, stepMS float64, adjust func(*api.Settings)) *demo.Cluster {
	t.Helper()
	return startWith(t, 0, stepMS, adjust)
}

// startWith starts a deployment with the given number of engines; 0 means all.
func startWith(t *testing.T, engines int, stepMS float64, adjust func(*api.Settings)) *demo.Cluster {
	t.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	for i := range deployment.Engines {
		deployment.Engines[i].StepMS = stepMS
	}
	if engines > 0 {
		deployment.Engines = slices.DeleteFunc(deployment.Engines, func(e api.DeploymentEngine) bool {
			return !slices.Contains(e.Models, model)
		})[:engines]
		for i := range deployment.Engines {
			deployment.Engines[i].Models = []string{model, "summary"}
		}
	}
	logger := zerolog.Nop()
	if os.Getenv("E2E_LOG") != "" {
		logger = zerolog.New(zerolog.NewTestWriter(t))
	}
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     logger,
		Adjust: func(s *api.Settings) {
			s.ReadinessGrace = 10 * time.Millisecond
			if adjust != nil {
				adjust(s)
			}
		},
	})
	require.NoError(t, err)
	t.Cleanup(cluster.Kill)
	return cluster
}

// longPrompt returns a prompt of a few thousand tokens with a long answer.
func longPrompt(t *testing.T, name string) string {
	t.Helper()
	return promptOf(t, name, 300)
}

// promptOf returns a prompt that repeats a name and has a long answer.
func promptOf(t *testing.T, name string, repeats int) string {
	t.Helper()
	for i := range 1000 {
		text := strings.Repeat(fmt.Sprintf("%s %d rake log. ", name, i), repeats)
		if count, _ := standin.AnswerLength(promptText(t, text), 0); count > 55 {
			return text
		}
	}
	t.Fatal("no prompt has a long answer")
	return ""
}

func promptText(t *testing.T, text string) []byte {
	t.Helper()
	content, err := json.Marshal(text)
	require.NoError(t, err)
	return prompt.Text([]api.ChatMessage{{Role: "user", Content: content}})
}

// stream is the state of one caller that reads a streamed answer.
type stream struct {
	t        *testing.T
	response *http.Response
	lines    *bufio.Scanner
	id       string
	content  strings.Builder
	tokens   int
	lastID   string
	usage    *api.ChatUsage
	failed   *api.ErrorDetail
	complete bool
}

func open(t *testing.T, cluster *demo.Cluster, at int, text string) *stream {
	t.Helper()
	return send(t, cluster, at, http.MethodPost, "/v1/chat/completions", chatBody(t, text), "", workspace)
}

func chatBody(t *testing.T, text string) string {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "stream_options": map[string]any{"include_usage": true},
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	require.NoError(t, err)
	return string(body)
}

// otherWorkspace returns another workspace of the deployment.
func otherWorkspace(t *testing.T, cluster *demo.Cluster) string {
	t.Helper()
	for name := range cluster.Announce().APIKeys {
		if name != workspace {
			return name
		}
	}
	t.Fatal("the deployment has one workspace")
	return ""
}

func send(t *testing.T, cluster *demo.Cluster, at int, method, path, body, lastID, workspace string) *stream {
	t.Helper()
	return sendWithin(t, cluster, at, method, path, body, lastID, workspace, "")
}

func sendWithin(t *testing.T, cluster *demo.Cluster, at int, method, path, body, lastID, workspace, timeoutMS string) *stream {
	t.Helper()
	announced := cluster.Announce()
	request, err := http.NewRequestWithContext(t.Context(), method, announced.Callers[at]+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+announced.APIKeys[workspace])
	if lastID != "" {
		request.Header.Set("Last-Event-ID", lastID)
	}
	if timeoutMS != "" {
		request.Header.Set(gateway.HeaderTimeout, timeoutMS)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return &stream{t: t, response: response, lines: bufio.NewScanner(response.Body), id: response.Header.Get(refusal.HeaderRequestID)}
}

// read reads until the answer has the given number of tokens, or ends.
func (s *stream) read(tokens int) {
	s.t.Helper()
	event := ""
	for s.tokens < tokens && s.lines.Scan() {
		field, value, _ := strings.Cut(s.lines.Text(), ": ")
		switch field {
		case "event":
			event = value
		case "id":
			s.lastID = value
		case "data":
			s.handleEvent(event, value)
			event = ""
		}
	}
}

func (s *stream) handleEvent(event, data string) {
	s.t.Helper()
	if data == "[DONE]" {
		s.complete = true
		return
	}
	if event == "error" {
		var failed api.ErrorResponse
		require.NoError(s.t, json.Unmarshal([]byte(data), &failed))
		s.failed = &failed.Error
		return
	}
	var chunk api.ChatChunk
	require.NoError(s.t, json.Unmarshal([]byte(data), &chunk))
	s.tokens += chunk.TokenCount
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		s.content.WriteString(choice.Delta.Content)
	}
}

// requireComplete reads to the end and checks that the answer and its usage are complete.
func (s *stream) requireComplete(text string) {
	s.t.Helper()
	s.read(1 << 20)
	require.Equal(s.t, http.StatusOK, s.response.StatusCode)
	require.Nil(s.t, s.failed)
	raw := promptText(s.t, text)
	require.Equal(s.t, standin.Answer(raw, 0), s.content.String())
	require.True(s.t, s.complete)
	count, _ := standin.AnswerLength(raw, 0)
	require.NotNil(s.t, s.usage)
	require.Equal(s.t, prompt.Tokens(raw), s.usage.PromptTokens)
	require.Equal(s.t, count, s.usage.CompletionTokens)
	require.Equal(s.t, prompt.Tokens(raw)+count, s.usage.TotalTokens)
}

// busyEngine returns the host of the only engine with a running request.
func busyEngine(t *testing.T, cluster *demo.Cluster) string {
	t.Helper()
	busy := busyEngines(cluster)
	require.Len(t, busy, 1)
	return busy[0]
}

func busyEngines(cluster *demo.Cluster) []string {
	var busy []string
	for i := range 20 {
		id := fmt.Sprintf("engine-%02d", i+1)
		if engine := cluster.Standins.Engine(id); engine != nil && engine.Running() > 0 {
			busy = append(busy, id)
		}
	}
	return busy
}

// counterSum returns the sum of a counter over all nodes, for one value of its label.
func counterSum(t *testing.T, cluster *demo.Cluster, name, value string) float64 {
	t.Helper()
	sum := 0.0
	for _, n := range cluster.Nodes {
		families, err := n.Metrics().Registry().Gather()
		require.NoError(t, err)
		for _, family := range families {
			if family.GetName() != "persimmonline_"+name {
				continue
			}
			for _, metric := range family.GetMetric() {
				for _, label := range metric.GetLabel() {
					if label.GetValue() == value {
						sum += metric.GetCounter().GetValue()
					}
				}
			}
		}
	}
	return sum
}

// holderOf returns the index of the node that runs a request.
func holderOf(t *testing.T, cluster *demo.Cluster, requestID string) int {
	t.Helper()
	for i, n := range cluster.Nodes {
		if strings.Contains(requestID, "."+n.Incarnation()+".") {
			return i
		}
	}
	t.Fatalf("no node holds %s", requestID)
	return 0
}

// openElsewhere opens a stream at a node that is not the owner of the request.
func openElsewhere(t *testing.T, cluster *demo.Cluster, text string) (*stream, int) {
	t.Helper()
	first := open(t, cluster, 0, text)
	if owner := holderOf(t, cluster, first.id); owner != 0 {
		return first, 0
	}
	_ = first.response.Body.Close()
	return open(t, cluster, 1, text), 1
}

func stop(t *testing.T, n *node.Node) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	return n.Stop(ctx)
}
