package node_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/infra/httpclient"
	"github.com/persimmonline/persimmonline/operator"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/standin"
	"github.com/persimmonline/persimmonline/telemetry"
)

const (
	// inForceWithin is the target for a patch to be in force everywhere.
	inForceWithin = 16 * time.Second
	// waitTimeout bounds waits whose duration is not under test.
	waitTimeout = 60 * time.Second
)

func startCluster(t testing.TB) *demo.Cluster {
	t.Helper()
	telemetry.BridgeLogx(zerolog.Nop())
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust: func(s *api.Settings) {
			s.ReadinessGrace = 0
			s.SnapshotInterval = time.Second
		},
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop(context.Background())) })
	return cluster
}

// publish publishes a patch and waits until it is in force on every node.
func publish(t testing.TB, cluster *demo.Cluster, document string) api.PatchResult {
	t.Helper()
	announced := cluster.Announce()
	client := operator.NewClient(announced.Admin, announced.AdminKey)
	defer client.Close()
	result, err := client.PublishAndWait(t.Context(), operator.PublishRequest{
		Base: -1, Format: "merge", Patch: json.RawMessage(document), Wait: true, Timeout: waitTimeout,
	})
	require.NoError(t, err)
	require.Equal(t, "accepted", result.Verdict, result.Reason)
	require.True(t, result.InForce, "waiting for %v", result.WaitingFor)
	return result
}

// waitForSnapshot returns once the log holds a snapshot of a version.
func waitForSnapshot(t testing.TB, cluster *demo.Cluster, version int64) {
	t.Helper()
	client := httpclient.NewLogClient(cluster.Standins.LogURL())
	defer client.Close()
	require.Eventually(t, func() bool {
		page, err := client.Read(t.Context(), control.SnapshotStream, 0, 1000, 0)
		if err != nil {
			return false
		}
		for _, stored := range page.Records {
			var record api.Record
			if json.Unmarshal(stored.Data, &record) == nil && record.Snapshot != nil && record.Snapshot.Version >= version {
				return true
			}
		}
		return false
	}, waitTimeout, 20*time.Millisecond)
}

func requireReadyAt(t testing.TB, cluster *demo.Cluster, index int, version int64) {
	t.Helper()
	node := cluster.Nodes[index]
	require.Eventually(t, func() bool { return node.Ready() && node.Heartbeat().ConfigVersion == version }, waitTimeout, 10*time.Millisecond)
}

func TestNodeNewInAnOutageServesWithThePeersConfiguration(t *testing.T) {
	cluster := startCluster(t)
	version := publish(t, cluster, `{"policy":{"cost_weight":3}}`).Version
	cluster.Standins.Log.SetDown(true)
	cluster.Nodes[1].Kill()
	require.NoError(t, cluster.StartNode(t.Context(), 1))
	requireReadyAt(t, cluster, 1, version)
	fresh := cluster.Nodes[1]
	require.Equal(t, string(control.ConfigLogUnreachable), fresh.Heartbeat().ConfigState)
	require.EqualValues(t, -1, fresh.Heartbeat().ConfigAgeMS, "it never read the log")
	cluster.Standins.Log.SetDown(false)
	require.EqualValues(t, version+1, publish(t, cluster, `{"policy":{"cost_weight":4}}`).Version)
}

// TestNodeThatAloneCanNotReadTheLogFollowsItsPeers serves the log to one node at a separate
// address and closes that server, so that only this node can't read the log.
func TestNodeThatAloneCanNotReadTheLogFollowsItsPeers(t *testing.T) {
	telemetry.BridgeLogx(zerolog.Nop())
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	const isolated = 2
	var logServer *standin.Server
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Prepare: func(standins *standin.Deployment) {
			var err error
			logServer, err = standin.Serve("127.0.0.1:0", standins.Log.Handler())
			require.NoError(t, err)
		},
		Adjust: func(s *api.Settings) {
			s.ReadinessGrace = 0
			if s.NodeID == deployment.Nodes[isolated].ID {
				s.LogURL = logServer.URL()
			}
		},
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop(context.Background())) })
	logServer.Close()
	for round := range int64(3) {
		require.EqualValues(t, round+2, publish(t, cluster, `{"policy":{"cost_weight":3}}`).Version)
		requireReadyAt(t, cluster, isolated, round+2)
	}
	require.Equal(t, string(control.ConfigLogUnreachable), cluster.Nodes[isolated].Heartbeat().ConfigState)
}

