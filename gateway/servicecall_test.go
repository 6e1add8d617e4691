package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/refusal"
)

func TestCallIsNotReplayedOnAConnectionThatCloses(t *testing.T) {
	c := start(t, 1)
	for range 16 { // Leave idle connections that could be reused.
		require.Equal(t, http.StatusOK, c.call(0, http.MethodPost, trigger, "", "").status)
	}
	var arrived atomic.Int64
	c.Standins.Ledger.SetHook(func(r *http.Request, ran bool) {
		if r.Method == http.MethodPost && !ran {
			arrived.Add(1)
			panic(http.ErrAbortHandler)
		}
	})
	answer := c.call(0, http.MethodPost, trigger, "own-key", "", "X-Idempotency-Key", "x")
	require.Equal(t, refusal.CodeUpstreamFailed, answer.code())
	require.Equal(t, "unknown", answer.ran())
	require.EqualValues(t, 1, arrived.Load())
}

func TestCallerCanNotSmuggleHeaders(t *testing.T) {
	c := start(t, 1)
	seen := make(chan http.Header, 1)
	c.Standins.Ledger.SetHook(func(r *http.Request, ran bool) {
		if !ran {
			seen <- r.Header.Clone()
		}
	})
	c.call(0, http.MethodPost, trigger, "", "sweep",
		"X-Persimmon-Peer-Key", "guess", "x-persimmon-fence", "9", "Baggage", "workspace=other",
		"Connection", "X-Own-Hop", "X-Own-Hop", "1", "X-Kept", "kept", "X-Request-Id", "forged",
		"Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	header := <-seen
	require.Equal(t, "kept", header.Get("X-Kept"))
	for _, name := range []string{"Authorization", "X-Persimmon-Peer-Key", "X-Persimmon-Fence", "Baggage", "X-Own-Hop"} {
		require.Empty(t, header.Get(name), name)
	}
	require.NotContains(t, header.Get("Traceparent"), "0af7651916cd43dd8448eb211c80319c")
	require.NotEqual(t, "forged", header.Get("X-Request-Id"))
}

func TestPathStaysInsideItsService(t *testing.T) {
	c := start(t, 1)
	for _, path := range []string{
		"/services/rakes/%2e%2e/orders", "/services/rakes/a%2f..%2f..%2fb", "/services/rakes/%2e/x",
		"/services/rakes/a%5c..%5cb", "/services/rakes/a%0d%0ab", "/services/rakes/..%2fv1/engine/orders",
	} {
		answer := c.call(0, http.MethodGet, path, "", "")
		require.Equal(t, http.StatusBadRequest, answer.status, path)
		require.Equal(t, "no", answer.ran(), path)
	}
	answer := c.call(0, http.MethodGet, "/services/review/v1/load", "", "")
	require.Equal(t, refusal.CodeNotFound, answer.code(), "engines are not plain services")
	answer = c.call(0, http.MethodGet, "/services/rakes/screens/a%3Fb%23c?q=1", "", "")
	require.Contains(t, answer.body, `"path":"/screens/a?b#c","query":"q=1"`)
}

func TestCallGoesOnWhenItsCallerLeaves(t *testing.T) {
	c := start(t, 1)
	arrived := make(chan struct{})
	resume := make(chan struct{})
	c.Standins.Ledger.SetHook(func(_ *http.Request, ran bool) {
		if !ran {
			close(arrived)
			<-resume
		}
	})
	key := uuid.NewString()
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base[0]+trigger, http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+c.keys[workspace])
	request.Header.Set("Idempotency-Key", key)
	left := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(request)
		left <- err
	}()
	<-arrived
	cancel()
	require.Error(t, <-left)
	close(resume)
	again := c.call(0, http.MethodPost, trigger, key, "")
	require.Equal(t, http.StatusOK, again.status, again.body)
	require.Equal(t, 1, c.runs(""))
}

