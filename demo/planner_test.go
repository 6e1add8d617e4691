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

// patient bounds the wait for hosts to be started and models to be loaded.
const patient = time.Minute

func plan(t *testing.T, cluster *demo.Cluster) (acting api.PlanReport, ok bool) {
	t.Helper()
	known := cluster.Announce()
	for _, admin := range known.Admin {
		var report api.PlanReport
		response := call(t, http.MethodGet, admin+"/admin/v1/plan", known.AdminKey, "")
		require.NoError(t, json.NewDecoder(response.Body).Decode(&report))
		if report.Acting {
			return report, true
		}
	}
	return api.PlanReport{}, false
}

// complete says whether all engines and services are back, with their models.
func complete(t *testing.T, cluster *demo.Cluster, want int) bool {
	t.Helper()
	known := cluster.Announce()
	live := 0
	for _, upstream := range status(t, known.Admin[1], known.AdminKey).Upstreams {
		if upstream.State == "live" && upstream.Service != "" {
			live++
		}
	}
	return live == want
}

// TestPlannerReplacesWhatAWaveTook reclaims a data centre while starts are refused and
// answers are lost: what was taken comes back elsewhere, once.
func TestPlannerReplacesWhatAWaveTook(t *testing.T) {
	cluster := start(t)
	defer func() {
		if t.Failed() {
			report, _ := plan(t, cluster)
			encoded, _ := json.MarshalIndent(report, "", " ")
			t.Logf("plan: %s", encoded)
		}
	}()
	cloud := cluster.Standins.Cloud
	all := len(cluster.Standins.Upstreams())
	cloud.RefuseStarts("", "", true)
	taken := cloud.ReclaimDataCentre("nizwa", time.Second)
	require.Len(t, taken, 4)
	require.Eventually(t, func() bool {
		report, ok := plan(t, cluster)
		return ok && strings.Contains(report.Summary, "shed") && refusedStarts(report) > 0
	}, patient, poll)

	cloud.DropStartResponses(2)
	cloud.RefuseStarts("", "", false)
	require.Eventually(t, func() bool { return complete(t, cluster, all) }, patient, poll)
	require.Equal(t, len(taken), cloud.Started(), "each lost host is replaced once")
	for _, id := range cluster.Standins.Upstreams() {
		require.NotContains(t, taken, id)
	}
	known := cluster.Announce()
	for _, upstream := range status(t, known.Admin[0], known.AdminKey).Upstreams {
		require.NotEqual(t, "nizwa", upstream.DataCentre)
	}
	response := call(t, http.MethodPost, known.Callers[2]+"/v1/chat/completions", known.APIKeys[workspace],
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
