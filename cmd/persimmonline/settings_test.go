package main

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// validSettings returns flags with which a node can start.
func validSettings() []string {
	return []string{
		"node", "--node-id=node-1", "--data-centre=nizwa", "--peer-key=sixteen-characters",
		"--log-url=http://127.0.0.1:1", "--hosts-url=http://127.0.0.1:1", "--cloud-url=http://127.0.0.1:1",
	}
}

func TestNodeNamesEveryFaultOfItsSettingsInOneMessage(t *testing.T) {
	t.Setenv("PERSIMMON_MAX_STREAMS", "many")
	got := execute("", "node", "--node-id=Node.1", "--caller-address=localhost:80", "--drain-timeout=soon",
		"--config-poll=0s", "--log-url=127.0.0.1:7000", "--max-body-bytes=-1", "--log-level=loud",
		"--admin-address=127.0.0.1:8070", "--peer-key=hunter2", "--nonsense", "3", "--more=1")
	require.Equal(t, exitSettings, got.code)
	for _, want := range []string{
		`--node-id="Node.1"`, `--data-centre=""`, `--caller-address="localhost:80"`, `--drain-timeout="soon"`,
		`--config-poll="0s"`, `--log-url="127.0.0.1:7000"`, `--hosts-url=""`, `--cloud-url=""`, `--max-body-bytes="-1"`,
		`--log-level="loud"`, `--max-streams="many"`, `--peer-address="127.0.0.1:8070": is the address of --admin-address too`,
		`--peer-key="(hidden)"`, "unknown flag --nonsense", "unknown flag --more",
	} {
		require.Equal(t, 1, strings.Count(got.errOut, want), "%s in\n%s", want, got.errOut)
	}
	require.NotContains(t, got.errOut, "hunter2")
	require.Empty(t, got.out)
}

func TestNodeNamesOneFault(t *testing.T) {
	for flag, value := range map[string]string{
		"--node-id": "", "--region": "a.b", "--host-id": "UP", "--peer-address": "here", "--weights-url": "ftp://x",
		"--heartbeat": "-1s", "--hosts-poll": "x", "--max-streams": "0", "--trace-exporter": "paper", "--readiness-grace": "-1s",
	} {
		got := execute("", append(validSettings(), flag+"="+value)...)
		require.Equal(t, exitSettings, got.code, flag)
		require.Contains(t, got.errOut, flag+`="`+value, flag)
		require.Equal(t, 1, strings.Count(got.errOut, "--"), "only %s: %s", flag, got.errOut)
	}
	otlp := execute("", append(validSettings(), "--trace-exporter=otlp")...)
	require.Equal(t, exitSettings, otlp.code)
	require.Contains(t, otlp.errOut, "--trace-endpoint")
}

func TestUsageFaultsOfOtherCommands(t *testing.T) {
	for _, args := range [][]string{
		{"nope"},
		{},
		{"patch", "publish"},
		{"status"},
		{"demo", "--config", "nowhere"},
		{"demo", "--for", "ages"},
		{"status", "--admin-key", "x", "-o", "xml"},
	} {
		got := execute("", args...)
		require.Equal(t, exitSettings, got.code, "%v", args)
		require.NotEmpty(t, got.errOut, "%v", args)
	}
}

// TestSettingsPageIsUpToDate checks that the operators' page matches the schema.
func TestSettingsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	require.NoError(t, err)
	want, err := settingsTable()
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), tableStartMarker)
	require.True(t, found)
	got, _, found := strings.Cut(rest, tableEndMarker)
	require.True(t, found)
	require.Equal(t, want, strings.TrimPrefix(got, "\n"), "run: go run ./cmd/persimmonline settings, and put its output between the marks")
}
