package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/upstream"
)

const (
	// readLimit is the number of records that one read requests.
	readLimit = 1000
	// feedBackoff is the wait after a failed read.
	feedBackoff = 500 * time.Millisecond
	// hostListPolls is how many polls pass between two reads of the host list.
	hostListPolls = 2
)

// Feeds read the platform and the upstreams and post the results to the loop.
type Feeds struct {
	// Loop that gets the events.
	Loop *Loop
	// Log of the platform.
	Log infra.Log
	// Hosts of the platform.
	Hosts infra.Hosts
	// Cloud of the platform.
	Cloud infra.Cloud
	// Pool of connections to upstreams, for load reports and probes only.
	Pool *upstream.Pool
	// HostID of this node, which determines the upstreams that it watches.
	HostID string
	// ConfigPoll bounds the long poll of the config stream.
	ConfigPoll time.Duration
	// HostsPoll is the interval between reads of the cloud API; the host list, which
	// lags anyway, is read every second time.
	HostsPoll time.Duration
	// Config holds the sources of the configuration besides the config stream.
	Config ConfigSources

	cloudRead atomic.Pointer[CloudRead]
}

// Run reads until ctx ends.
func (f *Feeds) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.followConfig(ctx) })
	group.Go(func() { poll(ctx, hostListPolls*f.HostsPoll, f.listHosts) })
	group.Go(func() { poll(ctx, f.HostsPoll, f.listReclaims) })
	group.Go(func() { f.watchUpstreams(ctx) })
	group.Go(func() { f.followCaches(ctx) })
	group.Wait()
}

// poll calls read at once and then at every interval.
func poll(ctx context.Context, interval time.Duration, read func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		read(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Feeds) listHosts(ctx context.Context) {
	list, err := f.Hosts.List(ctx)
	if err != nil {
		f.Loop.state.logger.Warn().Err(err).Msg("host list not read")
		return
	}
	f.Loop.Post(ctx, HostsListed{List: list})
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Close closes idle connections to the platform and the upstreams.
func (f *Feeds) Close() {
	f.Pool.Close()
	for _, service := range []any{f.Log, f.Hosts, f.Cloud} {
		if closer, ok := service.(interface{ Close() }); ok {
			closer.Close()
		}
	}
}
