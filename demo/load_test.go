package demo_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
)

const (
	// loadDuration is how long the test generates load; on a busy machine it goes on until every kind of
	// the mix was answered, for maxLoadDuration at most.
	loadDuration    = 3 * time.Second
	maxLoadDuration = 20 * time.Second
	mixKinds        = 5
)

// TestLoadIsAnsweredWholeAndRight runs each deployment's mix during a reclaim.
func TestLoadIsAnsweredWholeAndRight(t *testing.T) {
	for _, name := range []string{examples.Falaj, examples.Bulakan} {
		t.Run(name, func(t *testing.T) {
			deployment, err := examples.Load(name)
			require.NoError(t, err)
			cluster, err := demo.Start(t.Context(), demo.Options{
				Deployment: deployment,
				Logger:     zerolog.Nop(),
				Adjust:     func(s *api.Settings) { s.ReadinessGrace = 10 * time.Millisecond },
			})
			require.NoError(t, err)
			cluster.Standins.Cloud.ReclaimDataCentre(deployment.DataCentres[0], 30*time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), maxLoadDuration)
			defer cancel()
			go func() {
				defer cancel()
				time.Sleep(loadDuration)
				for ctx.Err() == nil && len(cluster.Report().Load.FirstToken) < mixKinds {
					time.Sleep(loadDuration / 30)
				}
			}()
			cluster.GenerateLoad(ctx)
			require.NoError(t, cluster.Stop(context.Background()))
			report := cluster.Report()
			require.Positive(t, report.Load.Complete)
			require.Zero(t, report.Load.Wrong)
			require.Zero(t, report.Load.Truncated)
			require.Zero(t, report.Load.RanThoughRefused)
			require.Zero(t, report.RanTwice)
			require.Len(t, report.Load.FirstToken, mixKinds, "every kind of the mix was answered")
		})
	}
}
