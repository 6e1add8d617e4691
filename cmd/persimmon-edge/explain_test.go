package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/edge"
	"github.com/persimmonline/persimmonline/serving"
)

// explain runs the command against a node.
func explain(t *testing.T, node string, args ...string) (code int, out, errs string) {
	t.Helper()
	return runExplain(t, append([]string{"--node", node, "h.example", "/chat/x"}, args...)...)
}

func runExplain(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var flags cli
	parser, err := kong.New(&flags)
	require.NoError(t, err)
	_, err = parser.Parse(append([]string{"explain"}, args...))
	require.NoError(t, err)
	var printed, failed bytes.Buffer
	code = flags.Explain.run(&printed, &failed)
	return code, printed.String(), failed.String()
}

// nodeAnswering returns the address of a node that gives one answer, and the last question.
func nodeAnswering(t *testing.T, status int, answer any) (string, *serving.Question) {
	t.Helper()
	question := &serving.Question{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != edge.ExplainPath || json.NewDecoder(r.Body).Decode(question) != nil {
			status = http.StatusTeapot
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), question
}

func TestExplainPrintsTheChoiceAndNoKey(t *testing.T) {
	node, question := nodeAnswering(t, http.StatusOK, serving.Explanation{
		Choice: "i-1", Candidates: []serving.CandidateExplanation{{Upstream: "i-1"}, {Upstream: "i-2", Removed: "leaving"}},
	})
	code, out, errs := explain(t, node, "--key", "sekret", "--part", "a=100", "--part", "b=20")
	require.Zero(t, code, errs)
	require.Regexp(t, `choice +i-1`, out)
	require.Regexp(t, `i-2 .* leaving`, out)
	require.NotContains(t, out+errs, "sekret")
	require.Equal(t, "sekret", question.Key)
	require.Equal(t, 120, question.PromptTokens)
	_, out, _ = explain(t, node, "--json")
	require.True(t, json.Valid([]byte(out)))
}

func TestExplainSaysWhyThereIsNoAnswer(t *testing.T) {
	node, _ := nodeAnswering(t, http.StatusNotFound, edge.ExplainError{Message: "no route for h.example/chat/x"})
	code, out, errs := explain(t, node)
	require.Equal(t, exitFailure, code)
	require.Empty(t, out)
	require.Contains(t, errs, "no route for h.example/chat/x")

	code, _, errs = explain(t, "127.0.0.1:1", "--key", "sekret")
	require.Equal(t, exitFailure, code)
	require.Contains(t, errs, "node 127.0.0.1:1 does not answer")
	require.NotContains(t, errs, "sekret")

	code, _, errs = explain(t, node, "--part", "a")
	require.Equal(t, exitSettings, code)
	require.Contains(t, errs, `--part: "a" is not ID=TOKENS`)
}

func TestExplainPrintsARequestThatHasEnded(t *testing.T) {
	node, question := nodeAnswering(t, http.StatusOK, serving.RecentExplanation{
		ID: "id-1", Route: "chat", Result: "answered", Attempts: []serving.RecentAttempt{{Upstream: "i-1", Outcome: "broken", Error: "reset"}, {Upstream: "i-2"}},
	})
	code, out, errs := runExplain(t, "--node", node, "--request", "id-1")
	require.Zero(t, code, errs)
	require.Equal(t, "id-1", question.RequestID)
	require.Regexp(t, `(?s)id-1.*i-1 .*broken.*reset.*i-2`, out)
	code, _, _ = runExplain(t, "--node", node, "h.example", "/chat/x", "--request", "id-1")
	require.Equal(t, exitSettings, code)
	code, _, _ = runExplain(t, "--node", node)
	require.Equal(t, exitSettings, code)
}

func TestPlainRunServes(t *testing.T) {
	var flags cli
	parser, err := kong.New(&flags)
	require.NoError(t, err)
	command, err := parser.Parse([]string{"--hedge-share", "0.03"})
	require.NoError(t, err)
	require.Equal(t, "serve", command.Command())
	_, err = parser.Parse([]string{"--hedge-share", "1.5"})
	require.ErrorContains(t, err, "--hedge-share: 1.5 is not between 0 and 1")
}
