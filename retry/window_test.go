package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/retry"
)

var start = time.Unix(1_700_000_000, 0)

func TestWindowBudgetIsAShareOfTheRequestsInItsWindow(t *testing.T) {
	b := retry.NewWindowBudget(0.5, 10*time.Second)
	for range 10 {
		b.RecordRequest(start)
	}
	granted := 0
	for range 20 {
		if b.TakeRetry(start, 2) {
			granted++
		}
	}
	require.Equal(t, 6, granted, "0.8 of half of 10 requests, and a burst of 2")
	require.False(t, b.TakeRetry(start.Add(9*time.Second), 2))
	require.True(t, b.TakeRetry(start.Add(13*time.Second), 2), "the window has passed, and the time that a send may take")
}

// A retry is forgotten while it can still arrive in the same window as the next one.
func TestRetryIsForgottenWithinItsWindow(t *testing.T) {
	const window = 10 * time.Second
	for _, sinceSliceStart := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 499 * time.Millisecond} {
		at := start.Add(sinceSliceStart)
		b := retry.NewWindowBudget(0.5, window)
		require.True(t, b.TakeRetry(at, 1))
		require.False(t, b.TakeRetry(at.Add(window-time.Millisecond), 1), "sent %s into a slice", sinceSliceStart)
		require.False(t, b.TakeRetry(at.Add(window+netopt.UnackedTimeout), 1), "sent %s into a slice, and held on its way", sinceSliceStart)
	}
}

// A request of more than a window ago still pays for a retry.
func TestRequestPaysForARetryAfterItsWindow(t *testing.T) {
	b := retry.NewWindowBudget(1, 10*time.Second)
	for range 10 {
		b.RecordRequest(start)
	}
	require.True(t, b.TakeRetry(start.Add(9*time.Second), 0))
	require.False(t, b.TakeRetry(start.Add(10*time.Second), 0))
}
