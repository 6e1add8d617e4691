package exchange_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	_ "github.com/persimmonline/persimmonline/internal/fixedseed"
)

// chunkOf returns a chunk of an answer whose text names the request, attempt and offset.
func chunkOf(request, attempt, offset, tokens int) api.ChatChunk {
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, "%d:%d:%d ", request, attempt, offset+i)
	}
	return api.ChatChunk{
		TokenOffset: offset, TokenCount: tokens,
		Choices: []api.ChatChunkChoice{{Delta: api.ChatDelta{Content: text.String()}}},
	}
}

// TestLateChunksReachNobody appends the chunks of several attempts at several requests in
// random order, late and repeated. Each journal must contain each token of its own request
// once, and only from the attempt that was current at the time.
func TestLateChunksReachNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests = 2
		journals := make([]*exchange.Exchange, requests)
		current := make([]int, requests)
		begun := make([]int, requests)
		want := make([][]string, requests)
		for i := range journals {
			journals[i] = exchange.New(fmt.Sprint(i), "same-workspace", func(error) {})
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			request := rapid.IntRange(0, requests-1).Draw(t, "request")
			journal := journals[request]
			if begun[request] == 0 || rapid.IntRange(0, 5).Draw(t, "begin") == 0 {
				current[request] = journal.BeginAttempt()
				begun[request]++
				continue
			}
			attempt := rapid.IntRange(1, current[request]).Draw(t, "attempt")
			offset := max(0, journal.Tokens()+rapid.IntRange(-2, 2).Draw(t, "shift"))
			tokens := rapid.IntRange(1, 3).Draw(t, "tokens")
			chunk := chunkOf(request, attempt, offset, tokens)
			fits := attempt == current[request] && offset == journal.Tokens()
			require.Equal(t, fits, journal.Append(attempt, chunk))
			if fits {
				want[request] = append(want[request], strings.Fields(chunk.Choices[0].Delta.Content)...)
			}
		}
		for i, journal := range journals {
			got := strings.Fields(journal.Progress().Text)
			require.Equal(t, strings.Join(want[i], " "), strings.Join(got, " "))
			require.Len(t, got, journal.Tokens())
			for offset, token := range got {
				var request, attempt, at int
				_, err := fmt.Sscanf(token, "%d:%d:%d", &request, &attempt, &at)
				require.NoError(t, err)
				require.Equal(t, i, request)
				require.Equal(t, offset, at)
			}
		}
	})
}

func TestEndOfAnAnswerIsTakenOnce(t *testing.T) {
	journal := exchange.New("id", "workspace", func(error) {})
	reason := "stop"
	end := api.ChatChunk{Choices: []api.ChatChunkChoice{{FinishReason: &reason}}}
	usage := api.ChatChunk{Choices: []api.ChatChunkChoice{}, Usage: &api.ChatUsage{}}
	attempt := journal.BeginAttempt()
	require.True(t, journal.Append(attempt, end))
	require.False(t, journal.Append(attempt, end))
	require.True(t, journal.Append(attempt, usage))
	require.False(t, journal.Append(attempt, usage))
	journal.Finish(nil)
	require.False(t, journal.Append(attempt, chunkOf(0, 0, 0, 1)))
}

func TestOnlyTheWorkspaceOfARequestFindsIt(t *testing.T) {
	store := exchange.NewStore(0)
	end := make(chan struct{})
	defer close(end)
	run := func(_ context.Context, _ *exchange.Exchange) { <-end }
	created, isNew := store.Start(t.Context(), "id", "a", run)
	require.True(t, isNew)
	again, isNew := store.Start(t.Context(), "id", "a", run)
	require.False(t, isNew)
	require.Same(t, created, again)
	found, err := store.Get("id", "a")
	require.NoError(t, err)
	require.Same(t, created, found)
	_, err = store.Get("id", "b")
	require.ErrorIs(t, err, exchange.ErrUnknown)
}

// Guards against a Wait that races with the start of an exchange and returns before the
// exchange has ended.
func TestWaitMayBeginWhileAnExchangeStarts(t *testing.T) {
	store := exchange.NewStore(time.Minute)
	var running sync.WaitGroup
	for i := range 200 {
		started, finish := make(chan struct{}), make(chan struct{})
		running.Go(func() {
			store.Start(t.Context(), fmt.Sprint(i), "w", func(context.Context, *exchange.Exchange) { <-finish })
			close(started)
		})
		running.Go(func() { _ = store.Wait(t.Context()) })
		<-started
		ended := make(chan error, 1)
		go func() { ended <- store.Wait(t.Context()) }()
		select {
		case err := <-ended:
			require.Fail(t, "returned while an exchange is running", err)
		case <-time.After(time.Millisecond):
		}
		close(finish)
		require.NoError(t, <-ended)
		running.Wait()
	}
	require.Zero(t, store.InFlight())
	ctx, cancel := context.WithCancel(t.Context())
	store.Start(t.Context(), "last", "w", func(context.Context, *exchange.Exchange) { <-ctx.Done() })
	expired, stop := context.WithTimeout(t.Context(), time.Millisecond)
	defer stop()
	require.ErrorIs(t, store.Wait(expired), context.DeadlineExceeded)
	cancel()
	require.NoError(t, store.Wait(t.Context()))
}
