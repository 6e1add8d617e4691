package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	require.True(t, b.TakeRetry(start.Add(11*time.Second), 2), "the window has passed")
}
