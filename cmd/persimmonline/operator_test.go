package main

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/operator"
	"github.com/persimmonline/persimmonline/standin"
	"github.com/persimmonline/persimmonline/telemetry"
)

// deadNode is an address without a listener.
const deadNode = "http://127.0.0.1:1"

// weightPatch changes one weight.
const weightPatch = `{"workspaces":{"incident-review":{"weight":7}}}`

func TestMain(m *testing.M) {
	telemetry.BridgeLogx(zerolog.Nop())
	os.Exit(m.Run())
}

// result is the exit code and output of a command.
type result struct {
	code        int
	out, errOut string
}

func execute(stdin string, args ...string) result {
	var out, errOut bytes.Buffer
	code := run(args, strings.NewReader(stdin), &out, &errOut)
	return result{code: code, out: out.String(), errOut: errOut.String()}
}

// operatorOf returns a function that runs an operator's command against a cluster. The
// first address is that of a node that is down, so each command must fail over.
func operatorOf(cluster *demo.Cluster) func(stdin string, args ...string) result {
	announced := cluster.Announce()
	return func(stdin string, args ...string) result {
		args = append(args, "--admin-key", announced.AdminKey, "--admin-url", deadNode, "--admin-url", announced.Admin[0])
		return execute(stdin, args...)
	}
}

func startCluster(t *testing.T) *demo.Cluster {
	t.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust:     func(s *api.Settings) { s.ReadinessGrace = 0 },
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop(context.Background())) })
	return cluster
}

func TestOperatorReadsTheSystem(t *testing.T) {
	cluster := startCluster(t)
	operator := operatorOf(cluster)
	cases := []struct {
		args []string
		want []string
	}{
		{[]string{"status"}, []string{"node-1", "node-5", "ready", "follows the log", "live", "engine-01", "PLAN", "complete", "HOST GROUP", "engines"}},
		{[]string{"workspace", "list"}, []string{"incident-review", "WEIGHT"}},
		{[]string{"workspace", "get", "incident-review"}, []string{"incident-review"}},
		{[]string{"service", "list"}, []string{"rakes", "plain"}},
		{[]string{"service", "get", "review"}, []string{"review", "model"}},
		{[]string{"route", "list"}, []string{"incident-review", "PRIORITY"}},
		{[]string{"upstream", "list"}, []string{"engine-01", "nizwa"}},
		{[]string{"upstream", "get", "engine-01"}, []string{"engine-01"}},
		{[]string{"patch", "list"}, []string{"accepted", "everywhere"}},
		{[]string{"plan"}, []string{"PLAN", "GROUP", "WANTED", "engines", "review"}},
	}
	for _, c := range cases {
		require.EventuallyWithT(t, func(t *assert.CollectT) {
			got := operator("", c.args...)
			require.Equal(t, exitOK, got.code, "%v: %s", c.args, got.errOut)
			for _, want := range c.want {
				require.Contains(t, got.out, want, "%v", c.args)
			}
		}, 30*time.Second, 20*time.Millisecond, "the plan is made after the start")
		asJSON := operator("", append(c.args, "-o", "json")...)
		require.Equal(t, exitOK, asJSON.code)
		require.True(t, json.Valid([]byte(asJSON.out)), "%v", c.args)
	}
	missing := operator("", "workspace", "get", "nope")
	require.Equal(t, exitFailure, missing.code)
	require.Contains(t, missing.errOut, `workspace "nope" does not exist`)
	down := execute("", "status", "--admin-key", "x", "--admin-url", deadNode)
	require.Equal(t, exitFailure, down.code)
	require.Contains(t, down.errOut, deadNode)
}

// TestNothingShowsAWholeKeyHash checks all output that operators can read for complete key
// hashes.
func TestNothingShowsAWholeKeyHash(t *testing.T) {
	cluster := startCluster(t)
	operator := operatorOf(cluster)
	announced := cluster.Announce()
	var shown strings.Builder
	for _, args := range [][]string{
		{"status"}, {"workspace", "list"}, {"workspace", "get", "incident-review"}, {"patch", "list"}, {"plan"},
	} {
		for _, form := range []string{"table", "json"} {
			got := operator("", append(args, "-o", form)...)
			require.Equal(t, exitOK, got.code, got.errOut)
			shown.WriteString(got.out)
		}
	}
	client := operatorClient(announced)
	defer client.Close()
	report, err := client.Config(t.Context())
	require.NoError(t, err)
	encoded, err := json.Marshal(report)
	require.NoError(t, err)
	shown.Write(encoded)
	require.NotEmpty(t, report.Configuration.Operators)
	for _, key := range append(slices.Collect(maps.Values(announced.APIKeys)), announced.AdminKey) {
		require.NotContains(t, shown.String(), key)
		require.NotContains(t, shown.String(), config.HashKey(key))
		require.Contains(t, string(encoded), config.HashKey(key)[:8], "enough to tell keys apart")
	}
}

