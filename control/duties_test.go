package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/infra/httpclient"
	"github.com/persimmonline/persimmonline/standin"
)

const waitTimeout = 20 * time.Second

func TestDutyMovesToAnotherNodeWhenItsHolderStops(t *testing.T) {
	log := standin.NewLog()
	server, err := standin.Serve("127.0.0.1:0", log.Handler())
	require.NoError(t, err)
	defer server.Close()
	log.DropResponses(1)
	client := httpclient.NewLogClient(server.URL())
	defer client.Close()
	first := control.NewDuties(client, "node-1", "a", zerolog.Nop(), control.DutyPlanner)
	stopFirst := run(t, first)
	require.Eventually(t, func() bool { return holdsPlanner(first) }, waitTimeout, 10*time.Millisecond)
	second := control.NewDuties(client, "node-2", "b", zerolog.Nop(), control.DutyPlanner)
	run(t, second)
	stopFirst()
	require.False(t, holdsPlanner(first))
	require.Eventually(t, func() bool { return holdsPlanner(second) }, waitTimeout, 10*time.Millisecond)
}

func holdsPlanner(d *control.Duties) bool {
	_, ok := d.Held(control.DutyPlanner)
	return ok
}

func run(t *testing.T, d *control.Duties) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}
