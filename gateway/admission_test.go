package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/telemetry"
)

const admitted = "review"

// fullGateway returns a gateway whose only slot is taken, with room for ten in its queue.
func fullGateway(t *testing.T) (*Gateway, func()) {
	t.Helper()
	loop := control.NewLoop(time.Now, zerolog.Nop(), telemetry.NewMetrics())
	g := &Gateway{Options: Options{Control: loop}, admission: newAdmission(1)}
	g.admission.queues[admitted] = limit.NewQueue(1, 10)
	release, refused := g.admitTicket(t.Context(), admitted, limit.Ticket{Workspace: "a"})
	require.Nil(t, refused)
	return g, release
}

func TestWaitingRequestRunsWhenASlotComesFree(t *testing.T) {
	g, release := fullGateway(t)
	got := make(chan *refusal.Refusal)
	go func() {
		done, refused := g.admitTicket(context.Background(), admitted, limit.Ticket{Workspace: "b"})
		if done != nil {
			done()
		}
		got <- refused
	}()
	require.Eventually(t, func() bool {
		g.admission.mu.Lock()
		defer g.admission.mu.Unlock()
		return g.admission.queues[admitted].Waiting() == 1
	}, time.Minute, time.Millisecond)
	release()
	require.Nil(t, <-got)
	require.Zero(t, g.admission.queues[admitted].Running())
	require.Empty(t, g.admission.waiters)
}

func TestWaitEndsAtTheDeadlineWithWhenToComeBack(t *testing.T) {
	g, release := fullGateway(t)
	defer release()
	// The queue expects a slot within a second; the deadline is later, and none comes.
	_, refused := g.admitTicket(t.Context(), admitted, limit.Ticket{Workspace: "b", Deadline: time.Now().Add(1200 * time.Millisecond)})
	require.NotNil(t, refused)
	require.Equal(t, refusal.CodeDeadline, refused.Code)
	require.Equal(t, refusal.RanNo, refused.Ran)
	require.Equal(t, http.StatusServiceUnavailable, refused.Status)
	require.Positive(t, refused.RetryAfter)
	require.Empty(t, g.admission.waiters)
	require.Zero(t, g.admission.queues[admitted].Waiting())
}

func TestCanceledWaitLeavesTheQueue(t *testing.T) {
	g, release := fullGateway(t)
	defer release()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, refused := g.admitTicket(ctx, admitted, limit.Ticket{Workspace: "b"})
	require.NotNil(t, refused)
	require.Equal(t, refusal.CodeCanceled, refused.Code)
	require.Zero(t, g.admission.queues[admitted].Waiting())
}