func operatorClient(announced demo.Announcement) *operator.Client {
	return operator.NewClient(announced.Admin, announced.AdminKey)
}

func TestPatchVerdictsAndExitCodes(t *testing.T) {
	cluster := startCluster(t)
	operator := operatorOf(cluster)
	file := filepath.Join(t.TempDir(), "patch.json")
	require.NoError(t, os.WriteFile(file, []byte(weightPatch), 0o600))

	accepted := operator("", "patch", "publish", file, "--id", "p1", "--wait")
	require.Equal(t, exitOK, accepted.code, accepted.errOut)
	require.Contains(t, accepted.out, "everywhere")
	for _, n := range cluster.Nodes {
		require.EqualValues(t, 2, n.Heartbeat().ConfigVersion)
	}
	require.Eventually(t, func() bool {
		return strings.Count(operator("", "patch", "list").out, "everywhere") == 2
	}, 30*time.Second, 10*time.Millisecond, "the list says the same")
	repeated := operator(weightPatch, "patch", "publish", "-", "--id", "p1", "--base", "1", "-o", "json")
	require.Equal(t, exitOK, repeated.code)
	var first api.PatchResult
	require.NoError(t, json.Unmarshal([]byte(repeated.out), &first))
	require.EqualValues(t, 2, first.Version)

	stale := operator(weightPatch, "patch", "publish", "-", "--base", "1")
	require.Equal(t, exitStale, stale.code)
	require.Contains(t, stale.out, "version 2 is in force")
	invalid := operator(`{"workspaces":{"incident-review":{"weight":-1}}}`, "patch", "publish", "-")
	require.Equal(t, exitInvalid, invalid.code)
	require.Contains(t, invalid.out, "workspaces.incident-review.weight")
	typo := operator(`{"workspaces":{"incident-review":{"wieght":1}}}`, "patch", "publish", "-")
	require.Equal(t, exitInvalid, typo.code)
	require.Contains(t, typo.out, "wieght")
	broken := operator(`{"workspaces":`, "patch", "publish", "-")
	require.Equal(t, exitFailure, broken.code)
	require.Contains(t, broken.errOut, "not JSON at byte")
	asked := operator("", "patch", "get", "p1")
	require.Equal(t, exitOK, asked.code)
}

func TestLostAnswerOfTheLogIsUnknownUntilItIsRead(t *testing.T) {
	cluster := startCluster(t)
	operator := operatorOf(cluster)
	cluster.Standins.Log.DropResponses(1)
	lost := operator(weightPatch, "patch", "publish", "-", "--id", "lost")
	require.Equal(t, exitOK, lost.code, "the log shows it: %s", lost.errOut)

	cluster.Standins.Log.SetDown(true)
	unknown := operator(weightPatch, "patch", "publish", "-", "--id", "late", "--timeout", "1s")
	require.Equal(t, exitUnknown, unknown.code)
	require.Contains(t, unknown.errOut, "persimmonline patch get late")
	cluster.Standins.Log.SetDown(false)
	again := operator(weightPatch, "patch", "publish", "-", "--id", "late", "--base", "2", "--wait")
	require.Equal(t, exitOK, again.code, again.errOut)
}

func TestRacingOperatorsGetOneAcceptance(t *testing.T) {
	cluster := startCluster(t)
	announced := cluster.Announce()
	cluster.Standins.Log.DropResponses(3)
	const operators = 10
	codes := make([]int, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			got := execute(weightPatch, "patch", "publish", "-", "--base", "1",
				"--admin-key", announced.AdminKey, "--admin-url", announced.Admin[i%len(announced.Admin)])
			codes[i] = got.code
		})
	}
	group.Wait()
	verdicts := map[int]int{}
	for _, code := range codes {
		verdicts[code]++
	}
	require.Equal(t, map[int]int{exitOK: 1, exitStale: operators - 1}, verdicts)
}

func TestBootstrapIsAcceptedOnce(t *testing.T) {
	log := standin.NewLog()
	server, err := standin.Serve("127.0.0.1:0", log.Handler())
	require.NoError(t, err)
	defer server.Close()
	deployment, err := examples.Load(examples.Bulakan)
	require.NoError(t, err)
	document := string(deployment.Configuration)
	bootstrap := func(stdin, id string) result {
		return execute(stdin, "patch", "bootstrap", "-", "--log-url", server.URL(), "--id", id)
	}
	invalid := bootstrap(`{"deployment":"x"}`, "bad")
	require.Equal(t, exitInvalid, invalid.code)
	require.Contains(t, invalid.out, "operators")
	require.Zero(t, log.Appends())
	log.DropResponses(1)
	require.Equal(t, exitOK, bootstrap(document, "first").code)
	require.Equal(t, exitOK, bootstrap(document, "first").code)
	require.Equal(t, exitStale, bootstrap(document, "second").code)
	log.Trim("config", 1)
	trimmed := bootstrap(document, "third")
	require.Equal(t, exitFailure, trimmed.code)
	require.Contains(t, trimmed.errOut, "has a configuration already")
}
