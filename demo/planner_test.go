package demo_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
)

// plannerTimeout bounds the wait for hosts to be started and models to be loaded.
const plannerTimeout = time.Minute

func actingPlan(t *testing.T, cluster *demo.Cluster) (acting api.PlanReport, ok bool) {
	t.Helper()
	announced := cluster.Announce()
	for _, admin := range announced.Admin {
		var report api.PlanReport
		response := call(t, http.MethodGet, admin+"/admin/v1/plan", announced.AdminKey, "")
		require.NoError(t, json.NewDecoder(response.Body).Decode(&report))
		if report.Acting {
			return report, true
		}
	}
	return api.PlanReport{}, false
}

// recovered reports whether the expected number of upstreams is live and serves something.
func recovered(t *testing.T, cluster *demo.Cluster, want int) bool {
	t.Helper()
	announced := cluster.Announce()
	live := 0
	for _, upstream := range status(t, announced.Admin[1], announced.AdminKey).Upstreams {
		if upstream.State == "live" && upstream.Service != "" {
			live++
		}
	}
	return live == want
}

// TestPlannerReplacesWhatAWaveTook reclaims a data centre while starts are refused and
// responses are lost: each reclaimed host is replaced elsewhere, exactly once.
func TestPlannerReplacesWhatAWaveTook(t *testing.T) {
	cluster := start(t)
	defer func() {
		if t.Failed() {
			report, _ := actingPlan(t, cluster)
			encoded, _ := json.MarshalIndent(report, "", " ")
			t.Logf("plan: %s", encoded)
		}
	}()
	cloud := cluster.Standins.Cloud
	all := len(cluster.Standins.Upstreams())
	cloud.RefuseStarts("", "", true)
	reclaimed := cloud.ReclaimDataCentre("nizwa", time.Second)
	require.Len(t, reclaimed, 4)
	require.Eventually(t, func() bool {
		report, ok := actingPlan(t, cluster)
		return ok && strings.Contains(report.Summary, "shed") && refusedStarts(report) > 0
	}, plannerTimeout, pollInterval)

	cloud.DropStartResponses(2)
	cloud.RefuseStarts("", "", false)
	require.Eventually(t, func() bool { return recovered(t, cluster, all) }, plannerTimeout, pollInterval)
	require.Equal(t, len(reclaimed), cloud.Started(), "each lost host is replaced once")
	for _, id := range cluster.Standins.Upstreams() {
		require.NotContains(t, reclaimed, id)
	}
	announced := cluster.Announce()
	for _, upstream := range status(t, announced.Admin[0], announced.AdminKey).Upstreams {
		require.NotEqual(t, "nizwa", upstream.DataCentre)
	}
	response := call(t, http.MethodPost, announced.Callers[2]+"/v1/chat/completions", announced.APIKeys[workspace],
		`{"model":"review","messages":[{"role":"user","content":"after the wave"}]}`)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func refusedStarts(report api.PlanReport) int {
	refused := 0
	for _, place := range report.Places {
		refused += place.Refused
	}
	return refused
}
