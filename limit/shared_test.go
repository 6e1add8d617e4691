package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/limit"
)

// fullShared returns a shared queue whose slots are all in use.
func fullShared(t *testing.T, slots int) *limit.Queue {
	t.Helper()
	queue := limit.NewSharedQueue(slots, 512)
	for i := range slots {
		require.True(t, queue.TryStart(epoch, ticket(uint64(10_000+i), "full", 0)))
	}
	return queue
}

func TestNoSlotOfASharedQueueIsKeptFree(t *testing.T) {
	queue := limit.NewSharedQueue(20, 10)
	for i := range uint64(20) {
		require.Equal(t, limit.Run, queue.Submit(epoch, ticket(i, "a", 9)).Verdict)
	}
}

func TestBulkYieldsToLiveAndKeepsItsFloor(t *testing.T) {
	queue := fullShared(t, 4)
	for i := range uint64(100) {
		queue.Submit(epoch, limit.Ticket{ID: i, Workspace: "w", Priority: 2, Tokens: 12_000})
		queue.Submit(epoch, limit.Ticket{ID: 1000 + i, Workspace: "w", Priority: 0, Tokens: 1_000})
	}
	live, bulk := 0, 0
	for _, id := range drainOrder(queue)[:80] {
		if id >= 1000 {
			live++
		} else {
			bulk++
		}
	}
	require.Equal(t, 70, live)
	require.Equal(t, 10, bulk)
}

func TestWorkspaceAtFiveTimesItsUsualWaitsForItself(t *testing.T) {
	queue := fullShared(t, 4)
	for i := range uint64(50) {
		queue.Submit(epoch, ticket(i, "hot", 1))
	}
	for i := range uint64(30) {
		queue.Submit(epoch, ticket(100+i, fmt.Sprintf("w%d", i%3), 1))
	}
	others := 0
	for _, id := range drainOrder(queue)[:42] {
		if id >= 100 {
			others++
		}
	}
	require.GreaterOrEqual(t, others, 29, "four workspaces with equal shares")
}

func TestSubjectsOfAWorkspaceTakeTurns(t *testing.T) {
	queue := fullShared(t, 1)
	for i := range uint64(3) {
		queue.Submit(epoch, limit.Ticket{ID: i, Workspace: "w", Priority: 1, Tokens: 100, Subject: 7})
	}
	queue.Submit(epoch, limit.Ticket{ID: 9, Workspace: "w", Priority: 1, Tokens: 100, Subject: 8})
	require.Equal(t, []uint64{0, 9, 1, 2}, drainOrder(queue))
}

func TestWhoCanBeOnTimeGoesBeforeWhoIsLate(t *testing.T) {
	queue := fullShared(t, 1)
	late, onTime := ticket(1, "a", 1), ticket(2, "b", 1)
	late.OnTimeBefore, onTime.OnTimeBefore = epoch.Add(-time.Second), epoch.Add(time.Second)
	queue.Submit(epoch, late)
	queue.Submit(epoch, onTime)
	require.Equal(t, []uint64{2, 1}, drainOrder(queue))
}

func TestLargestPromptsAreServedHalfAsOftenAsAll(t *testing.T) {
	queue := fullShared(t, 4)
	for i := range uint64(200) {
		size := 2_000.0
		if i%10 == 0 {
			size = 50_000
		}
		queue.Submit(epoch, limit.Ticket{ID: i, Workspace: fmt.Sprintf("w%d", i%4), Priority: 2, Tokens: size})
	}
	large := 0
	for _, id := range drainOrder(queue)[:100] {
		if id%10 == 0 {
			large++
		}
	}
	require.GreaterOrEqual(t, large, 5)
}

func TestLongQueueWithShortDeadlinesRefusesAtOnceOrServes(t *testing.T) {
	queue := fullShared(t, 4)
	accepted := 0
	for i := range uint64(100) {
		request := ticket(i, fmt.Sprintf("w%d", i%8), 1)
		request.Deadline = epoch.Add(3 * time.Second)
		decision := queue.Submit(epoch, request)
		if decision.Verdict == limit.Wait {
			accepted++
			continue
		}
		require.Equal(t, limit.RefuseDeadline, decision.Verdict)
		require.Positive(t, decision.RetryAfter)
	}
	require.Equal(t, 12, accepted, "four slots for three seconds of one-second answers")
	started := 0
	for second := range 3 {
		for range 4 {
			result := queue.Done(epoch.Add(time.Duration(second+1)*time.Second), time.Second)
			require.Empty(t, result.Expired)
			started += len(result.Run)
		}
	}
	require.Equal(t, accepted, started)
}
