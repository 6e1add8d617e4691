package e2e_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/refusal"
)

func TestCallerReattachesAtAnyNodeAndOnlyItsWorkspace(t *testing.T) {
	t.Parallel()
	cluster := start(t, 30, nil)
	text := longPrompt(t, "reattach")
	answer := open(t, cluster, 0, text)
	answer.read(5)
	require.NoError(t, answer.response.Body.Close())
	for at := range cluster.Nodes {
		again := send(t, cluster, at, http.MethodGet, "/v1/requests/"+answer.id, "", answer.lastID, workspace)
		again.content.WriteString(answer.content.String())
		again.requireComplete(text)
		other := send(t, cluster, at, http.MethodGet, "/v1/requests/"+answer.id, "", "", otherWorkspace(t, cluster))
		require.Equal(t, http.StatusNotFound, other.response.StatusCode)
		require.Equal(t, "unknown", other.response.Header.Get(refusal.HeaderRan))
	}
	lost := send(t, cluster, 2, http.MethodGet, "/v1/requests/node-1.gone.6f1c", "", "", workspace)
	require.Equal(t, http.StatusNotFound, lost.response.StatusCode)
	require.Equal(t, "unknown", lost.response.Header.Get(refusal.HeaderRan))
	require.NotEmpty(t, lost.response.Header.Get("Retry-After"))
}

func TestOwnerDiesWithoutNotice(t *testing.T) {
	t.Parallel()
	cluster := start(t, 50, nil)
	text := longPrompt(t, "owner dies")
	answer, at := openElsewhere(t, cluster, text)
	answer.read(5)
	owner := holderOf(t, cluster, answer.id)
	cluster.Nodes[owner].Kill()
	answer.read(20)
	other := send(t, cluster, survivor(len(cluster.Nodes), at, owner), http.MethodGet, "/v1/requests/"+answer.id, "", "", workspace)
	answer.requireComplete(text)
	other.requireComplete(text)
}

func TestStoppingOwnerHandsOver(t *testing.T) {
	t.Parallel()
	cluster := start(t, 100, shortDrain)
	text := longPrompt(t, "owner stops")
	answer, at := openElsewhere(t, cluster, text)
	answer.read(5)
	owner := holderOf(t, cluster, answer.id)
	stopped := make(chan error, 1)
	go func() { stopped <- stop(t, cluster.Nodes[owner]) }()
	answer.read(15)
	require.NoError(t, <-stopped)
	other := send(t, cluster, survivor(len(cluster.Nodes), at, owner), http.MethodGet, "/v1/requests/"+answer.id, "", "", workspace)
	answer.requireComplete(text)
	other.requireComplete(text)
	require.Less(t, counterSum(t, cluster, "recomputed_tokens_total", "handover"), 100.0)
}

func TestCallerOfStoppingEntryGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	cluster := start(t, 100, shortDrain)
	text := longPrompt(t, "entry stops")
	answer, at := openElsewhere(t, cluster, text)
	answer.read(5)
	require.NoError(t, stop(t, cluster.Nodes[at]))
	answer.read(1 << 20)
	require.False(t, answer.complete)
	require.NotNil(t, answer.failed)
	require.Equal(t, string(refusal.CodeDraining), answer.failed.Code)
	require.Equal(t, refusal.RanUnknown, answer.failed.Ran)
	again := send(t, cluster, survivor(len(cluster.Nodes), at, at), http.MethodGet, "/v1/requests/"+answer.id, "", answer.lastID, workspace)
	again.content.WriteString(answer.content.String())
	again.requireComplete(text)
}

func TestReclaimedNodeHandsOverItsOwnCallers(t *testing.T) {
	t.Parallel()
	cluster := start(t, 100, nil)
	text := longPrompt(t, "node is reclaimed")
	first := open(t, cluster, 0, text)
	at := holderOf(t, cluster, first.id)
	require.NoError(t, first.response.Body.Close())
	answer := open(t, cluster, at, text)
	require.Equal(t, at, holderOf(t, cluster, answer.id))
	answer.read(3)
	cluster.Standins.Cloud.Reclaim(cluster.Nodes[at].Heartbeat().NodeID, 4*time.Second)
	answer.read(1 << 20)
	<-cluster.Nodes[at].Reclaimed()
	require.NoError(t, stop(t, cluster.Nodes[at]))
	if !answer.complete {
		require.NotNil(t, answer.failed)
		again := send(t, cluster, survivor(len(cluster.Nodes), at, at), http.MethodGet, "/v1/requests/"+answer.id, "", answer.lastID, workspace)
		again.content.WriteString(answer.content.String())
		again.requireComplete(text)
	}
}

func TestDeadlineEndsARequestAtOnce(t *testing.T) {
	t.Parallel()
	cluster := start(t, 100, nil)
	answer := sendWithin(t, cluster, 0, http.MethodPost, "/v1/chat/completions", chatBody(t, longPrompt(t, "deadline")), "", workspace, "3000")
	answer.read(1 << 20)
	require.False(t, answer.complete)
	require.NotNil(t, answer.failed)
	require.Equal(t, string(refusal.CodeDeadline), answer.failed.Code)
	require.Eventually(t, func() bool { return len(busyEngines(cluster)) == 0 }, conditionTimeout, 10*time.Millisecond)
}

// shortDrain ends before an answer of longPrompt does, with time for a hand-over on a busy machine.
func shortDrain(s *api.Settings) { s.DrainTimeout = 1500 * time.Millisecond }

// survivor returns the index of a node other than the two given.
func survivor(nodes, first, second int) int {
	for i := range nodes {
		if i != first && i != second {
			return i
		}
	}
	return 0
}
