package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/membership"
)

const (
	// loadInterval is the minimum interval between load reports of an engine that answers.
	loadInterval = 5 * time.Second
	// loadIntervalPerUpstream, times the number of watched upstreams, is another minimum of that
	// interval, so that the reports take a bounded number of calls per second.
	loadIntervalPerUpstream = 400 * time.Millisecond
	// loadTimeout bounds one load report or probe.
	loadTimeout = 2 * time.Second
	// suspicionPeriod is how long an upstream is suspect after a failed probe.
	suspicionPeriod = 3 * time.Second
)

// watchUpstreams reads the load of the engines that this node watches: at longer
// intervals from those that answer, at every HostsPoll from those that are new or
// doubtful. Plain services report no load; they are probed while they are doubtful.
func (f *Feeds) watchUpstreams(ctx context.Context) {
	lastAsked := map[string]time.Time{}
	poll(ctx, f.HostsPoll, func(ctx context.Context) {
		var group sync.WaitGroup
		seen := map[string]time.Time{}
		watched := membership.WatchedUpstreams(f.Loop.Snapshot().Members, f.HostID)
		interval := max(loadInterval, loadIntervalPerUpstream*time.Duration(len(watched)))
		for _, member := range watched {
			key := member.ID + "/" + member.Incarnation
			seen[key] = lastAsked[key]
			if !due(member, lastAsked[key], time.Now(), interval) {
				continue
			}
			seen[key] = time.Now()
			group.Go(func() { f.contact(ctx, member) })
		}
		group.Wait()
		lastAsked = seen
	})
}

// due reports whether a member must be contacted now; interval is the time between load
// reports.
func due(member membership.Member, lastAsked, now time.Time, interval time.Duration) bool {
	switch {
	case member.NeedsProbe:
		return true
	case member.IsEngine():
		return now.Sub(lastAsked) >= interval
	default:
		return false
	}
}

// contact reads the load of an engine, or opens a connection to a plain service.
func (f *Feeds) contact(ctx context.Context, member membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if !member.IsEngine() {
		f.probe(ctx, member)
		return
	}
	load, err := f.Pool.Get(member.Address).Load(ctx)
	if err != nil {
		f.Pool.Retire(member.Address)
		f.Loop.Offer(ContactFailed{HostID: member.ID, Until: time.Now().Add(suspicionPeriod)})
		return
	}
	f.Loop.Post(ctx, LoadReported{HostID: member.ID, Load: load})
}

func (f *Feeds) probe(ctx context.Context, member membership.Member) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", member.Address)
	if err != nil {
		f.Loop.Offer(ContactFailed{HostID: member.ID, Until: time.Now().Add(suspicionPeriod)})
		return
	}
	_ = conn.Close()
	f.Loop.Post(ctx, ContactSucceeded{HostID: member.ID})
}
