package e2e_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/standin"
)

func TestStreamMovesByKVBeforeItsUpstreamIsReclaimed(t *testing.T) {
	t.Parallel()
	cluster := start(t, 100, nil)
	text := longPrompt(t, "reclaim")
	answer := open(t, cluster, 0, text)
	answer.read(3)
	cluster.Standins.Cloud.Reclaim(engineOf(t, cluster), 3*time.Second)
	answer.requireWhole(text)
	require.Positive(t, counted(t, cluster, "retries_total", "reclaim"))
	require.Less(t, counted(t, cluster, "recomputed_tokens_total", "reclaim"), 100.0)
	require.Zero(t, counted(t, cluster, "retries_total", "crash"))
}

func TestStreamGoesOnWhenItsUpstreamDies(t *testing.T) {
	t.Parallel()
	cluster := start(t, 30, nil)
	text := longPrompt(t, "crash")
	answer := open(t, cluster, 0, text)
	answer.read(5)
	cluster.Standins.Kill(engineOf(t, cluster))
	answer.requireWhole(text)
	require.Equal(t, 1.0, counted(t, cluster, "retries_total", "crash"))
	require.Positive(t, counted(t, cluster, "recomputed_tokens_total", "crash"))
	again := open(t, cluster, 1, text)
	again.requireWhole(text)
}

func TestSilentConnectionGoesOnAtTheSameUpstream(t *testing.T) {
	t.Parallel()
	cluster := start(t, 30, nil)
	text := longPrompt(t, "silent")
	answer := open(t, cluster, 0, text)
	answer.read(5)
	id := engineOf(t, cluster)
	before := cluster.Standins.Engine(id).PrefilledTokens()
	cluster.Standins.Server(id).Silence()
	answer.requireWhole(text)
	require.Equal(t, 1.0, counted(t, cluster, "retries_total", "silent"))
	require.Zero(t, counted(t, cluster, "retries_total", "crash"))
	after := cluster.Standins.Engine(id)
	require.NotNil(t, after)
	require.Less(t, after.PrefilledTokens()-before, int64(100))
	require.Empty(t, busyEngines(cluster))
}

func TestPoisonTakesDownTwoUpstreamsAndNoInnocentIsRefused(t *testing.T) {
	t.Parallel()
	cluster := start(t, 30, nil)
	var innocents []*stream
	var texts []string
	for i := range 6 {
		texts = append(texts, longPrompt(t, "innocent "+string(rune('a'+i))))
		innocents = append(innocents, open(t, cluster, i%len(cluster.Nodes), texts[i]))
	}
	alive := engines(cluster)
	for i := range 4 {
		poisoned := open(t, cluster, i, "sweep "+standin.CrashMarker)
		poisoned.read(1 << 20)
		require.Equal(t, http.StatusUnprocessableEntity, poisoned.response.StatusCode, "at node %d", i)
	}
	for i, innocent := range innocents {
		innocent.requireWhole(texts[i])
	}
	require.Equal(t, 2, alive-engines(cluster))
}

func engines(cluster *demo.Cluster) int {
	alive := 0
	for i := range 20 {
		if cluster.Standins.Engine(fmt.Sprintf("engine-%02d", i+1)) != nil {
			alive++
		}
	}
	return alive
}
