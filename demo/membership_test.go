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
	// generous bounds waits for a condition that must come true.
	generous = 20 * time.Second
	// poll is the time between two looks at a condition.
	poll = 20 * time.Millisecond
)

// deadAddress refuses connections.
const deadAddress = "http://127.0.0.1:1"

// TestNoticeReachesAllNodesFromTheOneThatReadsTheCloud freezes the host list and lets
// one node only read the cloud API: the others hear of the reclaim from their peers.
func TestNoticeReachesAllNodesFromTheOneThatReadsTheCloud(t *testing.T) {
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust: func(s *api.Settings) {
			s.ReadinessGrace = 10 * time.Millisecond
			if s.NodeID != "node-3" {
				s.CloudURL = deadAddress
			}
		},
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop(context.Background())) })
	cluster.Standins.Cloud.SetListLag(time.Hour)
	known := cluster.Announce()
	for _, admin := range known.Admin {
		require.Equal(t, "live", upstreamState(t, admin, known.AdminKey, "engine-03"))
	}

	started := time.Now()
	cluster.Standins.Cloud.Reclaim("engine-03", time.Minute)
	for _, admin := range known.Admin {
		require.Eventually(t, func() bool {
			return upstreamState(t, admin, known.AdminKey, "engine-03") == "leaving"
		}, generous, poll)
	}
	t.Logf("all nodes know after %v", time.Since(started))
	leaving := cluster.Standins.Engine("engine-03")
	before := leaving.PrefilledTokens()
	for i := range 40 {
		body := fmt.Sprintf(`{"model":"review","messages":[{"role":"user","content":"question %d of the rake log"}],"max_tokens":2}`, i)
		response := call(t, http.MethodPost, known.Callers[i%len(known.Callers)]+"/v1/chat/completions", known.APIKeys[workspace], body)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Equal(t, before, leaving.PrefilledTokens(), "a leaving engine gets no new work")
}

// upstreamState asks a node for the state of an upstream.
func upstreamState(t *testing.T, admin, key, id string) string {
	t.Helper()
	for _, upstream := range status(t, admin, key).Upstreams {
		if upstream.HostID == id {
			return upstream.State
		}
	}
	return "gone"
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
	known := cluster.Announce()
	cluster.Standins.Cloud.TruncateList(1)
	version := cluster.Standins.Cloud.ListReads()
	require.Eventually(t, func() bool { return cluster.Standins.Cloud.ListReads() > version+40 }, generous, poll)
	for _, admin := range known.Admin {
		require.Len(t, status(t, admin, known.AdminKey).Upstreams, len(cluster.Standins.Upstreams()))
	}
}