func TestHeadAndSafeReads(t *testing.T) {
	c := start(t, 1)
	answer := c.call(0, http.MethodHead, "/services/rakes/screens/7", "", "")
	require.Equal(t, http.StatusOK, answer.status)
	require.Empty(t, answer.body)
	require.NotEmpty(t, answer.header.Get("Content-Length"))
}

func TestOperationIDIsBoundToItsWorkspace(t *testing.T) {
	c := start(t, 1)
	id := c.operation(0)
	stolen := c.callAs("plant-nizwa", 0, http.MethodPost, trigger, id, "sweep")
	require.Equal(t, refusal.CodeInvalidField, stolen.code(), stolen.body)
	forged := c.call(0, http.MethodPost, trigger, id[:len(id)-1]+"x", "sweep")
	require.Equal(t, refusal.CodeInvalidField, forged.code(), forged.body)
	require.Zero(t, c.runs("sweep"))
}

func TestOutageOfTheLogStopsOnlyClaims(t *testing.T) {
	c := start(t, 2)
	c.Standins.Log.SetDown(true)
	claimed := c.call(0, http.MethodPost, trigger, uuid.NewString(), "claimed")
	require.Equal(t, refusal.CodeLogUnavailable, claimed.code(), claimed.body)
	require.Equal(t, "no", claimed.ran())
	require.NotEmpty(t, claimed.header.Get("Retry-After"))
	id := c.operation(0)
	first := c.call(1, http.MethodPost, trigger, id, "bound")
	require.Equal(t, http.StatusOK, first.status, first.body)
	require.Equal(t, first.body, c.call(0, http.MethodPost, trigger, id, "bound").body)
	require.Equal(t, http.StatusOK, c.call(0, http.MethodPost, trigger, "", "no key").status)
	require.Zero(t, c.runs("claimed"))
	require.Equal(t, 1, c.runs("bound"))
}

func TestPlannedStopHandsOperationsOver(t *testing.T) {
	c := start(t, 3)
	used, unused := c.operation(0), c.operation(0)
	first := c.call(0, http.MethodPost, trigger, used, "used")
	require.NoError(t, c.Nodes[0].Stop(context.Background()))
	for _, node := range []int{1, 2} {
		again := c.call(node, http.MethodPost, trigger, used, "used")
		require.Equal(t, first.body, again.body)
	}
	late := c.call(2, http.MethodPost, trigger, unused, "unused")
	require.Equal(t, http.StatusOK, late.status, late.body)
	again := c.call(1, http.MethodPost, trigger, unused, "unused")
	require.Equal(t, late.body, again.body)
	require.Equal(t, 1, c.runs("used"))
	require.Equal(t, 1, c.runs("unused"))
}

func TestLostIncarnationLeavesTheOutcomeUnknown(t *testing.T) {
	c := start(t, 2)
	id := c.operation(0)
	c.Nodes[0].Kill()
	answer := c.call(1, http.MethodPost, trigger, id, "sweep")
	require.Equal(t, refusal.CodeOutcomeUnknown, answer.code(), answer.body)
	require.Equal(t, "unknown", answer.ran())
	require.Zero(t, c.runs("sweep"))
}

func TestKeyOlderThanTheLogDoesNotRunAgain(t *testing.T) {
	c := start(t, 2)
	old := "order-17"
	require.Equal(t, http.StatusOK, c.call(0, http.MethodPost, trigger, old, "old").status)
	require.Equal(t, http.StatusOK, c.call(1, http.MethodPost, trigger, old, "old").status, "node 1 has read the outcome")
	for i := range 4 {
		c.Standins.Log.Trim("claims-"+string(rune('0'+i)), 1<<40)
	}
	require.Equal(t, http.StatusOK, c.call(1, http.MethodPost, trigger, old, "old").status, "node 1 remembers")
	c.Nodes[0].Kill()
	require.NoError(t, c.StartNode(t.Context(), 0))
	c.base[0] = "http://" + c.Nodes[0].CallerAddress()
	var answer reply
	require.Eventually(t, func() bool {
		answer = c.call(0, http.MethodPost, trigger, old, "old")
		return answer.code() == refusal.CodeOutcomeUnknown
	}, waitTimeout, 10*time.Millisecond)
	require.Equal(t, "unknown", answer.ran())
	require.Equal(t, 1, c.runs("old"))
}

