package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/persimmonline/persimmonline/internal/fixedseed"
	"github.com/persimmonline/persimmonline/limit"
)

var epoch = time.Unix(1_700_000_000, 0)

func ticket(id uint64, workspace string, priority int) limit.Ticket {
	return limit.Ticket{ID: id, Workspace: workspace, Priority: priority, Tokens: 100}
}

// fullQueue returns a queue whose slots are all in use, including the reserved ones.
func fullQueue(t *testing.T, slots, length int) *limit.Queue {
	t.Helper()
	queue := limit.NewQueue(slots, length)
	for i := range slots {
		require.Equal(t, limit.Run, queue.Submit(epoch, ticket(uint64(1000+i), "full", 0)).Verdict)
	}
	return queue
}

// drainOrder runs all waiting requests and returns their ids in order.
func drainOrder(queue *limit.Queue) []uint64 {
	var ids []uint64
	for queue.Waiting() > 0 {
		ids = append(ids, queue.Done(epoch, time.Second).Run...)
	}
	return ids
}

func TestStatusReadsGoBeforeReviews(t *testing.T) {
	queue := fullQueue(t, 1, 10)
	queue.Submit(epoch, ticket(1, "a", 5))
	queue.Submit(epoch, ticket(2, "a", 5))
	queue.Submit(epoch, ticket(3, "a", 0))
	require.Equal(t, []uint64{3, 1, 2}, drainOrder(queue))
}

func TestPreviewTellsWhatASubmissionWouldAndChangesNothing(t *testing.T) {
	queue := fullQueue(t, 2, 8)
	require.Equal(t, limit.Wait, queue.Submit(epoch, ticket(1, "a", 0)).Verdict)
	require.Equal(t, limit.Wait, queue.Submit(epoch, ticket(2, "b", 5)).Verdict)
	for range 3 {
		require.Equal(t, 2, queue.Preview(epoch, ticket(3, "b", 5)).Ahead)
		require.Equal(t, 1, queue.Preview(epoch, ticket(3, "a", 0)).Ahead)
	}
	require.Equal(t, limit.Wait, queue.Preview(epoch, ticket(3, "a", 0)).Verdict)
	require.Equal(t, limit.Wait, queue.Submit(epoch, ticket(3, "a", 0)).Verdict)
	require.Equal(t, []uint64{1, 3, 2}, drainOrder(queue))
	queue = fullQueue(t, 1, 1)
	queue.Submit(epoch, ticket(4, "a", 0))
	require.Equal(t, limit.RefuseFull, queue.Preview(epoch, ticket(5, "a", 0)).Verdict)
	require.Equal(t, limit.Run, limit.NewQueue(1, 1).Preview(epoch, ticket(5, "a", 0)).Verdict)
}

func TestReservedSlotsAreForFirstPriority(t *testing.T) {
	queue := limit.NewQueue(20, 10)
	running := 0
	for i := range uint64(20) {
		if queue.Submit(epoch, ticket(i, "a", 1)).Verdict == limit.Run {
			running++
		}
	}
	require.Equal(t, 18, running)
	require.Equal(t, limit.Run, queue.Submit(epoch, ticket(99, "b", 0)).Verdict)
}

func TestBurstOfOneWorkspaceDoesNotStarveAnother(t *testing.T) {
	queue := fullQueue(t, 1, 40)
	queue.SetWeights(map[string]float64{"large": 4, "small": 1})
	refused := 0
	for i := range uint64(200) {
		if queue.Submit(epoch, ticket(i, "large", 3)).Verdict != limit.Wait {
			refused++
		}
	}
	require.Positive(t, refused)
	require.Equal(t, limit.Wait, queue.Submit(epoch, ticket(500, "small", 3)).Verdict, "a burst leaves room in the queue for other workspaces")
	position := 0
	for i, id := range drainOrder(queue) {
		if id == 500 {
			position = i
		}
	}
	require.LessOrEqual(t, position, 5, "the small workspace is served by its weight instead of after the burst")
}

func TestSharesFollowWeightAndTokens(t *testing.T) {
	queue := fullQueue(t, 1, 400)
	queue.SetWeights(map[string]float64{"a": 3, "b": 1})
	for i := range uint64(100) {
		queue.Submit(epoch, limit.Ticket{ID: i, Workspace: "a", Priority: 3, Tokens: 100})
		queue.Submit(epoch, limit.Ticket{ID: 100 + i, Workspace: "b", Priority: 3, Tokens: 100})
	}
	countA := 0
	for _, id := range drainOrder(queue)[:80] {
		if id < 100 {
			countA++
		}
	}
	require.InDelta(t, 60, countA, 2)
}

