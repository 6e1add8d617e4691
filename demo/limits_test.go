package demo_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/refusal"
)

func TestWorkspaceLimitIsHeldByTheRunningNode(t *testing.T) {
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	var configuration api.Configuration
	require.NoError(t, json.Unmarshal(deployment.Configuration, &configuration))
	limited := configuration.Workspaces[workspace]
	limited.RequestsPerSecond, limited.Burst = 0.01, 5
	configuration.Workspaces[workspace] = limited
	deployment.Configuration, err = json.Marshal(configuration)
	require.NoError(t, err)
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust:     func(s *api.Settings) { s.ReadinessGrace = 10 * time.Millisecond },
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Stop(context.Background())) })

	announced := cluster.Announce()
	accepted := 0
	var last *http.Response
	for range 10 {
		last = call(t, "GET", announced.Callers[0]+"/services/rakes/screens/7", announced.APIKeys[workspace], "")
		if last.StatusCode == http.StatusOK {
			accepted++
		}
	}
	require.LessOrEqual(t, accepted, limited.Burst)
	require.Equal(t, http.StatusTooManyRequests, last.StatusCode)
	require.Equal(t, string(refusal.CodeWorkspaceLimit), last.Header.Get(refusal.HeaderCode))
	require.Equal(t, "no", last.Header.Get(refusal.HeaderRan))
	require.NotEmpty(t, last.Header.Get("Retry-After"))
	other := call(t, "GET", announced.Callers[0]+"/services/rakes/screens/7", announced.APIKeys["plant-ibri"], "")
	require.Equal(t, http.StatusOK, other.StatusCode, "other workspaces are not affected")
}
