package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
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
	cluster.Standins.Server(id).BlackholeConnections()
	answer.requireWhole(text)
	require.Equal(t, 1.0, counted(t, cluster, "retries_total", "silent"))
	require.Zero(t, counted(t, cluster, "retries_total", "crash"))
	after := cluster.Standins.Engine(id)
	require.NotNil(t, after)
	require.Less(t, after.PrefilledTokens()-before, int64(100))
	require.Empty(t, busyEngines(cluster))
}

// The engines are few, so that each runs innocents beside the poison.
func TestPoisonTakesDownTwoUpstreamsAndNoInnocentIsRefused(t *testing.T) {
	t.Parallel()
	const alive = 4
	cluster := startWith(t, alive, 100, nil)
	innocents, texts := innocentsAt(t, cluster, 4*alive)
	for i := range 4 {
		poisoned := open(t, cluster, i, "sweep "+standin.CrashMarker)
		poisoned.read(1 << 20)
		require.Equal(t, http.StatusUnprocessableEntity, poisoned.response.StatusCode, "at node %d", i)
	}
	for i, innocent := range innocents {
		innocent.requireWhole(texts[i])
	}
	require.Equal(t, 2, alive-engines(cluster))
	require.Greater(t, counted(t, cluster, "retries_total", "crash"), 2.0)
}

func TestPoisonSentAtAllNodesAtOnceTakesDownTwoUpstreams(t *testing.T) {
	t.Parallel()
	cluster := start(t, 30, nil)
	alive := engines(cluster)
	var group sync.WaitGroup
	statuses := make([]int, 3*len(cluster.Nodes))
	for i := range statuses {
		group.Go(func() {
			poisoned := open(t, cluster, i%len(cluster.Nodes), "sweep "+standin.CrashMarker)
			poisoned.read(1 << 20)
			statuses[i] = poisoned.response.StatusCode
		})
	}
	group.Wait()
	for _, status := range statuses {
		require.Equal(t, http.StatusUnprocessableEntity, status)
	}
	require.Equal(t, 2, alive-engines(cluster))
}

func TestManyStreamsOnADyingUpstreamAllGoOn(t *testing.T) {
	t.Parallel()
	cluster := startWith(t, 3, 100, nil)
	answers, texts := innocentsAt(t, cluster, 15)
	busy := busyEngines(cluster)
	require.NotEmpty(t, busy)
	cluster.Standins.Kill(busy[0])
	for i, answer := range answers {
		answer.requireWhole(texts[i])
	}
}

// innocentsAt opens streams over all nodes and reads the first tokens of each.
func innocentsAt(t *testing.T, cluster *demo.Cluster, count int) ([]*stream, []string) {
	t.Helper()
	var answers []*stream
	var texts []string
	for i := range count {
		texts = append(texts, promptOf(t, "innocent "+string(rune('a'+i)), 30))
		answers = append(answers, open(t, cluster, i%len(cluster.Nodes), texts[i]))
	}
	return answers, texts
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
