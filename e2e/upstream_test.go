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
	cluster.Standins.Cloud.Reclaim(busyEngine(t, cluster), 3*time.Second)
	answer.requireComplete(text)
	require.Positive(t, counterSum(t, cluster, "retries_total", "reclaim"))
	require.Less(t, counterSum(t, cluster, "recomputed_tokens_total", "reclaim"), 100.0)
	require.Zero(t, counterSum(t, cluster, "retries_total", "crash"))
}

func TestStreamGoesOnWhenItsUpstreamDies(t *testing.T) {
	t.Parallel()
	cluster := start(t, 30, nil)
	text := longPrompt(t, "crash")
	answer := open(t, cluster, 0, text)
	answer.read(5)
	cluster.Standins.Kill(busyEngine(t, cluster))
	answer.requireComplete(text)
	require.Equal(t, 1.0, counterSum(t, cluster, "retries_total", "crash"))
	require.Positive(t, counterSum(t, cluster, "recomputed_tokens_total", "crash"))
	again := open(t, cluster, 1, text)
	again.requireComplete(text)
}

func TestSilentConnectionGoesOnAtTheSameUpstream(t *testing.T) {
	t.Parallel()
	cluster := start(t, 30, nil)
	text := longPrompt(t, "silent")
	answer := open(t, cluster, 0, text)
	answer.read(5)
	id := busyEngine(t, cluster)
	before := cluster.Standins.Engine(id).PrefilledTokens()
	cluster.Standins.Server(id).BlackholeConnections()
	answer.requireComplete(text)
	require.Equal(t, 1.0, counterSum(t, cluster, "retries_total", "silent"))
	require.Zero(t, counterSum(t, cluster, "retries_total", "crash"))
	after := cluster.Standins.Engine(id)
	require.NotNil(t, after)
	require.Less(t, after.PrefilledTokens()-before, int64(100))
	require.Empty(t, busyEngines(cluster))
}

// Few engines are used, so that each runs other requests together with the poison request.
func TestPoisonTakesDownTwoUpstreamsAndNoInnocentIsRefused(t *testing.T) {
	t.Parallel()
	const alive = 4
	cluster := startWith(t, alive, 100, nil)
	others, texts := openStreams(t, cluster, 4*alive)
	for i := range 4 {
		poisoned := open(t, cluster, i, "sweep "+standin.CrashMarker)
		poisoned.read(1 << 20)
		require.Equal(t, http.StatusUnprocessableEntity, poisoned.response.StatusCode, "at node %d", i)
	}
	for i, other := range others {
		other.requireComplete(texts[i])
	}
	require.Equal(t, 2, alive-liveEngines(cluster))
	require.Greater(t, counterSum(t, cluster, "retries_total", "crash"), 2.0)
}

func TestPoisonSentAtAllNodesAtOnceTakesDownTwoUpstreams(t *testing.T) {
	t.Parallel()
	cluster := start(t, 30, nil)
	alive := liveEngines(cluster)
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
	require.Equal(t, 2, alive-liveEngines(cluster))
}

func TestManyStreamsOnADyingUpstreamAllGoOn(t *testing.T) {
	t.Parallel()
	cluster := startWith(t, 3, 100, nil)
	answers, texts := openStreams(t, cluster, 15)
	busy := busyEngines(cluster)
	require.NotEmpty(t, busy)
	cluster.Standins.Kill(busy[0])
	for i, answer := range answers {
		answer.requireComplete(texts[i])
	}
}

// openStreams opens streams, spread over all nodes.
func openStreams(t *testing.T, cluster *demo.Cluster, count int) ([]*stream, []string) {
	t.Helper()
	var answers []*stream
	var texts []string
	for i := range count {
		texts = append(texts, promptOf(t, "innocent "+string(rune('a'+i)), 30))
		answers = append(answers, open(t, cluster, i%len(cluster.Nodes), texts[i]))
	}
	return answers, texts
}

func liveEngines(cluster *demo.Cluster) int {
	alive := 0
	for i := range 20 {
		if cluster.Standins.Engine(fmt.Sprintf("engine-%02d", i+1)) != nil {
			alive++
		}
	}
	return alive
}