func TestLateRequestIsRefusedAtOnceWithWhenToComeBack(t *testing.T) {
	queue := fullQueue(t, 2, 100)
	for i := range uint64(10) {
		queue.Submit(epoch, ticket(i, "a", 3))
	}
	late := ticket(50, "a", 3)
	late.Deadline = epoch.Add(time.Second)
	decision := queue.Submit(epoch, late)
	require.Equal(t, limit.RefuseDeadline, decision.Verdict)
	require.Greater(t, decision.RetryAfter, 2*time.Second)
	late.Deadline = epoch.Add(time.Minute)
	require.Equal(t, limit.Wait, queue.Submit(epoch, late).Verdict)
}

func TestExpiredRequestsDoNotStart(t *testing.T) {
	queue := fullQueue(t, 1, 10)
	short := ticket(1, "a", 3)
	short.Deadline = epoch.Add(3 * time.Second)
	require.Equal(t, limit.Wait, queue.Submit(epoch, short).Verdict)
	queue.Submit(epoch, ticket(2, "a", 3))
	started := queue.Done(epoch.Add(4*time.Second), time.Second)
	require.Equal(t, limit.Started{Run: []uint64{2}, Expired: []uint64{1}}, started)
}

func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, length := rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(1, 8).Draw(t, "length")
		queue := limit.NewQueue(slots, length)
		waiting := map[uint64]bool{}
		running := 0
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				workspace := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
				switch queue.Submit(epoch, ticket(id, workspace, rapid.IntRange(0, 9).Draw(t, "priority"))).Verdict {
				case limit.Run:
					running++
				case limit.Wait:
					waiting[id] = true
				}
			case 2:
				if running > 0 {
					running--
					for _, started := range queue.Done(epoch, time.Second).Run {
						require.True(t, waiting[started], "only waiting requests start, and only once")
						delete(waiting, started)
						running++
					}
				}
			case 3:
				for waiter := range waiting {
					require.True(t, queue.Cancel(waiter))
					delete(waiting, waiter)
					break
				}
			}
			require.LessOrEqual(t, queue.Running(), slots)
			require.LessOrEqual(t, queue.Waiting(), length)
			require.Equal(t, running, queue.Running())
			require.Len(t, waiting, queue.Waiting())
		}
	})
}

func TestWorkspaceLimitsAreSharedBetweenNodes(t *testing.T) {
	table := limit.NewWorkspaceLimiter()
	table.Configure(epoch, map[string]limit.Limits{"a": {RequestsPerSecond: 10, Burst: 10}}, 5)
	accepted := 0
	for range 10 {
		if table.Acquire(epoch, "a", 10).Verdict == limit.Run {
			accepted++
		}
	}
	require.Equal(t, 2, accepted)
	decision := table.Acquire(epoch, "a", 10)
	require.Equal(t, limit.RefuseWorkspace, decision.Verdict)
	require.InDelta(t, 0.5, decision.RetryAfter.Seconds(), 0.001)
	require.Equal(t, limit.Run, table.Acquire(epoch.Add(decision.RetryAfter), "a", 10).Verdict)
	require.Equal(t, limit.Run, table.Acquire(epoch, "unbound", 10).Verdict)
}

func TestWorkspaceConcurrencyAndTokens(t *testing.T) {
	table := limit.NewWorkspaceLimiter()
	table.Configure(epoch, map[string]limit.Limits{
		"few":    {Concurrency: 2},
		"tokens": {TokensPerSecond: 100, RequestsPerSecond: 0.001, Burst: 3},
	}, 1)
	require.Equal(t, limit.Run, table.Acquire(epoch, "few", 1).Verdict)
	require.Equal(t, limit.Run, table.Acquire(epoch, "few", 1).Verdict)
	require.Equal(t, limit.RefuseWorkspace, table.Acquire(epoch, "few", 1).Verdict)
	table.Release("few")
	require.Equal(t, limit.Run, table.Acquire(epoch, "few", 1).Verdict)
	require.Equal(t, limit.Run, table.Acquire(epoch, "tokens", 900).Verdict)
	decision := table.Acquire(epoch, "tokens", 300)
	require.Equal(t, limit.RefuseWorkspace, decision.Verdict)
	require.InDelta(t, 2, decision.RetryAfter.Seconds(), 0.01)
	require.Equal(t, limit.Run, table.Acquire(epoch, "tokens", 50).Verdict)
	require.Equal(t, limit.Run, table.Acquire(epoch, "tokens", 50).Verdict, "a refused request takes no tokens")
}
