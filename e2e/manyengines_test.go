package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
)

const (
	// manyEngines exceeds the number of upstreams up to which a node watches all.
	manyEngines = 60
	// manyModels is the number of models; each engine has one of them loaded.
	manyModels = 10
)

// TestEveryModelIsServedAtEveryNodeOfALargeFleet runs more engines than a single node
// watches, so that no node watches an engine of every model.
func TestEveryModelIsServedAtEveryNodeOfALargeFleet(t *testing.T) {
	t.Parallel()
	deployment := largeFleet(t)
	cluster, err := demo.Start(t.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust:     func(s *api.Settings) { s.ReadinessGrace = 10 * time.Millisecond },
	})
	require.NoError(t, err)
	t.Cleanup(cluster.Kill)
	for model := range manyModels {
		for i := range cluster.Nodes {
			text := fmt.Sprintf("model %d at node %d", model, i)
			t.Run(text, func(t *testing.T) {
				t.Parallel()
				body := fmt.Sprintf(`{"model":"model-%d","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":%q}]}`, model, text)
				answer := send(t, cluster, i, http.MethodPost, "/v1/chat/completions", body, "", workspace)
				answer.requireComplete(text)
			})
		}
	}
}

// largeFleet returns the deployment falaj with many engines and models.
func largeFleet(t *testing.T) api.Deployment {
	t.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	parsed, err := config.Parse(deployment.Configuration)
	require.NoError(t, err)
	parsed.Services = map[string]api.Service{}
	parsed.Routes = map[string]api.Route{}
	parsed.HostGroups = nil
	for i := range manyModels {
		name := fmt.Sprintf("model-%d", i)
		parsed.Services[name] = api.Service{Kind: api.ServiceKindModel, Operations: []api.Operation{}}
		parsed.Routes[name] = api.Route{Workspace: workspace, Service: name}
	}
	deployment.Configuration, err = json.Marshal(parsed)
	require.NoError(t, err)
	template := deployment.Engines[0]
	deployment.Engines = nil
	deployment.Services = nil
	for i := range manyEngines {
		template.ID = fmt.Sprintf("engine-%d", i)
		template.DataCentre = deployment.DataCentres[i%len(deployment.DataCentres)]
		template.Models = []string{fmt.Sprintf("model-%d", i%manyModels)}
		deployment.Engines = append(deployment.Engines, template)
	}
	return deployment
}
