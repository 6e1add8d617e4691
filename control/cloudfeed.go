package control

import (
	"context"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// CloudRead is a successful read of the cloud API.
type CloudRead struct {
	// Hosts of this deployment that are running; shared, must not be modified.
	Hosts []api.CloudHost
	// At is when the read ended.
	At time.Time
}

// LastCloudRead returns the last read of the cloud API; nil before the first.
func (f *Feeds) LastCloudRead() *CloudRead { return f.cloudRead.Load() }

// listReclaims reads the cloud API and posts the hosts that are reclaimed.
func (f *Feeds) listReclaims(ctx context.Context) {
	hosts, err := f.Cloud.Hosts(ctx)
	if err != nil {
		f.Loop.state.logger.Warn().Err(err).Msg("cloud API not read")
		return
	}
	f.cloudRead.Store(&CloudRead{Hosts: hosts.Hosts, At: time.Now()})
	var leaving []api.LeavingHost
	for _, host := range hosts.Hosts {
		if host.State == api.CloudHostStateReclaiming {
			leaving = append(leaving, api.LeavingHost{HostID: host.ID, ReclaimAtMS: host.ReclaimAtMS})
		}
	}
	if len(leaving) > 0 {
		f.Loop.Post(ctx, HostsLeaving{Hosts: leaving, Source: "cloud"})
	}
}