func TestSlowReadIsHedged(t *testing.T) {
	c := start(t, 1)
	var arrived atomic.Int64
	resume := make(chan struct{})
	defer close(resume)
	c.Standins.Ledger.SetHook(func(_ *http.Request, ran bool) {
		if !ran && arrived.Add(1) == 1 {
			<-resume
		}
	})
	answer := c.call(0, http.MethodGet, "/services/rakes/screens/7", "", "")
	require.Equal(t, http.StatusOK, answer.status, answer.body)
	require.EqualValues(t, 2, arrived.Load())
}

func TestTriggerIsNotHedged(t *testing.T) {
	c := start(t, 1)
	var arrived atomic.Int64
	c.Standins.Ledger.SetHook(func(_ *http.Request, ran bool) {
		if !ran {
			arrived.Add(1)
			time.Sleep(time.Second)
		}
	})
	require.Equal(t, http.StatusOK, c.call(0, http.MethodPost, trigger, "", "sweep").status)
	require.EqualValues(t, 1, arrived.Load())
}

func TestAnswerThatIsTooLargeIsRefusedNotCut(t *testing.T) {
	c := start(t, 1)
	body := strings.Repeat("x", 4<<20)
	key := uuid.NewString()
	answer := c.call(0, http.MethodPost, trigger, key, body)
	require.Equal(t, refusal.CodeAnswerTooLarge, answer.code())
	require.Equal(t, "unknown", answer.ran())
	again := c.call(0, http.MethodPost, trigger, key, body)
	require.Equal(t, refusal.CodeOutcomeUnknown, again.code())
	require.Equal(t, 1, c.runs(body))
}

func TestTriggerGoesOnToAnotherUpstreamWhileNothingWasSent(t *testing.T) {
	c := start(t, 1)
	for _, id := range []string{"rakes-1", "rakes-2", "rakes-3"} {
		c.Standins.Kill(id)
	}
	for range 4 {
		body := uuid.NewString()
		require.Equal(t, http.StatusOK, c.call(0, http.MethodPost, trigger, "", body).status)
		require.Equal(t, 1, c.runs(body))
	}
	c.Standins.Kill("rakes-4")
	key := uuid.NewString()
	answer := c.call(0, http.MethodPost, trigger, key, "sweep")
	require.Equal(t, "no", answer.ran(), answer.body)
	definition := api.DeploymentService{ID: "rakes-5", DataCentre: "nizwa", MachineClass: "spot-small", Service: "rakes"}
	require.NoError(t, c.Standins.StartService(definition))
	require.Eventually(t, func() bool {
		return c.call(0, http.MethodPost, trigger, key, "sweep").status == http.StatusOK
	}, waitTimeout, 50*time.Millisecond, "the key is free again")
	require.Equal(t, 1, c.runs("sweep"))
}

func TestNodeThatSentKnowsTheAnswerWhileTheLogIsDown(t *testing.T) {
	c := start(t, 2)
	c.Standins.Ledger.SetHook(func(_ *http.Request, ran bool) {
		if ran {
			c.Standins.Log.SetDown(true)
		}
	})
	key := uuid.NewString()
	first := c.call(0, http.MethodPost, trigger, key, "sweep")
	require.Equal(t, http.StatusOK, first.status, first.body)
	again := c.call(0, http.MethodPost, trigger, key, "sweep")
	require.Equal(t, first.body, again.body)
	require.Equal(t, "true", again.header.Get("Idempotent-Replayed"))
	elsewhere := c.call(1, http.MethodPost, trigger, key, "sweep")
	require.NotEqual(t, http.StatusOK, elsewhere.status)
	require.Equal(t, 1, c.runs("sweep"))
}
