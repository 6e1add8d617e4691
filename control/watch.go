package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/membership"
)

const (
	// loadEvery is the shortest time between two load reports of an engine that answers.
	loadEvery = 5 * time.Second
	// loadSpacing stretches that time with the number of watched upstreams, so that
	// reports take a bounded number of calls a second.
	loadSpacing = 400 * time.Millisecond
	// loadTimeout bounds one load report or probe.
	loadTimeout = 2 * time.Second
	// suspectFor is how long an upstream that failed a probe is left alone.
	suspectFor = 3 * time.Second
)

// watchUpstreams asks the engines that this node watches for their load, those that
// answer rarely and those that are new or doubtful at every HostsPoll. Plain services
// report no load; they are probed while they are doubtful.
func (f *Feeds) watchUpstreams(ctx context.Context) {
	asked := map[string]time.Time{}
	poll(ctx, f.HostsPoll, func(ctx context.Context) {
		var group sync.WaitGroup
		seen := map[string]time.Time{}
		watched := membership.Watched(f.Loop.Snapshot().Members, f.HostID)
		every := max(loadEvery, loadSpacing*time.Duration(len(watched)))
		for _, member := range watched {
			key := member.ID + "/" + member.Incarnation
			seen[key] = asked[key]
			if !due(member, asked[key], time.Now(), every) {
				continue
			}
			seen[key] = time.Now()
			group.Go(func() { f.contact(ctx, member) })
		}
		group.Wait()
		asked = seen
	})
}

// due says whether a member is to be asked now; every is the time between two load
// reports.
func due(member membership.Member, asked, now time.Time, every time.Duration) bool {
	switch {
	case member.NeedsProbe:
		return true
	case member.IsEngine():
		return now.Sub(asked) >= every
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
		f.Loop.Offer(ContactFailed{HostID: member.ID, Until: time.Now().Add(suspectFor)})
		return
	}
	f.Loop.Post(ctx, LoadReported{HostID: member.ID, Load: load})
}

func (f *Feeds) probe(ctx context.Context, member membership.Member) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", member.Address)
	if err != nil {
		f.Loop.Offer(ContactFailed{HostID: member.ID, Until: time.Now().Add(suspectFor)})
		return
	}
	_ = conn.Close()
	f.Loop.Post(ctx, ContactSucceeded{HostID: member.ID})
}
