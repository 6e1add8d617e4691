package serving_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/routing"
)

func TestEnginesThatAreGoneDoNotUseUpTheSends(t *testing.T) {
	d := deploy(t, 1, ok)
	config := *d.view.Load().Table.Config
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].LatencyTarget = 4 * time.Second
	}
	members := d.view.Load().Fleet.ByService["s"]
	members[0].Tracker.InFlight.Add(2)
	for i := range 12 {
		members = append(members, &routing.Upstream{
			ID: fmt.Sprintf("gone-%d", i), Address: "127.0.0.1:1", Health: membership.StateLive, Tracker: &routing.Tracker{}, Gate: &pacing.Gate{},
		})
	}
	d.publish(&config, members)
	require.Equal(t, http.StatusOK, d.call(context.Background(), "unsafe", nil).status)
}
