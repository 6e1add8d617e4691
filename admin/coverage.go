package admin

import (
	"context"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
)

const (
	// probeInterval is the interval between two rounds of probes.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one round of probes.
	probeTimeout = 2 * time.Second
	// maxConcurrentProbes bounds the concurrent probes.
	maxConcurrentProbes = 32
)

// coverage holds the nodes that are not known to have a record of the config stream yet, as
// node ids by peer address.
type coverage struct {
	// waiting holds the nodes with a recent heartbeat.
	waiting map[string]string
	// silent holds the nodes that are on the host list and have no recent heartbeat.
	silent map[string]string
}

// complete reports whether every live node has the record.
func (c coverage) complete() bool { return len(c.waiting) == 0 && len(c.silent) == 0 }

// coverageOf checks every live node: those on the host list, and those with a recent
// heartbeat, since the host list lags. A silent node counts as live until the host list
// drops it or its reclaim time has passed. Addresses in confirmed have confirmed the
// record; that stays valid, since an offset never decreases.
func coverageOf(snapshot *control.Snapshot, own api.Heartbeat, offset int64, now time.Time, confirmed map[string]bool) coverage {
	covered := coverage{waiting: map[string]string{}, silent: map[string]string{}}
	recent := map[string]bool{own.PeerAddress: true}
	if own.ConfigOffset <= offset {
		covered.waiting[own.PeerAddress] = own.NodeID
	}
	for _, known := range snapshot.Peers {
		if now.Sub(known.LastSeen) > peerTimeout {
			continue
		}
		recent[known.PeerAddress] = true
		if known.ConfigOffset <= offset && !confirmed[known.PeerAddress] {
			covered.waiting[known.PeerAddress] = known.NodeID
		}
	}
	for _, member := range snapshot.Members.Nodes {
		if !recent[member.Address] && !confirmed[member.Address] && !isReclaimed(member, now) {
			covered.silent[member.Address] = member.ID
		}
	}
	return covered
}

// isReclaimed reports whether the host's reclaim time has passed, so that its node can't serve
// requests any more.
func isReclaimed(member membership.Member, now time.Time) bool {
	return member.Health == membership.StateLeaving && !member.ReclaimAt.IsZero() && now.After(member.ReclaimAt)
}

// waitInForce probes the nodes that are not known to have a record until all have it or
// ctx ends. It returns the addresses that have confirmed it.
func (a *API) waitInForce(ctx context.Context, offset int64) map[string]bool {
	confirmed := map[string]bool{}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		covered := coverageOf(a.Control.Snapshot(), a.OwnHeartbeat(), offset, time.Now(), confirmed)
		if covered.complete() {
			return confirmed
		}
		a.probe(ctx, covered, offset, confirmed)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return confirmed
		}
	}
}

// probe asks each node once for its offset and adds those that have the record to confirmed.
func (a *API) probe(ctx context.Context, covered coverage, offset int64, confirmed map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, nodes := range []map[string]string{covered.waiting, covered.silent} {
		for address := range nodes {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				reached, err := a.ConfigOffset(ctx, address)
				if err == nil && reached > offset {
					mu.Lock()
					confirmed[address] = true
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
}
