package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/retry"
)

func TestAllowed(t *testing.T) {
	cases := []struct {
		name    string
		failure retry.Failure
		want    bool
	}{
		{"not sent, not repeatable", retry.Failure{Sent: retry.NotSent, Attempts: 1}, true},
		{"maybe sent, not repeatable", retry.Failure{Sent: retry.MaybeSent, Attempts: 1}, false},
		{"maybe sent, repeatable", retry.Failure{Sent: retry.MaybeSent, Repeatable: true, Attempts: 1}, true},
		{"too many", retry.Failure{Sent: retry.NotSent, Repeatable: true, Attempts: retry.MaxAttempts}, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, retry.Allowed(c.failure), c.name)
	}
}

func TestOnlyRetriesThatAddLoadTakeFromTheBudget(t *testing.T) {
	require.True(t, retry.ConsumesBudget(retry.Failure{}))
	require.False(t, retry.ConsumesBudget(retry.Failure{UpstreamUnreachable: true}))
	require.False(t, retry.ConsumesBudget(retry.Failure{AnswerStarted: true}))
}

func TestBudgetIsAShareOfRequests(t *testing.T) {
	budget := retry.NewBudget(0.1, 2)
	require.True(t, budget.TakeRetry())
	require.True(t, budget.TakeRetry())
	require.False(t, budget.TakeRetry())
	for range 11 {
		budget.RecordRequest()
	}
	require.True(t, budget.TakeRetry())
	require.False(t, budget.TakeRetry())
}

func TestCheapestWay(t *testing.T) {
	cases := []struct {
		name   string
		resume retry.Resume
		want   retry.ResumeMode
	}{
		{"long prompt with KV", retry.Resume{PromptTokens: 4000, AnswerTokens: 10, KVAvailable: true}, retry.FromKV},
		{"long prompt without KV", retry.Resume{PromptTokens: 4000, AnswerTokens: 10}, retry.Recompute},
		{"prompt cached at the next upstream", retry.Resume{PromptTokens: 4000, AnswerTokens: 10, CachedTokens: 3968, KVAvailable: true}, retry.FromText},
		{"short prompt", retry.Resume{PromptTokens: 20, AnswerTokens: 3, KVAvailable: true}, retry.Recompute},
	}
	for _, c := range cases {
		require.Equal(t, c.want, retry.CheapestResumeMode(c.resume), c.name)
	}
}

func TestMoveAtIsBeforeTheReclaim(t *testing.T) {
	seen := time.Unix(1_700_000_000, 0)
	at := seen.Add
	cases := []struct {
		name    string
		leaving retry.Leaving
		want    time.Time
	}{
		{"last", retry.Leaving{SeenAt: seen, ReclaimAt: at(5 * time.Second)}, at(4 * time.Second)},
		{"spread", retry.Leaving{SeenAt: seen, ReclaimAt: at(5 * time.Second), Spread: 0.5}, at(3 * time.Second)},
		{"time unknown", retry.Leaving{SeenAt: seen}, at(2 * time.Second)},
		{"late notice", retry.Leaving{SeenAt: seen, ReclaimAt: at(500 * time.Millisecond)}, seen},
	}
	for _, c := range cases {
		require.Equal(t, c.want, retry.MoveAt(c.leaving), c.name)
	}
}
