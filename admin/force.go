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
	// probeEvery is the time between two rounds of questions to nodes.
	probeEvery = 250 * time.Millisecond
	// probeTimeout bounds one question.
	probeTimeout = 2 * time.Second
	// probesAtOnce bounds the questions under way.
	probesAtOnce = 32
)

// coverage says which nodes do not have a record of the config stream yet, as node id
// by peer address.
type coverage struct {
	// waiting nodes were heard of lately and are not known to have it.
	waiting map[string]string
	// silent nodes are on the host list and were not heard of lately.
	silent map[string]string
}

// everywhere says that every live node has the record.
func (c coverage) everywhere() bool { return len(c.waiting) == 0 && len(c.silent) == 0 }

// coverageOf checks every live node: those of the host list, and those that a
// heartbeat came from lately, since the host list lags. A silent node counts as live
// until the host list drops it or its reclaim is past. Addresses in confirmed have
// said that they have the record; an offset never goes back.
func coverageOf(snapshot *control.Snapshot, own api.Heartbeat, offset int64, now time.Time, confirmed map[string]bool) coverage {
	covered := coverage{waiting: map[string]string{}, silent: map[string]string{}}
	heard := map[string]bool{own.PeerAddress: true}
	if own.ConfigOffset <= offset {
		covered.waiting[own.PeerAddress] = own.NodeID
	}
	for _, known := range snapshot.Peers {
		if now.Sub(known.LastSeen) > peerSilentAfter {
			continue
		}
		heard[known.PeerAddress] = true
		if known.ConfigOffset <= offset && !confirmed[known.PeerAddress] {
			covered.waiting[known.PeerAddress] = known.NodeID
		}
	}
	for _, member := range snapshot.Members.Nodes {
		if !heard[member.Address] && !confirmed[member.Address] && !ended(member, now) {
			covered.silent[member.Address] = member.ID
		}
	}
	return covered
}

// ended says that the host's reclaim is past, so that its node can serve no one.
func ended(member membership.Member, now time.Time) bool {
	return member.Health == membership.StateLeaving && !member.ReclaimAt.IsZero() && now.After(member.ReclaimAt)
}

// waitInForce asks the nodes that are not known to have a record until all have it or
// ctx ends. It returns the addresses that confirmed it.
func (a *API) waitInForce(ctx context.Context, offset int64) map[string]bool {
	confirmed := map[string]bool{}
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		covered := coverageOf(a.Control.Snapshot(), a.OwnHeartbeat(), offset, time.Now(), confirmed)
		if covered.everywhere() {
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

// probe asks each node once.
func (a *API) probe(ctx context.Context, covered coverage, offset int64, confirmed map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, probesAtOnce)
	for _, nodes := range []map[string]string{covered.waiting, covered.silent} {
		for address := range nodes {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				has, err := a.ConfigOffset(ctx, address)
				if err == nil && has > offset {
					mu.Lock()
					confirmed[address] = true
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
}
