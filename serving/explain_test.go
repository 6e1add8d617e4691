package serving_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/serving"
)

func TestExplanationNamesTheUpstreamThatTheRequestThenGoesTo(t *testing.T) {
	d := deploy(t, 4, answers)
	members := d.view.Load().Fleet.ByService["s"]
	members[0].Health = membership.StateLeaving
	explanation, refused := d.handler.Explain(&serving.Question{Host: "h.example", Path: "/safe/x", Key: "key"})
	require.Nil(t, refused)
	require.Zero(t, d.runs.Load())
	require.Equal(t, "safe", explanation.Route.Name)
	require.Equal(t, "s", explanation.Route.Service)
	require.Equal(t, "w", explanation.Admission.Workspace)
	require.Equal(t, "off", explanation.Hedge.Denied)
	require.Len(t, explanation.Candidates, 4)
	require.Equal(t, explanation.Choice, explanation.Candidates[0].Upstream)
	require.NotEmpty(t, explanation.Candidates[0].Prices)
	require.Equal(t, "leaving", explanation.Candidates[3].Removed)
	require.NotEqual(t, explanation.Choice, explanation.Fallback)
	require.Equal(t, explanation.Choice, d.call(context.Background(), "safe", nil).header.Get("X-Response-Signature"))
}

func TestExplanationChargesNothingAndHidesTheKey(t *testing.T) {
	d := deploy(t, 2, answers)
	question := &serving.Question{Host: "h.example", Path: "/safe/x", Workspace: "w"}
	first, refused := d.handler.Explain(question)
	require.Nil(t, refused)
	second, _ := d.handler.Explain(question)
	require.GreaterOrEqual(t, *second.Admission.QuotaLeft, *first.Admission.QuotaLeft)
	require.Equal(t, first.Admission.RetriesLeft, second.Admission.RetriesLeft)
	raw, err := json.Marshal(first)
	require.NoError(t, err)
	require.NotContains(t, string(raw), `"key"`)
}

func TestQuestionsThatCanNotBeAnswered(t *testing.T) {
	d := deploy(t, 1, answers)
	cases := map[string]struct {
		question serving.Question
		status   int
		message  string
	}{
		"unknown route":     {serving.Question{Host: "h.example", Path: "/none/x", Key: "key"}, 404, "no route for h.example/none/x"},
		"unknown workspace": {serving.Question{Host: "h.example", Path: "/safe/x", Workspace: "other"}, 404, "no workspace other"},
		"unknown key":       {serving.Question{Host: "h.example", Path: "/safe/x", Key: "sekret"}, 401, "the key is not known"},
		"tokens":            {serving.Question{Host: "h.example", Path: "/safe/x", Key: "key", PromptTokens: -1}, 400, "tokens must be between"},
	}
	for name, c := range cases {
		_, refused := d.handler.Explain(&c.question)
		require.NotNil(t, refused, name)
		require.Equal(t, c.status, refused.Status, name)
		require.Contains(t, refused.Message, c.message, name)
	}
	d.publish(nil, nil)
	_, refused := d.handler.Explain(&serving.Question{Host: "h.example", Path: "/safe/x"})
	require.Equal(t, 503, refused.Status)
}

func TestExplanationOfAHedge(t *testing.T) {
	h := deployHedged(t, 3, 1, "safe")
	explanation, refused := h.handler.Explain(&serving.Question{Host: "h.example", Path: "/safe/x", Key: "key"})
	require.Nil(t, refused)
	require.Empty(t, explanation.Hedge.Denied)
	require.GreaterOrEqual(t, *explanation.Hedge.AfterMS, 25.0)
	explanation, _ = h.handler.Explain(&serving.Question{Host: "h.example", Path: "/unsafe/x", Key: "key"})
	require.Equal(t, "not_repeatable", explanation.Hedge.Denied)
}
