package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
)

const (
	// waitTimeout bounds the wait for an expected condition.
	waitTimeout = 20 * time.Second
	// pollInterval is the interval at which a condition is checked.
	pollInterval = 20 * time.Millisecond
)

// unreachableURL refuses connections.
const unreachableURL = "http://127.0.0.1:1"

// TestNoticeReachesAllNodesFromTheOneThatReadsTheCloud freezes the host list and gives only
// one node access to the cloud API: the others receive the reclaim notice from their peers.
func TestNoticeReachesAllNodesFromTheOneThatReadsTheCloud(t *testing.T) {
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust: func(s *api.Settings) {
			s.ReadinessGrace = 10 * time.Millisecond
			if s.NodeID != "node-3" {
				s.CloudURL = unreachableURL
			}
		},
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop(context.Background())) })
	cluster.Standins.Cloud.SetListLag(time.Hour)
	announced := cluster.Announce()
	for _, admin := range announced.Admin {
		require.Equal(t, "live", upstreamState(t, admin, announced.AdminKey, "engine-03"))
	}

	started := time.Now()
	cluster.Standins.Cloud.Reclaim("engine-03", time.Minute)
	for _, admin := range announced.Admin {
		require.Eventually(t, func() bool {
			return upstreamState(t, admin, announced.AdminKey, "engine-03") == "leaving"
		}, waitTimeout, pollInterval)
	}
	t.Logf("the notice reached all nodes within %v", time.Since(started))
	leaving := cluster.Standins.Engine("engine-03")
	before := leaving.PrefilledTokens()
	for i := range 40 {
		body := fmt.Sprintf(`{"model":"review","messages":[{"role":"user","content":"question %d of the rake log"}],"max_tokens":2}`, i)
		response := call(t, http.MethodPost, announced.Callers[i%len(announced.Callers)]+"/v1/chat/completions", announced.APIKeys[workspace], body)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Equal(t, before, leaving.PrefilledTokens(), "a leaving engine gets no new requests")
}

// upstreamState returns the state of an upstream as a node reports it.
func upstreamState(t *testing.T, admin, key, id string) string {
	t.Helper()
	for _, upstream := range status(t, admin, key).Upstreams {
		if upstream.HostID == id {
			return upstream.State
		}
	}
	return "removed"
}

func status(t *testing.T, admin, key string) api.StatusReport {
	t.Helper()
	response := call(t, http.MethodGet, admin+"/admin/v1/status", key, "")
	var report api.StatusReport
	require.NoError(t, json.NewDecoder(response.Body).Decode(&report))
	return report
}

func TestTornHostListKeepsTheFleet(t *testing.T) {
	cluster := start(t)
	announced := cluster.Announce()
	cluster.Standins.Cloud.TruncateList(1)
	version := cluster.Standins.Cloud.ListReads()
	require.Eventually(t, func() bool { return cluster.Standins.Cloud.ListReads() > version+40 }, waitTimeout, pollInterval)
	for _, admin := range announced.Admin {
		require.Len(t, status(t, admin, announced.AdminKey).Upstreams, len(cluster.Standins.Upstreams()))
	}
}
