package serving_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/memory"
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

func TestRequestThatHasEndedIsExplainedByItsID(t *testing.T) {
	d := deploy(t, 2, answers)
	got := d.call(context.Background(), "safe", nil)
	require.Eventually(t, func() bool { _, refused := d.handler.Recent("id-1"); return refused == nil }, time.Second, time.Millisecond)
	recent, _ := d.handler.Recent("id-1")
	require.Equal(t, [4]string{"safe", "s", "w", "answered"}, [4]string{recent.Route, recent.Service, recent.Workspace, recent.Result})
	require.Len(t, recent.Attempts, 1)
	require.Equal(t, got.header.Get("X-Response-Signature"), recent.Attempts[0].Upstream)
	require.Equal(t, "answered", recent.Attempts[0].Outcome)
	d.call(context.Background(), "none", func(r *http.Request) { r.Header.Set("X-Request-Id", "id-2") })
	recent, refused := d.handler.Recent("id-2")
	require.Nil(t, refused)
	require.Equal(t, "refused:not_found", recent.Result)
	_, refused = d.handler.Recent("id-3")
	require.Equal(t, http.StatusNotFound, refused.Status)
	require.Contains(t, refused.Message, `no request "id-3" among those that this node has ended in the last`)
}

func TestEndedRequestsKeepWithinTheirMemory(t *testing.T) {
	account := memory.New(1 << 20)
	d := deployWith(t, 1, answers, func(settings *serving.Settings) { settings.Memory = account })
	require.EqualValues(t, 1<<14, account.Stats().Reserved)
	for i := range 200 {
		d.call(context.Background(), "none", func(r *http.Request) { r.Header.Set("X-Request-Id", fmt.Sprint("id-", i)) })
	}
	kept := 0
	for i := range 200 {
		if _, refused := d.handler.Recent(fmt.Sprint("id-", i)); refused == nil {
			kept++
			require.Greater(t, i, 100, "the newest are kept")
		}
	}
	require.Greater(t, kept, 10)
}