func TestReplacedFleetKeepsTheVersionAfterRecordsExpired(t *testing.T) {
	cluster := startCluster(t)
	version := publish(t, cluster, `{"policy":{"cost_weight":3}}`).Version
	waitForSnapshot(t, cluster, version)
	cluster.Standins.Log.Trim(control.ConfigStream, version)
	for i := range cluster.Nodes {
		cluster.Nodes[i].Kill()
	}
	for i := range cluster.Nodes {
		require.NoError(t, cluster.StartNode(t.Context(), i))
	}
	for i := range cluster.Nodes {
		requireReadyAt(t, cluster, i, version)
	}
	require.EqualValues(t, version+1, publish(t, cluster, `{"policy":{"cost_weight":4}}`).Version)
}

func TestConfigurationIsGivenToPeersOnly(t *testing.T) {
	cluster := startCluster(t)
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	peerKey := deployment.PeerKey
	node := cluster.Nodes[0]
	for _, c := range []struct {
		url, key string
		status   int
	}{
		{"http://" + node.PeerAddress() + "/peer/v1/config?from=0", "", http.StatusUnauthorized},
		{"http://" + node.PeerAddress() + "/peer/v1/config?from=0", "a guess of the key", http.StatusUnauthorized},
		{"http://" + node.PeerAddress() + "/peer/v1/config?from=x", peerKey, http.StatusBadRequest},
		{"http://" + node.PeerAddress() + "/peer/v1/config?from=0", peerKey, http.StatusOK},
		{"http://" + node.CallerAddress() + "/peer/v1/config?from=0", peerKey, http.StatusNotFound},
		{"http://" + node.CallerAddress() + "/admin/v1/status", peerKey, http.StatusNotFound},
		{"http://" + node.CallerAddress() + "/metrics", "", http.StatusNotFound},
		{"http://" + node.AdminAddress() + "/peer/v1/config?from=0", peerKey, http.StatusNotFound},
		{"http://" + node.AdminAddress() + "/admin/v1/config", "", http.StatusUnauthorized},
	} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.url, nil)
		require.NoError(t, err)
		request.Header.Set(peer.HeaderKey, c.key)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, c.status, response.StatusCode, c.url)
	}
}

// BenchmarkPublishToInForce measures the time from publish until the patch is known to
// be in force at all five nodes, against the target.
func BenchmarkPublishToInForce(b *testing.B) {
	cluster := startCluster(b)
	weight := 0
	for b.Loop() {
		weight = weight%9 + 1
		started := time.Now()
		publish(b, cluster, `{"policy":{"cost_weight":`+string(rune('0'+weight))+`}}`)
		if took := time.Since(started); took > inForceWithin {
			b.Fatalf("in force after %v, the target is %v", took, inForceWithin)
		}
	}
}

func TestSlowLogStillPutsPatchesInForce(t *testing.T) {
	cluster := startCluster(t)
	cluster.Standins.Log.SetDelay(time.Second)
	require.EqualValues(t, 2, publish(t, cluster, `{"policy":{"cost_weight":3}}`).Version)
}

func TestRecordsThatAreDeliveredTwiceCountOnce(t *testing.T) {
	cluster := startCluster(t)
	cluster.Standins.Log.RedeliverRecords(3)
	for version := range int64(3) {
		require.EqualValues(t, version+2, publish(t, cluster, `{"policy":{"cost_weight":3}}`).Version)
	}
}

func TestLongOutageKeepsTheVersionAndSaysSo(t *testing.T) {
	cluster := startCluster(t)
	version := publish(t, cluster, `{"policy":{"cost_weight":3}}`).Version
	cluster.Standins.Log.SetDown(true)
	for _, node := range cluster.Nodes {
		require.Eventually(t, func() bool {
			return node.Heartbeat().ConfigState == string(control.ConfigLogUnreachable)
		}, waitTimeout, 10*time.Millisecond)
		require.True(t, node.Ready(), "an outage of the log alone makes no node unready")
		require.Equal(t, version, node.Heartbeat().ConfigVersion)
	}
	cluster.Standins.Log.SetDown(false)
	require.EqualValues(t, version+1, publish(t, cluster, `{"policy":{"cost_weight":4}}`).Version)
	for _, node := range cluster.Nodes {
		require.Eventually(t, func() bool { return node.Heartbeat().ConfigState == "" }, waitTimeout, 10*time.Millisecond)
	}
}
